//! The task that holds one request at its home router, from its arrival in the
//! queue to its final answer.

use std::sync::Arc;

use eelgrassrock_model::Upstream;
use eelgrassrock_ownership::Route;
use eelgrassrock_request::{Answer, Arrival, Event, Id, Reason, Stored, Verdict};
use http::{Response, StatusCode};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::control::scheduler::{Directive, Scheduler};
use crate::exchange::body::Body;
use crate::exchange::inbound::Inbound;
use crate::exchange::problem::{Outcome, Problem};
use crate::exchange::{reason, recorded};
use crate::node::Node;
use crate::peer::hop::Carried;
use crate::upstream::attempt::{Attempt, Ended, Outgoing};
use crate::upstream::load::Charge;

/// Memory that a waiting request takes besides its body and headers, in bytes.
const BASE_BYTES: usize = 1_024;

/// What came of a request at this router.
pub(crate) enum Settled {
    /// Final answer.
    Answered(Response<Body>),
    /// The request is proven not to have run, and belongs elsewhere now.
    Elsewhere(Carried),
}

/// Has a request served by an upstream of which this router is home.
pub(crate) async fn run(
    node: &Arc<Node>,
    inbound: &Arc<Inbound>,
    upstream: Upstream,
    carried: Option<Carried>,
) -> Settled {
    let (id, directives) = node.scheduler.register(Arc::clone(&inbound.request_id));
    let (answer, mut answered) = oneshot::channel();
    let task = Task {
        node: Arc::clone(node),
        inbound: Arc::clone(inbound),
        id,
        answer: Some(answer),
        attempt: None,
        recorded: None,
    };
    tokio::spawn(task.run(directives));
    let caller = Caller {
        scheduler: &node.scheduler,
        id,
        waits: true,
    };
    let mut routes = node.ownership.watch_routes();
    let arrival = arrival(inbound, id, upstream.clone(), carried);
    node.scheduler.step(Event::Arrive(arrival), None);
    // The shard may have moved since the request was routed.
    routes.mark_changed();
    let settled = loop {
        tokio::select! {
            biased;
            settled = &mut answered => break settled,
            Ok(()) = routes.changed() => tell_if_moved(node, inbound, &upstream),
        }
    };
    caller.answered();
    settled.unwrap_or_else(|_| Settled::Answered(lost_task(&inbound.request_id)))
}

/// Has what waits for a shard routed again if another upstream owns it now.
fn tell_if_moved(node: &Node, inbound: &Inbound, upstream: &Upstream) {
    let shard = inbound.shard;
    let moved = match node.ownership.route(&inbound.matched.service, shard) {
        Route::Local {
            upstream: owner, ..
        } => owner != *upstream,
        Route::Remote { .. } => true,
        Route::Unavailable(_) => false,
    };
    if moved {
        let upstream = upstream.clone();
        node.scheduler.step(Event::Moved { upstream, shard }, None);
    }
}

fn arrival(
    inbound: &Inbound,
    request: Id,
    upstream: Upstream,
    carried: Option<Carried>,
) -> Arrival {
    let carried = carried.unwrap_or(Carried {
        attempts: 0,
        claim: None,
    });
    let mut idempotency = inbound.idempotency.clone();
    if let Some(token) = &mut idempotency {
        token.carried = carried.claim;
    }
    let bytes = BASE_BYTES + inbound.body.len();
    Arrival {
        request,
        upstream,
        shard: inbound.shard,
        partner: inbound.partner.clone(),
        class: Arc::clone(&inbound.matched.class),
        deadline: inbound.deadline,
        attempts: carried.attempts,
        bytes: u32::try_from(bytes).unwrap_or(u32::MAX),
        idempotency,
    }
}

fn lost_task(request_id: &str) -> Response<Body> {
    let detail = "the router failed while it held the request";
    let problem = Problem::new(StatusCode::INTERNAL_SERVER_ERROR, Outcome::Unknown, detail);
    problem.into_response(request_id)
}

/// Tells the request machine when the caller goes away before its answer.
struct Caller<'a> {
    scheduler: &'a Scheduler,
    id: Id,
    waits: bool,
}

impl Caller<'_> {
    fn answered(mut self) {
        self.waits = false;
    }
}

impl Drop for Caller<'_> {
    fn drop(&mut self) {
        if self.waits {
            self.scheduler
                .step(Event::Disconnected { request: self.id }, None);
        }
    }
}

/// Whether the task goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    GoOn,
    Stop,
}

struct Task {
    node: Arc<Node>,
    inbound: Arc<Inbound>,
    id: Id,
    answer: Option<oneshot::Sender<Settled>>,
    attempt: Option<(u32, JoinHandle<Ended>)>,
    recorded: Option<Response<Body>>,
}

