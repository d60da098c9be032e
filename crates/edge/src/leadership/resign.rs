//! Resigning from leadership before the process ends.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::{LEADER_TICK, Participant, STORE_RETRY_PAUSE};
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

    /// Resigns in favour of a router that may reach the upstreams. Returns whether there may be one.
    pub(super) fn resign_isolated(self: &Rc<Self>, service: &Arc<str>, now: Instant) -> bool {
        if self.state.borrow().routers.len() < 2 {
            return false;
        }
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
        true
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
        self.participant(service, Participant::drop_leader);
        leadership.is_released = true;
        if has_no_predecessor {
            leadership.predecessors.clear();
        }
        let term = leadership.term;
        // If this fails, other routers detect by themselves that the leader doesn't respond.
        self.rewrite_leadership(service, leadership, version).await;
        self.log_term(service, term, &self.settings.router, reason);
    }
}
