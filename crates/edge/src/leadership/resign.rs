//! Resigning from leadership before the process ends.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::leader::Surroundings;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::{LEADER_TICK, STORE_RETRY_PAUSE};
use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

/// Time for which a router that reached no upstream doesn't run for leadership again.
const BARRED_TIME: Duration = Duration::from_secs(5);
/// Maximum time to wait for calls under way before resigning.
const CALL_DRAIN_TIME: Duration = Duration::from_millis(350);

impl<P: Platform> Node<P> {
    /// Resigns from the leadership of all services before the process ends.
    pub(crate) async fn resign_all(self: &Rc<Self>) {
        let services: Vec<Arc<str>> = self.leaderships.services.borrow().keys().cloned().collect();
        for service in services {
            // Without the store no other router can take over, so this one continues to lead until
            // the store responds or the process ends.
            while self.leader(&service, |_| ()).is_some() {
                if self.confirm(&service).await {
                    self.resign(&service, "resigned").await;
                    break;
                }
                sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }

    /// Whether the leader of a service should resign in favour of a router that reaches the
    /// upstreams.
    pub(super) fn should_resign(&self, service: &Arc<str>, now: Instant) -> bool {
        let Some(Some(since)) = self.leader(service, |leader| leader.silent_since()) else {
            return false;
        };
        let is_in_touch = {
            let state = self.state.borrow();
            let mut others = state.services.iter().filter(|(name, _)| *name != service);
            others.any(|(_, other)| other.has_answered_since(since))
        };
        let should_resign = self.participant(service, |participant| {
            let surroundings = Surroundings {
                answered_elsewhere_at: participant.answered_elsewhere_at,
                is_in_touch,
            };
            let leader = participant.leader.as_ref();
            leader.is_some_and(|leader| leader.should_resign(&surroundings, now))
        });
        should_resign == Some(true) && self.state.borrow().routers.len() >= 2
    }

    /// Resigns because this router reaches no upstream, unless it is doing so already.
    pub(super) fn resign_isolated(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        let is_resigning = self.participant(service, |participant| {
            let was_barred = participant.barred_until.is_some_and(|until| now < until);
            participant.barred_until = Some(now + BARRED_TIME);
            was_barred
        });
        if is_resigning == Some(false) {
            let (node, service) = (Rc::clone(self), Arc::clone(service));
            tokio::task::spawn_local(async move {
                node.resign(&service, "reaches no upstream").await;
            });
        }
    }

    async fn resign(self: &Rc<Self>, service: &Arc<str>, reason: &str) {
        let leadership = self.participant(service, |participant| {
            let leadership = participant.election.leadership().cloned();
            let calls: Vec<AbortHandle> = participant.calls.clone();
            (leadership, calls)
        });
        let Some((Some((mut leadership, version)), calls)) = leadership else {
            return;
        };
        let deadline = clock::now() + CALL_DRAIN_TIME;
        while calls.iter().any(|call| !call.is_finished()) && clock::now() < deadline {
            sleep(LEADER_TICK / 4).await;
        }
        let has_no_predecessor = self.leader(service, |leader| !leader.has_active_predecessor());
        let has_no_predecessor = has_no_predecessor == Some(true);
        self.participant(service, |participant| {
            participant.drop_leader();
            participant.election.resign();
        });
        leadership.is_released = true;
        if has_no_predecessor {
            leadership.predecessors.clear();
        }
        let term = leadership.term;
        // If this fails, other routers learn from their reports that this one doesn't lead.
        self.rewrite_leadership(service, leadership, version).await;
        self.log_term(service, term, &self.settings.router, reason);
    }
}