impl Drop for Task {
    fn drop(&mut self) {
        self.node.scheduler.unregister(self.id);
        self.stop_attempt();
    }
}

impl Task {
    async fn run(mut self, mut directives: UnboundedReceiver<Directive>) {
        loop {
            let next = tokio::select! {
                biased;
                directive = directives.recv() => match directive {
                    Some(directive) => self.follow(directive),
                    None => Next::Stop,
                },
                ended = wait(&mut self.attempt) => self.conclude(ended),
            };
            if next == Next::Stop {
                return;
            }
        }
    }

    fn follow(&mut self, directive: Directive) -> Next {
        match directive {
            Directive::Send {
                upstream,
                attempt,
                left,
            } => self.send(upstream, attempt, left),
            Directive::Cancel => self.stop_attempt(),
            Directive::Finish(verdict) => {
                let response = self.finish(verdict);
                self.give(Settled::Answered(response));
            }
            Directive::Replay(stored) => {
                let response = replay(&stored, &self.inbound.request_id);
                self.give(Settled::Answered(response));
            }
            Directive::Redirect { attempts, claim } => {
                self.give(Settled::Elsewhere(Carried { attempts, claim }));
            }
        }
        self.next()
    }

    /// The task goes on while there is an answer to give, or a run whose end
    /// the request machine wants to learn.
    fn next(&self) -> Next {
        if self.answer.is_none() && self.attempt.is_none() {
            Next::Stop
        } else {
            Next::GoOn
        }
    }

    fn send(&mut self, upstream: Upstream, number: u32, left: std::time::Duration) {
        self.stop_attempt();
        let route = self
            .node
            .ownership
            .route(&self.inbound.matched.service, self.inbound.shard);
        let epoch = match route {
            Route::Local {
                upstream: owner,
                epoch,
                valid_until,
            } if owner == upstream && self.node.clock.now() < valid_until => epoch,
            _ => return self.report(number, Answer::NotOwner),
        };
        let Some(link) = self.node.links.upstream(&upstream) else {
            return self.report(number, Answer::NotSent);
        };
        let scheduler = Arc::clone(&self.node.scheduler);
        let charge = Charge::start(&self.node.meter, upstream, self.inbound.shard);
        let attempt = Attempt {
            scheduler,
            link,
            request: self.id,
            number,
            left,
            charge,
        };
        let outgoing = Outgoing {
            inbound: Arc::clone(&self.inbound),
            epoch,
        };
        self.attempt = Some((number, tokio::spawn(attempt.run(outgoing))));
    }

    fn conclude(&mut self, (number, ended): (u32, Ended)) -> Next {
        match ended {
            Ended::Responding(response) => {
                self.give(Settled::Answered(response));
                return Next::Stop;
            }
            Ended::Recorded(response, stored) => {
                self.recorded = Some(response);
                self.report(number, Answer::Done(stored));
            }
            Ended::Failed(answer) => self.report(number, answer),
            Ended::Cancelled => {}
        }
        self.next()
    }

    fn report(&self, attempt: u32, answer: Answer) {
        self.node.scheduler.step(
            Event::Answered {
                request: self.id,
                attempt,
                answer,
            },
            None,
        );
    }

    fn finish(&mut self, verdict: Verdict) -> Response<Body> {
        match (verdict.reason, self.recorded.take()) {
            (Reason::Answered(_), Some(response)) => response,
            _ => reason::problem(verdict).into_response(&self.inbound.request_id),
        }
    }

    fn give(&mut self, settled: Settled) {
        if let Some(answer) = self.answer.take() {
            // A caller that has left doesn't take its answer.
            let _ = answer.send(settled);
        }
    }

    fn stop_attempt(&mut self) {
        if let Some((_, task)) = self.attempt.take() {
            task.abort();
        }
    }
}

/// Waits for the end of an attempt, for ever if there is none.
async fn wait(attempt: &mut Option<(u32, JoinHandle<Ended>)>) -> (u32, Ended) {
    let Some((number, task)) = attempt else {
        return std::future::pending().await;
    };
    let number = *number;
    let ended = task.await.unwrap_or(Ended::Failed(Answer::Broken));
    *attempt = None;
    (number, ended)
}

fn replay(stored: &Stored, request_id: &str) -> Response<Body> {
    let recorded = stored.content.as_ref();
    let response = recorded.and_then(|content| recorded::decode(stored.status, content));
    response.unwrap_or_else(|| {
        let detail = "this request ran before; its answer is not kept";
        Problem::new(StatusCode::CONFLICT, Outcome::Done, detail).into_response(request_id)
    })
}
