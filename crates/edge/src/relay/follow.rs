//! Following a relay, and the checks of those that were skipped.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::source::Sources;
use eelgrassrock_ranges::election::Contact;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use super::{
    FollowRequest, FollowResponse, LONG_POLL_TIME, REGISTRATION_LAG, REGISTRATION_RETRY_PAUSE,
    Relay, rank,
};
use crate::clock;
use crate::node::{Node, Router};
use crate::platform::{Platform, Table};

/// Share of the time until a configuration must be in force that a router does without a source of
/// changes. It covers the loss of a relay and a response without changes of the next one. The rest
/// is for a call to the store.
const SOURCE_SHARE: f64 = 0.65;
/// Maximum time until a router without a relay checks again whether there is one.
const SOURCE_POLL: Duration = Duration::from_millis(500);

impl Relay {
    pub(crate) fn new(apply: Duration) -> Self {
        Self {
            sources: RefCell::new(Sources::new(apply.mul_f64(SOURCE_SHARE))),
            ..Self::default()
        }
    }

    /// Records that this router knows the others from now on, and may wait for a relay.
    pub(crate) fn start_sources(&self) {
        self.sources.borrow_mut().start(clock::now());
    }
}

#[derive(Serialize)]
struct SkippedLine<'a> {
    relay: &'a str,
    contact: &'static str,
    elapsed_ms: u64,
}

#[derive(Serialize)]
struct SourceLine<'a> {
    source: &'static str,
    /// Relay that this router follows or tries next.
    relay: &'a str,
    /// Relays that didn't prove contact to the store.
    skipped: usize,
}

impl<P: Platform> Node<P> {
    /// Returns the relay that supplies this router, or `None` if it reads the store itself.
    pub(crate) fn relay_to_follow(&self) -> Option<Router> {
        let (_, router) = self.relay_candidate()?;
        let is_supplied = self.relay.sources.borrow().is_supplied(clock::now());
        is_supplied.then_some(router)
    }

    /// Whether this router is the first of its data centre that has contact to the store.
    pub(crate) fn is_relay(&self) -> bool {
        !self.is_bypassing_relay()
            && self.relay.synced_version(Table::Routers).is_some()
            && self.relay_candidate().is_none()
    }

    /// Returns the first router of this data centre that may be its relay, unless that is this one.
    fn relay_candidate(&self) -> Option<(Arc<str>, Router)> {
        if self.is_bypassing_relay() || self.relay.synced_version(Table::Routers).is_none() {
            return None;
        }
        let own = &self.settings;
        let state = self.state.borrow();
        let sources = self.relay.sources.borrow();
        let candidates = state.routers.iter().filter(|(name, router)| {
            router.data_centre == own.data_centre
                && **name != own.router
                && !sources.is_skipped(name)
        });
        let (name, router) = candidates.min_by_key(|(name, router)| rank(name, router.size))?;
        self.goes_before(name, router)
            .then(|| (Arc::clone(name), router.clone()))
    }

    /// Whether another router of this data centre becomes its relay before this one.
    fn goes_before(&self, name: &Arc<str>, router: &Router) -> bool {
        let own = &self.settings;
        router.data_centre == own.data_centre
            && rank(name, router.size) < rank(&own.router, own.size)
    }

    /// Follows the relay whenever there is one.
    pub(crate) async fn follow_relay(self: Rc<Self>) {
        let mut unknown_since = None;
        loop {
            let Some((name, relay)) = self.relay_candidate() else {
                let _ = timeout(SOURCE_POLL, self.relay.source_changed.notified()).await;
                continue;
            };
            let asked_at = clock::now();
            let request = self.request(self.leaderships.take_service_times());
            let call = self.ask_relay(&relay, &request);
            let response = self.or_read_store(&name, call).await;
            match response {
                Ok(response) if response.is_live => {
                    unknown_since = None;
                    self.accept_relay(&name, &relay, response);
                }
                Err(Contact::Unrecognized)
                    if clock::now() - *unknown_since.get_or_insert_with(clock::now)
                        < REGISTRATION_LAG =>
                {
                    sleep(REGISTRATION_RETRY_PAUSE).await;
                }
                Ok(_) | Err(_) => {
                    unknown_since = None;
                    let contact = response.err().map_or("no store", Contact::as_str);
                    self.skip_relay(&name, contact, clock::now() - asked_at);
                }
            }
        }
    }

    async fn ask_relay(
        &self,
        relay: &Router,
        request: &FollowRequest,
    ) -> Result<FollowResponse, Contact> {
        self.peers
            .follow(relay.address, LONG_POLL_TIME, request, self.link_wait())
            .await
    }

    /// Waits for a relay, and lets the readers of the tables turn to the store when the time without
    /// a source is over.
    async fn or_read_store<T>(&self, relay: &str, call: impl Future<Output = T>) -> T {
        let mut call = pin!(call);
        let time_left = || self.relay.sources.borrow().time_left(clock::now());
        let was_supplied = self.relay.sources.borrow().is_supplied(clock::now());
        while was_supplied && time_left() > Duration::ZERO {
            if let Ok(result) = timeout(time_left(), &mut call).await {
                return result;
            }
        }
        if was_supplied {
            self.log_source("store", relay);
            self.relay.source_changed.notify_waiters();
        }
        call.await
    }

    fn accept_relay(self: &Rc<Self>, name: &Arc<str>, relay: &Router, response: FollowResponse) {
        let now = clock::now();
        let was_supplied = self.relay.sources.borrow().is_supplied(now);
        self.relay.sources.borrow_mut().record_contact(name, now);
        self.relay.record_store_contact();
        self.record_outage_end_at_relay();
        self.apply_response(response, relay.address);
        if !was_supplied {
            self.log_source("router", name);
            self.relay.source_changed.notify_waiters();
        }
    }

    fn skip_relay(self: &Rc<Self>, name: &Arc<str>, contact: &'static str, elapsed: Duration) {
        let line = SkippedLine {
            relay: name,
            contact,
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.log.info("relay skipped", &line);
        let pause = self.relay.sources.borrow_mut().skip(name);
        if let Some(pause) = pause {
            let check = Rc::clone(self).check_skipped(Arc::clone(name), pause);
            tokio::task::spawn_local(check);
        }
        self.relay.source_changed.notify_waiters();
    }

    /// Checks a skipped relay until it has contact to the store, while another source supplies this
    /// router.
    async fn check_skipped(self: Rc<Self>, name: Arc<str>, mut pause: Duration) {
        loop {
            sleep(pause).await;
            let relay = self.state.borrow().routers.get(&name).cloned();
            let Some(relay) = relay.filter(|relay| self.goes_before(&name, relay)) else {
                self.relay.sources.borrow_mut().forget(&name);
                self.relay.source_changed.notify_waiters();
                return;
            };
            let request = self.request(Vec::new());
            match self.ask_relay(&relay, &request).await {
                Ok(response) if response.is_live => {
                    self.accept_relay(&name, &relay, response);
                    return;
                }
                Ok(_) | Err(_) => pause = self.relay.sources.borrow_mut().extend_skip(&name),
            }
        }
    }

    fn log_source(&self, source: &'static str, relay: &str) {
        let skipped = self.relay.sources.borrow().skipped();
        let line = SourceLine {
            source,
            relay,
            skipped,
        };
        self.log.info("source changed", &line);
    }

    /// Returns the number of relays that are skipped.
    pub(crate) fn skipped_relays(&self) -> usize {
        self.relay.sources.borrow().skipped()
    }
}
