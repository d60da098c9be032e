//! Whether a process has stopped, judged by the signs of it that reach this VM.
//!
//! Most signs have several causes. An address refuses connections after its process has ended, but
//! also behind a partition that resets connections. Such a sign may lead to a cautious reaction,
//! and never to one that is safe only if the process has stopped.

/// Sign of whether a process has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sign {
    /// It answered that it has stopped acting.
    Resigned,
    /// It answered that it acts.
    Acting,
    /// Another process answered at its address.
    OtherAnswered,
    /// A later process is registered under its identifier or at its address.
    OtherRegistered,
    /// Its address refuses connections.
    ConnectionRefused,
    /// There was no answer from which anything follows.
    Unresponsive,
}

/// Conclusion from a sign.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Finding {
    /// The process has certainly stopped.
    Stopped,
    /// It has probably stopped, but may run behind a partition.
    Suspected,
    /// It may run.
    Unproven,
}

impl Sign {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Resigned => "resigned",
            Self::Acting => "acting",
            Self::OtherAnswered => "other-answered",
            Self::OtherRegistered => "replaced",
            Self::ConnectionRefused => "refused",
            Self::Unresponsive => "unresponsive",
        }
    }

    /// Judges the sign. `is_cut_off` tells whether the observer itself reaches few other processes.
    ///
    /// ```
    /// use eelgrassrock_model::process::{Finding, Sign};
    ///
    /// assert_eq!(Sign::OtherAnswered.judge(true), Finding::Stopped);
    /// assert_eq!(Sign::ConnectionRefused.judge(false), Finding::Suspected);
    /// assert_eq!(Sign::ConnectionRefused.judge(true), Finding::Unproven);
    /// ```
    pub fn judge(self, is_cut_off: bool) -> Finding {
        match self {
            Self::Resigned | Self::OtherAnswered | Self::OtherRegistered => Finding::Stopped,
            Self::ConnectionRefused if !is_cut_off => Finding::Suspected,
            Self::ConnectionRefused | Self::Acting | Self::Unresponsive => Finding::Unproven,
        }
    }
}
