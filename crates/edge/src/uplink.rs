//! Accounts for traffic on the VM's network link, and sheds requests while it is overloaded.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::uplink::{Size, State};
use eelgrassrock_model::time::Instant;
use serde::Serialize;

use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

/// Queueing delay on the VM's link from which a line is logged.
const LONG_LINK_WAIT: Duration = Duration::from_millis(200);

/// Longest wait for the VM's link that calls to other routers are allowed.
const MAX_LINK_WAIT: Duration = Duration::from_millis(800);

#[derive(Serialize)]
struct LinkLine {
    wait_in_ms: u64,
    wait_out_ms: u64,
    /// Bytes that are queued ahead of the next answer.
    owed_bytes: u64,
}

impl<P: Platform> Node<P> {
    /// Whether messages queue on the VM's link.
    pub(crate) fn is_link_busy(&self) -> bool {
        self.uplink.borrow().state(clock::now()) == State::Busy
    }

    /// Returns the time that messages wait for the VM's link.
    pub(crate) fn link_wait(&self) -> Duration {
        let (link, now) = (self.uplink.borrow(), clock::now());
        link.wait_in(now).max(link.wait_out(now)).min(MAX_LINK_WAIT)
    }

    /// Returns the delay after which a caller should retry if a request of this route must be shed
    /// because of the VM's link.
    pub(crate) fn link_shed_delay(&self, route: &str, left: Duration) -> Option<Duration> {
        let size = self.sizes.borrow().get(route).copied()?;
        self.uplink.borrow().shed_delay(size, left, clock::now())
    }

    /// Records that a request of a route is being sent, so that its answer is expected on the link.
    pub(crate) fn expect_answer(&self, route: &str) {
        let bytes = self.sizes.borrow().get(route).map_or(0, Size::bytes);
        self.uplink.borrow_mut().expect(bytes, clock::now());
    }

    /// Records an answer to a caller. Answers that the router made itself don't count towards the
    /// mean size of a route's answers.
    pub(crate) fn record_answer(&self, route: &Arc<str>, bytes: usize, is_own: bool) {
        self.uplink.borrow_mut().send(bytes, clock::now());
        if !is_own {
            let mut sizes = self.sizes.borrow_mut();
            sizes.entry(Arc::clone(route)).or_default().record(bytes);
        }
    }

    /// Logs a line if the queueing delay on the link is long.
    pub(crate) fn log_link(&self, now: Instant) {
        let link = self.uplink.borrow();
        let (wait_in, wait_out) = (link.wait_in(now), link.wait_out(now));
        if wait_in.max(wait_out) >= LONG_LINK_WAIT {
            let line = LinkLine {
                wait_in_ms: wait_in.as_millis() as u64,
                wait_out_ms: wait_out.as_millis() as u64,
                owed_bytes: link.owed_bytes(now),
            };
            self.log.info("link full", &line);
        }
    }
}
