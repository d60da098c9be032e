//! Tells upstream processes that have ended from broken connections.
//!
//! A connection may break although the upstream still runs: answers are lost, links are cut, and
//! upstreams reset connections beyond their limit. An address that refuses connections makes it
//! likely that the process has ended, and a registration of another process in its place proves it.
//! Either is enough to suspect the request that was in flight, since that only limits its repeats.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::suspect::Fingerprint;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::process::{Finding, Sign};
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::Serialize;
use tokio::time::sleep;

use crate::link;
use crate::node::Node;
use crate::platform::Platform;

/// Pauses before the connection attempts after a break. A process that ends may reset its
/// connections shortly before its address refuses new ones.
const ATTEMPT_PAUSES: [Duration; 3] = [
    Duration::from_millis(5),
    Duration::from_millis(80),
    Duration::from_millis(300),
];
/// Pauses before the registry is checked for another process. A process that restarts at once
/// registers within a few seconds.
const REGISTRY_PAUSES: [Duration; 3] = [
    Duration::from_millis(600),
    Duration::from_millis(1_000),
    Duration::from_millis(2_000),
];

/// Request whose connection broke before any byte of its answer.
#[derive(Clone, Debug)]
pub(crate) struct Break {
    pub(crate) request: Option<Arc<str>>,
    /// Fingerprint of the request, unless it was answered meanwhile.
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) sent_at: Instant,
    pub(crate) broken_at: Instant,
}

/// Process of an upstream.
type Process = (Arc<str>, u64);

/// Breaks whose cause is being examined, by process.
#[derive(Debug, Default)]
pub(crate) struct Breaks(RefCell<IndexMap<Process, Vec<Break>>>);

impl Breaks {
    /// Ends the examination of a process that has answered a request which was sent after a
    /// connection broke. Returns whether any process is being examined.
    pub(crate) fn disprove(&self, upstream: &Upstream, sent_at: Instant) -> bool {
        let mut examined = self.0.borrow_mut();
        let process = (Arc::clone(&upstream.id), upstream.incarnation);
        if let Some(breaks) = examined.get_mut(&process) {
            breaks.retain(|broken| broken.broken_at >= sent_at);
        }
        !examined.is_empty()
    }

    /// Forgets a request that was answered.
    pub(crate) fn forget(&self, fingerprint: &Fingerprint) {
        for broken in self.0.borrow_mut().values_mut().flatten() {
            if broken.fingerprint.as_ref() == Some(fingerprint) {
                broken.fingerprint = None;
            }
        }
    }
}

#[derive(Serialize)]
struct EndLine<'a> {
    service: &'a str,
    upstream: &'a str,
    incarnation: u64,
    /// Sign of the end.
    proof: &'a str,
    /// Request that was in flight.
    id: Option<&'a str>,
    fingerprint: Option<String>,
    /// Time from the send of the request to the break.
    in_flight_ms: u64,
}

impl<P: Platform> Node<P> {
    /// Records that a connection broke before any byte of an answer, and finds out whether the
    /// process of the upstream has ended.
    pub(crate) fn record_break(self: &Rc<Self>, upstream: &Arc<Upstream>, broken: Break) {
        let process = (Arc::clone(&upstream.id), upstream.incarnation);
        let mut examined = self.breaks.0.borrow_mut();
        let is_first = !examined.contains_key(&process);
        let breaks = examined.entry(process).or_default();
        breaks.push(broken);
        if is_first {
            let (node, upstream) = (Rc::clone(self), Arc::clone(upstream));
            tokio::task::spawn_local(async move { node.examine_breaks(&upstream).await });
        }
    }

    async fn examine_breaks(self: Rc<Self>, upstream: &Arc<Upstream>) {
        let sign = self.find_end(upstream).await;
        let process = (Arc::clone(&upstream.id), upstream.incarnation);
        let breaks = self.breaks.0.borrow_mut().swap_remove(&process);
        for broken in breaks.unwrap_or_default() {
            self.metrics
                .connection_broken(&upstream.service, sign.is_some());
            if let Some(sign) = sign {
                let line = EndLine {
                    service: &upstream.service,
                    upstream: &upstream.id,
                    incarnation: upstream.incarnation,
                    proof: sign.as_str(),
                    id: broken.request.as_deref(),
                    fingerprint: broken.fingerprint.as_ref().map(Fingerprint::to_string),
                    in_flight_ms: (broken.broken_at - broken.sent_at).as_millis() as u64,
                };
                self.log.request("upstream ended", &line);
                if let Some(fingerprint) = broken.fingerprint {
                    self.record_crash(fingerprint, upstream, broken.sent_at);
                }
            }
        }
    }

    /// Returns the sign by which the process of an upstream has probably ended, if there is one.
    async fn find_end(&self, upstream: &Upstream) -> Option<Sign> {
        for pause in ATTEMPT_PAUSES {
            sleep(pause).await;
            let is_refused = link::is_refused(upstream.address, link::CONNECT_TIMEOUT).await;
            let is_cut_off = self.is_cut_off(&upstream.service);
            if is_refused && Sign::ConnectionRefused.judge(is_cut_off) == Finding::Suspected {
                return Some(Sign::ConnectionRefused);
            }
            if self.is_replaced(upstream) {
                return Some(Sign::OtherRegistered);
            }
        }
        for pause in REGISTRY_PAUSES {
            sleep(pause).await;
            if self.is_replaced(upstream) {
                return Some(Sign::OtherRegistered);
            }
        }
        None
    }

    fn is_replaced(&self, upstream: &Upstream) -> bool {
        self.state.borrow().registry.is_replaced(upstream)
    }
}
