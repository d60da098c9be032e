//! Requests that another router handles, because this one can't reach the upstreams.
//!
//! The other router treats such a request as one of its own callers', but never passes it on again.
//! Its answer says how the request ended there, so that this router knows whether it may have run.

use std::cmp::Reverse;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::detour::{End, Peer};
use eelgrassrock_dispatch::service::Report;
use eelgrassrock_dispatch::upstream::Upstream;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::clock;
use crate::exchange::{Message, is_final};
use crate::link::{self, Link};
use crate::node::Node;
use crate::payload::{self, Origin, Payload, Source, Taken};
use crate::platform::{Head, Platform};
use crate::request::Limits;

/// Names a request from another router, with the number of upstreams that may still run it.
pub(crate) const PASSED_ON: HeaderName = HeaderName::from_static("eelgrassrock-passed-on");
/// Says how a request ended at the router that handled it.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("eelgrassrock-outcome");

/// Outcomes by which a router turns a request away that another one may handle.
const UNSUITED: [&str; 4] = ["out-of-reach", "stopping", "no-configuration", "outdated"];
/// Maximum number of idle connections to another router.
const MAX_IDLE_PER_ROUTER: usize = 8;
/// Outcomes that are an upstream's own answer.
const OWN_ANSWERS: [&str; 2] = ["answered", "upstream-failed"];

/// How a request ended at another router.
pub(crate) enum Handled {
    /// The router's answer, or that of an upstream.
    Answer {
        response: Response<Payload>,
        /// Whether it is an upstream's own answer.
        is_own: bool,
    },
    /// The request has certainly not run.
    NotRun,
    /// The request may have run.
    Unknown(Report),
}

/// Request as it is passed on.
pub(crate) struct Passage<'a> {
    pub(crate) message: &'a mut Message,
    pub(crate) head: &'a Head,
    pub(crate) limits: Limits,
}

/// Ends the use of a router when it is dropped, also if the caller leaves.
struct InUse<'a, P: Platform> {
    node: &'a Node<P>,
    name: Arc<str>,
    end: End,
}

impl<P: Platform> Drop for InUse<'_, P> {
    fn drop(&mut self) {
        let mut detours = self.node.detours.borrow_mut();
        detours.end(&self.name, self.end, clock::now());
    }
}

impl<P: Platform> Node<P> {
    /// Chooses a router that may handle a request, except those in `tried`.
    fn choose_detour(&self, tried: &[Arc<str>]) -> Option<Arc<Upstream>> {
        let state = self.state.borrow();
        let own = &self.settings;
        let others = state
            .routers
            .iter()
            .filter(|(name, _)| **name != own.router);
        let mut peers: Vec<Peer> = others
            .map(|(name, router)| Peer {
                name: Arc::clone(name),
                is_near: router.data_centre == own.data_centre,
                size: router.size,
            })
            .collect();
        peers.sort_by_key(|peer| Reverse(peer.size));
        let name = self
            .detours
            .borrow_mut()
            .choose(&peers, tried, clock::now())?;
        let router = state.routers.get(&name)?;
        Some(Arc::new(Upstream {
            id: name,
            incarnation: router.incarnation,
            sequence: 0,
            service: "".into(),
            address: router.address,
            data_centre: Arc::clone(&router.data_centre),
            slots: 1,
            leaving: false,
            warm_up: Duration::ZERO,
        }))
    }

    /// Lets another router handle a request. Adds those that have turned it away to `tried`.
    /// Returns `None` if no other router is left.
    pub(crate) async fn pass_on(
        self: &Rc<Self>,
        passage: &mut Passage<'_>,
        tried: &mut Vec<Arc<str>>,
    ) -> Option<(Handled, Arc<str>)> {
        let peer = self.choose_detour(tried)?;
        let name = Arc::clone(&peer.id);
        let mut in_use = InUse {
            node: self,
            name: Arc::clone(&name),
            end: End::Open,
        };
        let handled = self.exchange_with(&peer, passage).await;
        in_use.end = match &handled {
            Handled::Answer { .. } => End::Handled,
            Handled::NotRun => End::Unsuited,
            Handled::Unknown(Report::TimedOut) => End::Open,
            Handled::Unknown(_) => End::Unsuited,
        };
        drop(in_use);
        tried.push(Arc::clone(&name));
        Some((handled, name))
    }

    async fn exchange_with(
        self: &Rc<Self>,
        peer: &Arc<Upstream>,
        passage: &mut Passage<'_>,
    ) -> Handled {
        let until = passage.limits.until;
        let message = &mut *passage.message;
        let pooled = self.links.take(peer, message.repeat);
        let limit = until - clock::now();
        let link = match pooled {
            Some(link) => Some(link),
            None => link::connect_from(self.settings.peer.ip(), peer.address, limit).await,
        };
        let Some(mut link) = link else {
            return Handled::NotRun;
        };
        let mut headers = message.parts.headers.clone();
        let left = until - clock::now();
        self.platform.set_timeout(&mut headers, left);
        headers.insert(PASSED_ON, HeaderValue::from(passage.limits.attempts));
        let Some(request) = message.build(headers) else {
            return Handled::NotRun;
        };
        match timeout(left, link.sender.try_send_request(request)).await {
            Err(_) => Handled::Unknown(Report::TimedOut),
            Ok(Ok(response)) => self.receive_from(peer, link, response, passage).await,
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) => {
                    message.restore(unsent);
                    Handled::NotRun
                }
                None => Handled::Unknown(Report::Broken),
            },
        }
    }

    async fn receive_from(
        self: &Rc<Self>,
        peer: &Arc<Upstream>,
        link: Link,
        response: Response<Incoming>,
        passage: &Passage<'_>,
    ) -> Handled {
        let until = passage.limits.until;
        let (mut parts, body) = response.into_parts();
        if !is_final(parts.status) {
            return Handled::Unknown(Report::Broken);
        }
        let outcome = parts.headers.remove(OUTCOME);
        let Some(outcome) = outcome.as_ref().and_then(|value| value.to_str().ok()) else {
            // The answer isn't that of a router.
            return Handled::Unknown(Report::Broken);
        };
        let is_refusal = parts.status == StatusCode::SERVICE_UNAVAILABLE;
        if is_refusal && UNSUITED.contains(&outcome) {
            return Handled::NotRun;
        }
        let is_own = OWN_ANSWERS.contains(&outcome);
        match timeout(until - clock::now(), payload::take(body, &self.memory)).await {
            Err(_) => Handled::Unknown(Report::TimedOut),
            Ok(Taken::Broken) => Handled::Unknown(Report::Broken),
            Ok(Taken::Whole(bytes)) => {
                self.links
                    .keep(peer, link, &parts.headers, MAX_IDLE_PER_ROUTER);
                let response = Response::from_parts(parts, Payload::whole(bytes));
                Handled::Answer { response, is_own }
            }
            Ok(Taken::Partial(first, rest)) => {
                let origin = Origin {
                    service: Arc::clone(&peer.service),
                    upstream: Arc::clone(&peer.id),
                    request: passage.head.id.clone(),
                };
                let source = Source::new(link, until, origin);
                let payload = Payload::partial(first, rest, Some(source));
                let response = Response::from_parts(parts, payload);
                Handled::Answer { response, is_own }
            }
        }
    }
}

/// Returns the number of upstreams that may still run a request which another router passes on.
pub(crate) fn attempts_left(headers: &HeaderMap) -> Option<u32> {
    let value = headers.get(PASSED_ON)?;
    value.to_str().ok()?.parse().ok()
}

/// Whether a request was passed on by another router.
pub(crate) fn is_passed_on(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(PASSED_ON)
}
