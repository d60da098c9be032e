//! Questions to the owners of the limit of a cold upstream, for a permit to send it one request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::limit::PERMIT_TIME;
use eelgrassrock_dispatch::service::cold::Permit;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::millis;
use crate::clock;
use crate::gossip;
use crate::node::Node;
use crate::platform::Platform;

/// Time within which an owner answers: half the time for which no other question is asked, so that
/// there is time for the other owner.
const ANSWER_TIME: Duration = PERMIT_TIME.checked_div(2).expect("a divisor above 0");
/// Time for which a router that hasn't answered is asked after the others.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Time after which to ask again if no owner has answered.
const UNANSWERED_WAIT: Duration = Duration::from_millis(300);
/// Time after which to ask a router again that is stopping, or doesn't know the service.
const REFUSED_WAIT: Duration = Duration::from_millis(300);

/// Question of a router that wants to send a request to a cold upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Question {
    id: u64,
    service: Arc<str>,
    upstream: Arc<str>,
    incarnation: u64,
    /// Time for which the upstream stays cold, as far as the sender knows.
    left_ms: u64,
}

/// Answer of an owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answer {
    id: u64,
    is_granted: bool,
    /// Time until the opening of the request, or else until the next question.
    wait_ms: u64,
}

/// Questions of this router that have no answer yet.
#[derive(Debug)]
pub(crate) struct Permits {
    next_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Permit>>>,
    /// Routers that haven't answered lately, and until when they come last.
    silent: RefCell<HashMap<Arc<str>, Instant>>,
}

impl Permits {
    /// Creates the record of a process. Answers to earlier processes have other numbers.
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            next_id: Cell::new(incarnation.wrapping_shl(20)),
            waiting: RefCell::default(),
            silent: RefCell::default(),
        }
    }

    fn open(&self) -> (u64, oneshot::Receiver<Permit>) {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// Records the answer of an owner. A late one has no effect.
    pub(crate) fn resolve(&self, answer: &Answer) {
        let wait = Duration::from_millis(answer.wait_ms);
        if let Some(sender) = self.waiting.borrow_mut().remove(&answer.id) {
            let permit = if answer.is_granted {
                Permit::Granted(wait)
            } else {
                Permit::Denied(wait)
            };
            let _ = sender.send(permit);
        }
    }

    fn is_silent(&self, router: &str, now: Instant) -> bool {
        let silent = self.silent.borrow();
        silent.get(router).is_some_and(|until| now < *until)
    }

    fn record(&self, router: &Arc<str>, has_answered: bool, now: Instant) {
        let mut silent = self.silent.borrow_mut();
        if has_answered {
            silent.remove(router);
        } else {
            silent.retain(|_, until| now < *until);
            silent.insert(Arc::clone(router), now + SILENT_TIME);
        }
    }
}

/// Question whose answer is awaited. It is forgotten when dropped.
struct Open<'a> {
    permits: &'a Permits,
    id: u64,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.permits.waiting.borrow_mut().remove(&self.id);
    }
}

impl<P: Platform> Node<P> {
    /// Waits until a request may be sent to a cold upstream. Returns `false` if no owner permits it.
    pub(crate) async fn permit(self: &Rc<Self>, upstream: &Arc<Upstream>) -> bool {
        let (permit, asked_at) = self.ask_owners(upstream).await;
        self.with_service(&upstream.service, |service, now| {
            service.record_permit(&upstream.id, permit, now);
        });
        let Permit::Granted(delay) = permit else {
            return false;
        };
        sleep(delay).await;
        let is_valid = clock::now() <= asked_at + delay + PERMIT_TIME;
        if !is_valid {
            self.metrics.permit(&upstream.service, "lapsed");
        }
        is_valid
    }

    /// Asks the owners in turn, this router first. Returns the best answer, and when the owner that
    /// gave it was asked.
    async fn ask_owners(self: &Rc<Self>, upstream: &Upstream) -> (Permit, Instant) {
        let now = clock::now();
        let known = self.with_service(&upstream.service, |service, now| {
            let owners = service.owners(upstream, now)?;
            let left = service.cold_left(upstream, now);
            let own = service.permit(&upstream.id, upstream.incarnation, left, now);
            Some((own, left, owners))
        });
        let Some((own, left, mut owners)) = known.flatten() else {
            // Its limit has ended.
            return (Permit::Granted(Duration::ZERO), now);
        };
        let mut least = match own {
            Permit::Granted(_) => return (own, now),
            Permit::Denied(wait) => wait,
        };
        owners.sort_by_key(|owner| self.permits.is_silent(owner, now));
        let mut is_answered = false;
        for owner in &owners {
            let asked_at = clock::now();
            match self.ask(owner, upstream, left).await {
                Some(granted @ Permit::Granted(_)) => return (granted, asked_at),
                Some(Permit::Denied(wait)) => {
                    least = if is_answered { least.min(wait) } else { wait };
                    is_answered = true;
                }
                None => {}
            }
        }
        if !is_answered {
            least = least.max(UNANSWERED_WAIT);
        }
        (Permit::Denied(least), now)
    }

    /// Asks another router for a permit.
    async fn ask(&self, owner: &Arc<str>, upstream: &Upstream, left: Duration) -> Option<Permit> {
        let address = self.state.borrow().routers.get(owner)?.address;
        let (id, receiver) = self.permits.open();
        let _open = Open {
            permits: &self.permits,
            id,
        };
        let question = Question {
            id,
            service: Arc::clone(&upstream.service),
            upstream: Arc::clone(&upstream.id),
            incarnation: upstream.incarnation,
            left_ms: millis(left),
        };
        gossip::send_question(self, question, address);
        let permit = timeout(ANSWER_TIME, receiver).await;
        let permit = permit.ok().and_then(Result::ok);
        let result = match permit {
            Some(Permit::Granted(_)) => "granted",
            Some(Permit::Denied(_)) => "denied",
            None => "unanswered",
        };
        self.metrics.permit(&upstream.service, result);
        self.permits.record(owner, permit.is_some(), clock::now());
        permit
    }

    /// Answers the question of another router.
    pub(crate) fn answer(self: &Rc<Self>, question: &Question, sender: SocketAddr) {
        let left = Duration::from_millis(question.left_ms);
        let permit = (!self.is_stopping())
            .then(|| {
                self.with_service(&question.service, |service, now| {
                    service.permit(&question.upstream, question.incarnation, left, now)
                })
            })
            .flatten();
        // The sender asks the other owner at once.
        let permit = permit.unwrap_or(Permit::Denied(REFUSED_WAIT));
        let (is_granted, wait) = match permit {
            Permit::Granted(wait) => (true, wait),
            Permit::Denied(wait) => (false, wait),
        };
        self.metrics.permit_given(&question.service, is_granted);
        let answer = Answer {
            id: question.id,
            is_granted,
            wait_ms: millis(wait),
        };
        gossip::send_answer(self, answer, sender);
    }
}
