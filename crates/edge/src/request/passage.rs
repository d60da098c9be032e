//! Requests that other routers handle.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::resend::{self, Ending};
use eelgrassrock_dispatch::service::{Reason, Report, Service};

use super::{FinalAnswer, Job, Limits, Next, SendLine, refused, unanswered};
use crate::clock;
use crate::detour::{Handled, Passage};
use crate::node::Node;
use crate::platform::Platform;

/// Lets other routers handle a request until one does. Returns [`Next::Again`] if none can.
pub(super) async fn pass_on<P: Platform>(node: &Rc<Node<P>>, job: &mut Job) -> Next {
    let mut tried = Vec::new();
    loop {
        let limits = Limits {
            until: job.work.give_up,
            attempts: job.work.max_attempts.saturating_sub(job.work.runs),
        };
        let started = clock::now();
        if limits.attempts == 0 || started >= limits.until {
            return Next::Again(None);
        }
        let mut passage = Passage {
            message: &mut job.message,
            head: &job.head,
            limits,
        };
        let Some((handled, router)) = node.pass_on(&mut passage, &mut tried).await else {
            return Next::Again(None);
        };
        job.sends.push(SendLine {
            upstream: Arc::clone(&router),
            at_ms: (started - job.work.arrived).as_millis() as u64,
            elapsed_ms: (clock::now() - started).as_millis() as u64,
            end: match &handled {
                Handled::Answer { .. } => "passed-on",
                Handled::NotRun => Reason::OutOfReach.as_str(),
                Handled::Unknown(report) => report.as_str(),
            },
            map: 0,
        });
        match handled {
            // The other router doesn't know that the request may have run before.
            Handled::Answer { is_own: false, .. } if job.work.runs > 0 => {
                return Next::Done(refused(job, "passed-on-refused", Duration::ZERO));
            }
            Handled::Answer { response, is_own } => {
                return Next::Done(FinalAnswer {
                    response,
                    outcome: if is_own {
                        "passed-on"
                    } else {
                        "passed-on-refused"
                    },
                    upstream: Some(router),
                });
            }
            Handled::NotRun => {
                if let resend::Next::End(ending) = job.after(Report::NotSent) {
                    return Next::Done(unanswered(ending, Some(router)));
                }
            }
            Handled::Unknown(report) => {
                job.work.runs += 1;
                let repeats = |service: &mut Service, now| service.take_repeat(now);
                let ending = match job.after(report) {
                    resend::Next::End(ending) => Some(ending),
                    resend::Next::Again
                        if job.work.runs < job.work.max_attempts
                            && node.with_service(&job.service, repeats) == Some(true) =>
                    {
                        None
                    }
                    resend::Next::Again => Some(Ending::of(report, job.work.runs)),
                };
                if let Some(ending) = ending {
                    return Next::Done(unanswered(ending, Some(router)));
                }
            }
        }
    }
}
