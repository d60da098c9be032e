//! What to do with a request after a send that gave no answer to pass on.

use crate::directory::Repeat;
use crate::service::Report;

/// Request after a send of it has ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Result of the send.
    pub report: Report,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Number of sends that may have run, including this one.
    pub runs: u32,
    /// Whether this router still has the whole body.
    pub has_body: bool,
    /// Whether the caller still waits.
    pub has_time: bool,
}

/// What follows from the end of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The request may be sent again.
    Again,
    /// The caller gets a final answer at once.
    End(Ending),
}

/// What is known about a request that ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It has not run and never will.
    NotRun,
    /// Its answer didn't come in time, and it may have run.
    TimedOut,
    /// It may have run.
    Unknown,
}

impl Attempt {
    /// Decides whether the request may be sent again, or what its caller is told.
    ///
    /// ```
    /// use eelgrassrock_dispatch::directory::Repeat;
    /// use eelgrassrock_dispatch::resend::{Attempt, Ending, Next};
    /// use eelgrassrock_dispatch::service::Report;
    ///
    /// let mut attempt = Attempt {
    ///     report: Report::Refused,
    ///     repeat: Repeat::Once,
    ///     runs: 0,
    ///     has_body: true,
    ///     has_time: true,
    /// };
    /// assert_eq!(attempt.next(), Next::Again);
    /// attempt.has_body = false;
    /// assert_eq!(attempt.next(), Next::End(Ending::NotRun));
    /// ```
    pub fn next(&self) -> Next {
        let may_repeat = self.report.proves_not_run() || self.repeat == Repeat::Idempotent;
        if may_repeat && self.has_body && self.has_time {
            return Next::Again;
        }
        Next::End(Ending::of(self.report, self.runs))
    }
}

impl Ending {
    /// Returns what is known about a request whose last send had this result, and of which this
    /// number of sends may have run.
    ///
    /// ```
    /// use eelgrassrock_dispatch::resend::Ending;
    /// use eelgrassrock_dispatch::service::Report;
    ///
    /// assert_eq!(Ending::of(Report::Refused, 1), Ending::Unknown);
    /// ```
    pub fn of(report: Report, runs: u32) -> Self {
        match report {
            Report::TimedOut => Self::TimedOut,
            _ if runs == 0 => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}
