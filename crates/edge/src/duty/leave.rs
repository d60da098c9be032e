//! Giving the duty up before the process ends.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::sleep;

use super::{KEEPER_TICK, STORE_PAUSE, Seat};
use crate::clock;
use crate::node::Node;
use crate::seam::Platform;

/// Time that calls under way get when the duty is given up.
const HAND_OVER_TIME: Duration = Duration::from_millis(350);

impl<P: Platform> Node<P> {
    /// Gives up all duties before the process ends.
    pub(crate) async fn hand_over(self: &Rc<Self>) {
        let services: Vec<Arc<str>> = self.duties.services.borrow().keys().cloned().collect();
        for service in services {
            // Without the store nobody else can take the duty over, so it is
            // carried out until the store answers or the process ends.
            while self.keeper(&service, |_| ()).is_some() {
                if self.confirm(&service).await {
                    self.release_duty(&service).await;
                    break;
                }
                sleep(STORE_PAUSE).await;
            }
        }
    }

    pub(super) async fn release_duty(self: &Rc<Self>, service: &Arc<str>) {
        let duty = self.seat(service, |seat| {
            let duty = seat.election.leadership().cloned();
            let calls: Vec<AbortHandle> = seat.calls.clone();
            (duty, calls)
        });
        let Some((Some((mut duty, version)), calls)) = duty else {
            return;
        };
        let give_up = clock::now() + HAND_OVER_TIME;
        while calls.iter().any(|call| !call.is_finished()) && clock::now() < give_up {
            sleep(KEEPER_TICK / 4).await;
        }
        let is_sure = self.keeper(service, |keeper| !keeper.has_active_predecessor());
        let is_sure = is_sure == Some(true);
        self.seat(service, Seat::drop_keeper);
        duty.is_released = true;
        if is_sure {
            duty.predecessors.clear();
        }
        let term = duty.term;
        // If this fails, others find out by themselves that nobody answers.
        self.rewrite_duty(service, duty, version).await;
        self.note_term(service, term, &self.settings.router, "given up");
    }
}
