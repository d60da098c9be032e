//! Routing of a request: to an upstream of this router, or to its home.

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
use crate::front::queued::{self, Settled};
use crate::node::Node;
use crate::peer::hop::{self, Carried, Passed};

/// Longest wait for a shard to get an owner again. After a single loss it has
/// one within a second.
const ABSENCE_LIMIT: Duration = Duration::from_secs(2);

/// Wait before a new look at the routes, which may have changed unnoticed.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Most hops of an idempotent request whose home routers were lost.
const MAX_LOST_HOPS: u32 = 2;

/// Time after which a shard without owner is expected to have one.
const ABSENCE_RETRY: Duration = Duration::from_secs(1);

/// Where a request came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// From a caller: it may be passed to another router.
    Caller,
    /// From another router, which takes this one for the home.
    Router,
}

/// Log line of a routing decision at the entry.
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

/// What to do after one look at the routes.
enum Next {
    Answer(Response<Body>),
    /// Look again when the routes have changed.
    Again(Option<Carried>),
    /// Give up: nobody serves the shard.
    Absent(Unavailability),
}

/// Routing of one request.
struct Routing<'a> {
    node: &'a Arc<Node>,
    inbound: &'a Arc<Inbound>,
    origin: Origin,
    lost_hops: u32,
}

/// Has a request served and returns its final answer.
pub(crate) async fn serve(
    node: &Arc<Node>,
    inbound: Inbound,
    origin: Origin,
    mut carried: Option<Carried>,
) -> Response<Body> {
    let inbound = Arc::new(inbound);
    let give_up = give_up(&inbound, node.clock.now());
    let mut routing = Routing {
        node,
        inbound: &inbound,
        origin,
        lost_hops: 0,
    };
    let mut routes = node.ownership.watch_routes();
    loop {
        routes.mark_unchanged();
        match routing.look(carried.clone()).await {
            Next::Answer(response) => return response,
            Next::Absent(absence) => {
                if node.clock.now() >= give_up {
                    return routing.refuse(absence);
                }
            }
            Next::Again(kept) => carried = kept,
        }
        if node.clock.now() >= inbound.deadline {
            return routing.refuse(Unavailability::NoGrant);
        }
        // Either the routes change, or they are looked at again.
        let _ = timeout(LOOK_AGAIN, routes.changed()).await;
    }
}

fn give_up(inbound: &Inbound, now: Instant) -> Instant {
    let limit = match inbound.matched.class.patience {
        Patience::Wait => ABSENCE_LIMIT,
        Patience::Prompt(limit) => limit.min(ABSENCE_LIMIT),
    };
    inbound.deadline.min(now + limit)
}

impl Routing<'_> {
    async fn look(&mut self, carried: Option<Carried>) -> Next {
        let service = &self.inbound.matched.service;
        let route = self.node.ownership.route(service, self.inbound.shard);
        self.log(&route);
        match route {
            Route::Local { upstream, .. } => {
                match queued::run(self.node, self.inbound, upstream, carried).await {
                    Settled::Answered(response) => Next::Answer(response),
                    Settled::Elsewhere(carried) => self.elsewhere(Some(carried)),
                }
            }
            Route::Remote { .. } | Route::Unavailable(_) if self.origin == Origin::Router => {
                self.elsewhere(carried)
            }
            Route::Remote { address, .. } => self.pass(hop::address(address), carried).await,
            Route::Unavailable(absence) => Next::Absent(absence),
        }
    }

    fn elsewhere(&self, carried: Option<Carried>) -> Next {
        match self.origin {
            Origin::Caller => Next::Again(carried),
            Origin::Router => {
                let carried = carried.unwrap_or(Carried {
                    attempts: 0,
                    claim: None,
                });
                Next::Answer(hop::pass_back(&carried, &self.inbound.request_id))
            }
        }
    }

    async fn pass(&mut self, address: std::net::SocketAddr, carried: Option<Carried>) -> Next {
        self.node.recorder.count(Counter::RequestsForwarded);
        let link = self.node.links.router(address);
        let left = self.inbound.deadline - self.node.clock.now();
        let token = self.node.hop_token.as_str();
        match hop::pass(&link, token, self.inbound, carried.as_ref(), left).await {
            Passed::Answered(response) => Next::Answer(response),
            Passed::Elsewhere(carried) => Next::Again(carried),
            Passed::Lost => self.after_loss(carried),
        }
    }

    /// The home router was lost with the request, which may have run.
    fn after_loss(&mut self, carried: Option<Carried>) -> Next {
        self.lost_hops += 1;
        let idempotent = self.inbound.matched.class.repeat == Repeat::Idempotent;
        if idempotent && self.lost_hops <= MAX_LOST_HOPS {
            return Next::Again(carried);
        }
        let detail = "the router that held the request was lost; the request may have run";
        let problem = Problem::new(StatusCode::BAD_GATEWAY, Outcome::Unknown, detail);
        Next::Answer(problem.into_response(&self.inbound.request_id))
    }

    fn refuse(&self, absence: Unavailability) -> Response<Body> {
        // After a lost hop an idempotent request may have run, but a retry is
        // safe all the same.
        let outcome = if self.lost_hops == 0 {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let detail = detail(absence);
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, outcome, detail)
            .retry_after(ABSENCE_RETRY)
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
            Route::Unavailable(absence) => (None, None, None, detail(*absence)),
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

const fn detail(absence: Unavailability) -> &'static str {
    match absence {
        Unavailability::Unknown => "the owner of the key is not known here yet",
        Unavailability::Unowned => "the key has no owner now",
        Unavailability::NoHome => "the owner of the key has no home router now",
        Unavailability::NoGrant => "the owner of the key holds no grant now",
    }
}
