//! One send of a request, or two in parallel if it is hedged.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_dispatch::service::{Report, Step};
use tokio::time::sleep;

use super::Job;
use super::sending::Sending;
use crate::exchange::{Exchange, exchange, is_failure};
use crate::node::Node;
use crate::platform::Platform;

/// Interval at which to check whether the key of a request has another holder. It is a small part
/// of the time for which a lost holder keeps its keys.
const MOVED_POLL: Duration = Duration::from_millis(100);

/// Result of a send, or of two parallel ones.
pub(super) struct Race<P: Platform> {
    pub(super) end: Exchange,
    /// The send that had this result.
    pub(super) sending: Sending<P>,
    /// The other send, whose result is discarded.
    pub(super) other: Option<Sending<P>>,
}

/// Sends a request, and hedges it at another upstream if the first takes much longer than expected.
pub(super) async fn race<P: Platform>(
    node: &Rc<Node<P>>,
    job: &mut Job,
    mut first: Sending<P>,
) -> Race<P> {
    let delay = match job.route.repeat {
        // A hedge might end the process of one more upstream.
        Repeat::Idempotent if job.suspect(node).is_some() => None,
        Repeat::Idempotent => node.hedge_delay(&job.service, &first.upstream.id),
        Repeat::Once => None,
    };
    let spare = job.message.copy();
    let is_repeatable = job.message.is_repeatable();
    let until = job.work.give_up;
    let primary = Arc::clone(&first.upstream);
    let mut first_exchange = pin!(exchange(node, &primary, &mut job.message, &job.head, until));
    let single = |end, sending| Race {
        end,
        sending,
        other: None,
    };
    let (Some(delay), Some(mut spare)) = (delay, spare) else {
        let work = &job.work;
        let may_go_on = job.route.repeat == Repeat::Idempotent
            && is_repeatable
            && work.runs + 1 < work.max_attempts;
        let end = match work.key.filter(|_| may_go_on) {
            Some(key) => tokio::select! {
                end = &mut first_exchange => end,
                () = wait_until_moved(node, &job.service, key, &primary.id) => {
                    Exchange::None(Report::TimedOut)
                }
            },
            None => first_exchange.await,
        };
        return single(end, first);
    };
    tokio::select! {
        end = &mut first_exchange => return single(end, first),
        () = sleep(delay) => {}
    }
    let mut hedged = job.work.clone();
    hedged.tried.push(Arc::clone(&primary.id));
    let step = node.with_service(&job.service, |service, now| service.hedge(&hedged, now));
    let Some(Some(Step::Send {
        upstream, started, ..
    })) = step
    else {
        return single(first_exchange.await, first);
    };
    job.work.is_repeat = true;
    let mut second = Sending::new(node, &job.service, None, &upstream, started);
    second.begin();
    let mut second_exchange = pin!(exchange(node, &upstream, &mut spare, &job.head, until));
    let (end, is_first) = tokio::select! {
        end = &mut first_exchange => (end, true),
        end = &mut second_exchange => (end, false),
    };
    let report = report_of(&end);
    let is_answer = report == (Report::Answered { failed: false });
    let (end, sending, other) = match (is_first, is_answer) {
        (true, true) => (end, first, second),
        (false, true) => {
            // An upstream that was overtaken counts as silent so far.
            first.report = Report::TimedOut;
            (end, second, first)
        }
        (true, false) => {
            first.report = report;
            (second_exchange.await, second, first)
        }
        (false, false) => {
            second.report = report;
            (first_exchange.await, first, second)
        }
    };
    Race {
        end,
        sending,
        other: Some(other),
    }
}

/// Waits until another upstream holds a key.
async fn wait_until_moved<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Arc<str>,
    key: u16,
    upstream: &str,
) {
    loop {
        sleep(MOVED_POLL).await;
        let state = node.state.borrow();
        let service = state.services.get(service);
        if service.is_some_and(|service| service.has_moved(key, upstream)) {
            return;
        }
    }
}

pub(super) fn report_of(end: &Exchange) -> Report {
    match end {
        Exchange::Answer(response) => Report::Answered {
            failed: is_failure(response.status()),
        },
        Exchange::None(report) => *report,
    }
}
