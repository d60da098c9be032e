//! Wakes a decision machine when its next timer is due.

use std::sync::{Mutex, PoisonError};

use eelgrassrock_model::time::Instant;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Time at which a machine wants to be woken.
#[derive(Debug, Default)]
pub(crate) struct Timer {
    due: Mutex<Option<Instant>>,
    changed: Notify,
}

impl Timer {
    /// Sets the time of the next wake, `None` for never.
    pub(crate) fn set(&self, due: Option<Instant>) {
        let mut current = self.due.lock().unwrap_or_else(PoisonError::into_inner);
        let earlier = match (*current, due) {
            (Some(old), Some(new)) => new < old,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        *current = due;
        drop(current);
        if earlier {
            self.changed.notify_one();
        }
    }

    /// Waits until the time that was set last has come.
    pub(crate) async fn wait(&self, clock: Clock) {
        loop {
            let due = *self.due.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(due) = due else {
                self.changed.notified().await;
                continue;
            };
            if due <= clock.now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(clock.at(due)) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}
