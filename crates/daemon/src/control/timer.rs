//! Timer that wakes the task of a state machine.

use std::sync::{Mutex, PoisonError};

use eelgrassrock_model::time::Instant;
use tokio::sync::Notify;

use crate::clock::Clock;

/// Timer with one due time, which can be changed while a task waits for it.
#[derive(Debug, Default)]
pub(crate) struct Timer {
    due: Mutex<Option<Instant>>,
    changed: Notify,
}

impl Timer {
    /// Sets the due time, `None` for never. Wakes the waiting task only if the new time is
    /// earlier, because [`Timer::wait`] reads the due time again before it returns.
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

    /// Waits until the latest due time has passed.
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
                () = tokio::time::sleep_until(clock.to_tokio(due)) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}
