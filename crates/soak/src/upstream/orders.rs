//! Grants and releases of keys, some of which are carried out late.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eelgrassrock_platform_standin::framing::{Keys, Reply};
use tokio::time::{Instant, sleep};

use super::{Outcome, Server, wait_until_gone};
use crate::run::MAX_HOLD;

/// Rate of an upstream's clock: grants last slightly longer than the router stated.
const CLOCK_RATE: f64 = 1.02;
/// Share of the orders that an upstream carries out late while it misbehaves in that way.
const LATE_SHARE: f64 = 0.4;
/// Shortest and longest delay of late orders.
const MIN_ORDER_DELAY: Duration = Duration::from_secs(2);
const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);
/// Share of the late orders whose connection is closed at once.
const CLOSED_SHARE: f64 = 0.5;
/// Time from its arrival after which an order counts as carried out late.
const PROMPT_LIMIT: Duration = Duration::from_millis(100);

impl Server {
    /// Carries out an order: a grant for the duration `hold`, or a release. An order is carried
    /// out even if its sender closes the connection meanwhile.
    pub(super) async fn order(
        self: &Arc<Self>,
        keys: Keys,
        hold: Option<Duration>,
        arrived: Instant,
    ) -> Outcome {
        let is_late = self.behaviour.borrow().is_late_with_orders && self.draw() < LATE_SHARE;
        let delay = if is_late {
            MIN_ORDER_DELAY + (MAX_ORDER_DELAY - MIN_ORDER_DELAY).mul_f64(self.draw())
        } else {
            Duration::ZERO
        };
        let server = Arc::clone(self);
        let done = tokio::spawn(async move {
            let mut behaviour = server.behaviour.subscribe();
            tokio::select! {
                outcome = server.carry_out(keys, hold, arrived, delay) => outcome,
                () = wait_until_gone(&mut behaviour) => Outcome::Lost,
            }
        });
        if is_late && self.draw() < CLOSED_SHARE {
            return Outcome::Lost;
        }
        let outcome = done.await.unwrap_or(Outcome::Lost);
        if is_late { Outcome::Lost } else { outcome }
    }

    async fn carry_out(
        &self,
        keys: Keys,
        hold: Option<Duration>,
        arrived: Instant,
        delay: Duration,
    ) -> Outcome {
        sleep(delay).await;
        self.wait_while_paused().await;
        match hold {
            Some(hold) => self.grant(keys, arrived, hold),
            None => self.release(keys).await,
        }
    }

    fn grant(&self, keys: Keys, arrived: Instant, hold: Duration) -> Outcome {
        if hold > MAX_HOLD {
            return Outcome::Answered(Reply::Unreadable);
        }
        let until = arrived + hold.mul_f64(CLOCK_RATE);
        let range = usize::from(keys.from)..=usize::from(keys.to);
        // The checker must learn of orders in the order in which they are carried out.
        let mut holds = self.holds();
        if self.has_ended.load(Ordering::Relaxed) {
            return Outcome::Lost;
        }
        let Some(holds) = holds.get_mut(range) else {
            return Outcome::Answered(Reply::Unreadable);
        };
        if holds.iter().any(|held| held.token > keys.token) {
            return Outcome::Answered(Reply::Fenced);
        }
        for held in holds {
            held.token = keys.token;
            held.until = Some(until);
        }
        let is_late = arrived.elapsed() > PROMPT_LIMIT;
        self.checker.grant(self.incarnation, keys, until, is_late);
        Outcome::Answered(Reply::Granted)
    }

    /// Stops new work on keys at once, whatever their tokens, and waits for the work that runs.
    async fn release(&self, keys: Keys) -> Outcome {
        let range = usize::from(keys.from)..=usize::from(keys.to);
        {
            let mut holds = self.holds();
            let Some(holds) = holds.get_mut(range.clone()) else {
                return Outcome::Answered(Reply::Unreadable);
            };
            for held in holds {
                held.token = held.token.max(keys.token);
                held.until = None;
            }
            self.checker.release(self.incarnation, keys);
        }
        while self.holds()[range.clone()]
            .iter()
            .any(|held| held.running > 0)
        {
            sleep(Duration::from_millis(5)).await;
        }
        Outcome::Answered(Reply::Released(format!("{}-{}", self.id, keys.token)))
    }
}
