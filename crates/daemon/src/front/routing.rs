//! Routes a request to an upstream of this router or to the home router of its upstream.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Name;
use eelgrassrock_model::fleet::{Patience, Repeat};
use eelgrassrock_model::time::Instant;
use eelgrassrock_ownership::{Route, Unavailability};
use eelgrassrock_telemetry::metrics::Counter;
use http::{Response, StatusCode};
use serde::Serialize;
use tokio::time::timeout;

use crate::exchange::body::Body;
use crate::exchange::inbound::Inbound;
use crate::exchange::problem::{Outcome, Problem};
use crate::front::task::{self, TaskResult};
use crate::node::Node;
use crate::peer::hop::{self, HopResult, Progress};

/// Maximum time to wait until a shard has an owner again. After a single failure it has
/// one within a second.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(2);

/// Maximum time between two reads of the routes while a request waits. Polling is needed
/// because some changes cause no notification.
const ROUTE_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Maximum number of lost hops after which an idempotent request is forwarded again.
const MAX_LOST_HOPS: u32 = 2;

/// `Retry-After` for a shard without an owner.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Port on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The port for callers. The request may be forwarded to another router.
    Caller,
    /// The port for routers. The entry router believes that this router is the home, so
    /// the request isn't forwarded again.
    Router,
}

/// Log line of a routing decision.
#[derive(Serialize)]
struct Line<'a> {
    request_id: &'a str,
    service: &'a str,
    shard: u32,
    partner: &'a str,
    epoch: Option<u64>,
    upstream: Option<&'a str>,
    router: Option<&'a str>,
    reason: &'static str,
}

/// Result of one attempt to route a request.
enum Step {
    Answer(Response<Body>),
    /// Route the request again when the routes have changed.
    Retry(Option<Progress>),
    /// No router can serve the shard now.
    Unavailable(Unavailability),
}

/// State of the routing of one request.
struct Routing<'a> {
    node: &'a Arc<Node>,
    inbound: &'a Arc<Inbound>,
    origin: Origin,
    lost_hops: u32,
}

/// Routes a request until it is served or fails, and returns the final response.
pub(crate) async fn serve(
    node: &Arc<Node>,
    inbound: Inbound,
    origin: Origin,
    mut progress: Option<Progress>,
) -> Response<Body> {
    let inbound = Arc::new(inbound);
    let owner_wait_end = owner_wait_end(&inbound, node.clock.now());
    let mut routing = Routing {
        node,
        inbound: &inbound,
        origin,
        lost_hops: 0,
    };
    let mut routes = node.ownership.watch_routes();
    loop {
        routes.mark_unchanged();
        match routing.try_route(progress.clone()).await {
            Step::Answer(response) => return response,
            Step::Unavailable(unavailability) => {
                if node.clock.now() >= owner_wait_end {
                    return routing.unavailable_response(unavailability);
                }
            }
            Step::Retry(kept) => progress = kept,
        }
        if node.clock.now() >= inbound.deadline {
            return routing.unavailable_response(Unavailability::NoGrant);
        }
        // On a timeout the routes are read again as well.
        let _ = timeout(ROUTE_POLL_PERIOD, routes.changed()).await;
    }
}

fn owner_wait_end(inbound: &Inbound, now: Instant) -> Instant {
    let limit = match inbound.matched.class.patience {
        Patience::Wait => MAX_OWNER_WAIT,
        Patience::Prompt(limit) => limit.min(MAX_OWNER_WAIT),
    };
    inbound.deadline.min(now + limit)
}

impl Routing<'_> {
    async fn try_route(&mut self, progress: Option<Progress>) -> Step {
        let service = &self.inbound.matched.service;
        let route = self.node.ownership.route(service, self.inbound.shard);
        self.log(&route);
        match route {
            Route::Local { upstream, .. } => {
                match task::run(self.node, self.inbound, upstream, progress).await {
                    TaskResult::Answered(response) => Step::Answer(response),
                    TaskResult::Redirected(progress) => self.redirect(Some(progress)),
                }
            }
            Route::Remote { .. } | Route::Unavailable(_) if self.origin == Origin::Router => {
                self.redirect(progress)
            }
            Route::Remote { address, .. } => self.forward(hop::address(address), progress).await,
            Route::Unavailable(unavailability) => Step::Unavailable(unavailability),
        }
    }

    fn redirect(&self, progress: Option<Progress>) -> Step {
        match self.origin {
            Origin::Caller => Step::Retry(progress),
            Origin::Router => {
                let progress = progress.unwrap_or(Progress {
                    attempts: 0,
                    claim: None,
                });
                Step::Answer(hop::not_home_response(&progress, &self.inbound.request_id))
            }
        }
    }

    async fn forward(&mut self, address: std::net::SocketAddr, progress: Option<Progress>) -> Step {
        self.node.recorder.count(Counter::RequestsForwarded);
        let link = self.node.links.router(address);
        let left = self.inbound.deadline - self.node.clock.now();
        let token = self.node.hop_token.as_str();
        match hop::forward(&link, token, self.inbound, progress.as_ref(), left).await {
            HopResult::Answered(response) => Step::Answer(response),
            HopResult::Redirected(progress) => Step::Retry(progress),
            HopResult::Lost => self.handle_lost_hop(progress),
        }
    }

    /// Handles a lost hop, after which the request may have run. Only an idempotent
    /// request is routed again.
    fn handle_lost_hop(&mut self, progress: Option<Progress>) -> Step {
        self.lost_hops += 1;
        let idempotent = self.inbound.matched.class.repeat == Repeat::Idempotent;
        if idempotent && self.lost_hops <= MAX_LOST_HOPS {
            return Step::Retry(progress);
        }
        let detail = "the router that held the request was lost; the request may have run";
        let problem = Problem::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, detail);
        Step::Answer(problem.into_response(&self.inbound.request_id))
    }

    fn unavailable_response(&self, unavailability: Unavailability) -> Response<Body> {
        // After a lost hop the request may have run. `Retry-After` is safe even then,
        // because only idempotent requests get here after a lost hop.
        let outcome = if self.lost_hops == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let detail = detail(unavailability);
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, outcome, detail)
            .retry_after(UNAVAILABLE_RETRY_AFTER)
            .into_response(&self.inbound.request_id)
    }

    fn log(&self, route: &Route) {
        let (upstream, router, epoch, reason) = match route {
            Route::Local {
                upstream, epoch, ..
            } => (Some(upstream), None, Some(epoch), "local"),
            Route::Remote {
                upstream,
                epoch,
                router,
                ..
            } => (Some(upstream), Some(router), Some(epoch), "remote"),
            Route::Unavailable(unavailability) => (None, None, None, detail(*unavailability)),
        };
        let line = Line {
            request_id: &self.inbound.request_id,
            service: self.inbound.matched.service.as_str(),
            shard: self.inbound.shard.0,
            partner: self.inbound.partner.as_str(),
            epoch: epoch.map(|epoch| epoch.0),
            upstream: upstream.map(Name::as_str),
            router: router.map(Name::as_str),
            reason,
        };
        self.node.logger.info("route", &line);
    }
}

const fn detail(unavailability: Unavailability) -> &'static str {
    match unavailability {
        Unavailability::Unknown => "the owner of the key is not known here yet",
        Unavailability::Unowned => "the key has no owner now",
        Unavailability::NoHome => "the owner of the key has no home router now",
        Unavailability::NoGrant => "the owner of the key holds no grant now",
    }
}
