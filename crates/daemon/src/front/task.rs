//! Task that owns one request at its home router, from its arrival in the queue to the
//! final response.

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
use crate::peer::hop::Progress;
use crate::upstream::attempt::{Attempt, AttemptResult, Outgoing};
use crate::upstream::load::BusyGuard;

/// Memory that is charged for a queued request in addition to its body, in bytes. The
/// headers aren't counted.
const REQUEST_OVERHEAD_BYTES: usize = 1_024;

/// Result of a request at this router.
pub(crate) enum TaskResult {
    /// Final response.
    Answered(Response<Body>),
    /// The request is proven not to have run and must be routed again.
    Redirected(Progress),
}

/// Queues a request for an upstream whose home is this router, and waits for its result.
pub(crate) async fn run(
    node: &Arc<Node>,
    inbound: &Arc<Inbound>,
    upstream: Upstream,
    progress: Option<Progress>,
) -> TaskResult {
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
    let caller = CallerGuard {
        scheduler: &node.scheduler,
        id,
        is_waiting: true,
    };
    let mut routes = node.ownership.watch_routes();
    let arrival = arrival(inbound, id, upstream.clone(), progress);
    node.scheduler.step(Event::Arrive(arrival), None);
    // The shard may have moved since the request was routed.
    routes.mark_changed();
    let result = loop {
        tokio::select! {
            biased;
            result = &mut answered => break result,
            Ok(()) = routes.changed() => report_move(node, inbound, &upstream),
        }
    };
    caller.disarm();
    result.unwrap_or_else(|_| TaskResult::Answered(task_failed_response(&inbound.request_id)))
}

/// Reports a move of the shard to the request machine if another upstream owns the shard
/// now. The machine then redirects the waiting requests of the shard.
fn report_move(node: &Node, inbound: &Inbound, upstream: &Upstream) {
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
    progress: Option<Progress>,
) -> Arrival {
    let progress = progress.unwrap_or(Progress {
        attempts: 0,
        claim: None,
    });
    let mut idempotency = inbound.idempotency.clone();
    if let Some(token) = &mut idempotency {
        token.carried = progress.claim;
    }
    let bytes = REQUEST_OVERHEAD_BYTES + inbound.body.len();
    Arrival {
        request,
        upstream,
        shard: inbound.shard,
        partner: inbound.partner.clone(),
        class: Arc::clone(&inbound.matched.class),
        deadline: inbound.deadline,
        attempts: progress.attempts,
        bytes: u32::try_from(bytes).unwrap_or(u32::MAX),
        idempotency,
    }
}

fn task_failed_response(request_id: &str) -> Response<Body> {
    let detail = "the router failed while it held the request";
    let problem = Problem::new(StatusCode::INTERNAL_SERVER_ERROR, Outcome::Unknown, detail);
    problem.into_response(request_id)
}

/// Guard that tells the request machine if the caller disconnects before the result. On
/// a disconnect the HTTP server drops the future of the response, and with it the guard.
struct CallerGuard<'a> {
    scheduler: &'a Scheduler,
    id: Id,
    is_waiting: bool,
}

impl CallerGuard<'_> {
    fn disarm(mut self) {
        self.is_waiting = false;
    }
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.scheduler
                .step(Event::Disconnected { request: self.id }, None);
        }
    }
}

/// Whether the task continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    Stop,
}

/// State of the task of one request.
struct Task {
    node: Arc<Node>,
    inbound: Arc<Inbound>,
    id: Id,
    answer: Option<oneshot::Sender<TaskResult>>,
    attempt: Option<(u32, JoinHandle<AttemptResult>)>,
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
                    Some(directive) => self.handle_directive(directive),
                    None => Flow::Stop,
                },
                ended = wait_for_attempt(&mut self.attempt) => self.handle_attempt_end(ended),
            };
            if next == Flow::Stop {
                return;
            }
        }
    }

    fn handle_directive(&mut self, directive: Directive) -> Flow {
        match directive {
            Directive::Send {
                upstream,
                attempt,
                left,
            } => self.send(upstream, attempt, left),
            Directive::Cancel => self.stop_attempt(),
            Directive::Finish(verdict) => {
                let response = self.verdict_response(verdict);
                self.send_result(TaskResult::Answered(response));
            }
            Directive::Replay(stored) => {
                let response = replay_response(&stored, &self.inbound.request_id);
                self.send_result(TaskResult::Answered(response));
            }
            Directive::Redirect { attempts, claim } => {
                self.send_result(TaskResult::Redirected(Progress { attempts, claim }));
            }
        }
        self.flow()
    }

    /// Returns `Continue` while the result hasn't been sent, or while an attempt runs
    /// whose end must be reported to the request machine.
    fn flow(&self) -> Flow {
        if self.answer.is_none() && self.attempt.is_none() {
            Flow::Stop
        } else {
            Flow::Continue
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
        let busy_guard = BusyGuard::start(&self.node.meter, upstream, self.inbound.shard);
        let attempt = Attempt {
            scheduler,
            link,
            request: self.id,
            number,
            left,
            busy_guard,
        };
        let outgoing = Outgoing {
            inbound: Arc::clone(&self.inbound),
            epoch,
        };
        self.attempt = Some((number, tokio::spawn(attempt.run(outgoing))));
    }

    fn handle_attempt_end(&mut self, (number, ended): (u32, AttemptResult)) -> Flow {
        match ended {
            AttemptResult::Responding(response) => {
                self.send_result(TaskResult::Answered(response));
                return Flow::Stop;
            }
            AttemptResult::Recorded(response, stored) => {
                self.recorded = Some(response);
                self.report(number, Answer::Done(stored));
            }
            AttemptResult::Failed(answer) => self.report(number, answer),
            AttemptResult::Cancelled => {}
        }
        self.flow()
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

    fn verdict_response(&mut self, verdict: Verdict) -> Response<Body> {
        match (verdict.reason, self.recorded.take()) {
            (Reason::Answered(_), Some(response)) => response,
            _ => reason::problem(verdict).into_response(&self.inbound.request_id),
        }
    }

    fn send_result(&mut self, result: TaskResult) {
        if let Some(answer) = self.answer.take() {
            // Sending fails if the caller has disconnected.
            let _ = answer.send(result);
        }
    }

    fn stop_attempt(&mut self) {
        if let Some((_, task)) = self.attempt.take() {
            task.abort();
        }
    }
}

/// Waits for the end of the attempt. Never completes if there is none.
async fn wait_for_attempt(
    attempt: &mut Option<(u32, JoinHandle<AttemptResult>)>,
) -> (u32, AttemptResult) {
    let Some((number, task)) = attempt else {
        return std::future::pending().await;
    };
    let number = *number;
    let ended = task.await.unwrap_or(AttemptResult::Failed(Answer::Broken));
    *attempt = None;
    (number, ended)
}

fn replay_response(stored: &Stored, request_id: &str) -> Response<Body> {
    let recorded = stored.content.as_ref();
    let response = recorded.and_then(|content| recorded::decode(stored.status, content));
    response.unwrap_or_else(|| {
        let detail = "this request ran before; its answer is not kept";
        Problem::new(StatusCode::CONFLICT, Outcome::Done, detail).into_response(request_id)
    })
}
