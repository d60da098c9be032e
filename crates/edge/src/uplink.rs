//! What the tasks of a process tell the count of the VM's own link, and ask it.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::uplink::{Size, State};
use eelgrassrock_model::time::Instant;
use serde::Serialize;

use crate::clock;
use crate::node::Node;
use crate::seam::Platform;

/// Wait for the VM's own link that gets a line.
const LONG_LINK_WAIT: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct LinkLine {
    wait_in_ms: u64,
    wait_out_ms: u64,
    /// Bytes that have to leave before the next answer does.
    owed_bytes: u64,
}

impl<P: Platform> Node<P> {
    /// Whether messages wait for others on the router's own link.
    pub(crate) fn is_link_busy(&self) -> bool {
        self.uplink.borrow().state(clock::now()) == State::Busy
    }

    /// How long a request of a route should stay away from this router's link, if it
    /// should.
    pub(crate) fn link_turns_away(&self, route: &str, left: Duration) -> Option<Duration> {
        let size = self.sizes.borrow().get(route).copied()?;
        self.uplink.borrow().shed_delay(size, left, clock::now())
    }

    /// Counts that a request of a route is sent, and its answer will come.
    pub(crate) fn expect_answer(&self, route: &str) {
        let bytes = self.sizes.borrow().get(route).map_or(0, Size::bytes);
        self.uplink.borrow_mut().expect(bytes, clock::now());
    }

    /// Counts an answer to a caller. Only those that upstreams made say how large the
    /// answers of a route are.
    pub(crate) fn pass_answer(&self, route: &Arc<str>, bytes: usize, is_own: bool) {
        self.uplink.borrow_mut().send(bytes, clock::now());
        if !is_own {
            let mut sizes = self.sizes.borrow_mut();
            sizes.entry(Arc::clone(route)).or_default().record(bytes);
        }
    }

    /// Writes a line if messages wait long for the link.
    pub(crate) fn note_link(&self, now: Instant) {
        let link = self.uplink.borrow();
        let (wait_in, wait_out) = (link.wait_in(now), link.wait_out(now));
        if wait_in.max(wait_out) >= LONG_LINK_WAIT {
            let line = LinkLine {
                wait_in_ms: wait_in.as_millis() as u64,
                wait_out_ms: wait_out.as_millis() as u64,
                owed_bytes: link.owed_bytes(now),
            };
            self.log.note("link full", &line);
        }
    }
}
