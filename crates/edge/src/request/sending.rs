//! Decisions about requests, with the places that they hold at upstreams.

use std::rc::Rc;
use std::sync::Arc;

use eelgrassrock_dispatch::service::{Refusal, Report, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;

use crate::node::Node;
use crate::platform::Platform;

/// What is to be done with a request. In contrast to a [`Step`], it gives the place of a send back
/// if it is dropped, wherever it is on its way to the request.
pub(crate) enum Decision<P: Platform> {
    Send(Sending<P>),
    Wait,
    Detour,
    Refuse(Refusal),
}

impl<P: Platform> Decision<P> {
    /// Takes over the place that a step of a service holds. `key` is the key of the request.
    pub(crate) fn new(
        node: &Rc<Node<P>>,
        service: &Arc<str>,
        key: Option<u16>,
        step: Step,
    ) -> Self {
        match step {
            Step::Send {
                upstream,
                started,
                needs_permit,
            } => {
                let mut sending = Sending::new(node, service, key, &upstream, started);
                sending.needs_permit = needs_permit;
                Self::Send(sending)
            }
            Step::Wait => Self::Wait,
            Step::Detour => Self::Detour,
            Step::Refuse(refusal) => Self::Refuse(refusal),
        }
    }
}

/// Place of a request at an upstream, from the decision to send it until the end of the send.
/// Reports the result to the service when dropped, so also if its future is dropped.
pub(crate) struct Sending<P: Platform> {
    node: Rc<Node<P>>,
    service: Arc<str>,
    pub(super) upstream: Arc<Upstream>,
    key: Option<u16>,
    pub(super) started: Instant,
    pub(super) report: Report,
    /// Whether an owner of the limit of the upstream, which is cold, must permit it.
    needs_permit: bool,
}

impl<P: Platform> Sending<P> {
    pub(super) fn new(
        node: &Rc<Node<P>>,
        service: &Arc<str>,
        key: Option<u16>,
        upstream: &Arc<Upstream>,
        started: Instant,
    ) -> Self {
        node.counts_changed.notify_one();
        Self {
            node: Rc::clone(node),
            service: Arc::clone(service),
            upstream: Arc::clone(upstream),
            key,
            started,
            report: Report::NotSent,
            needs_permit: false,
        }
    }

    /// Waits until the request may be sent. Returns `false` if it must be decided on again, as the
    /// upstream is cold or no longer holds the key.
    pub(super) async fn is_permitted(&self) -> bool {
        if !self.needs_permit {
            return true;
        }
        if !self.node.permit(&self.upstream).await {
            return false;
        }
        let state = self.node.state.borrow();
        let service = state.services.get(&self.service);
        let has_moved =
            |key| service.is_some_and(|service| service.has_moved(key, &self.upstream.id));
        !self.key.is_some_and(has_moved)
    }

    /// Records that the request is being sent from now on.
    pub(super) fn begin(&mut self) {
        self.report = Report::Cancelled;
        self.node.count_limited_send(&self.upstream);
    }
}

impl<P: Platform> Drop for Sending<P> {
    fn drop(&mut self) {
        let (upstream, started, report) = (&self.upstream.id, self.started, self.report);
        let key = self.key;
        self.node.with_service(&self.service, |service, now| {
            service.end(upstream, key, started, report, now);
        });
        self.node.counts_changed.notify_one();
    }
}
