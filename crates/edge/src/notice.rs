//! What upstreams say of themselves with their answers: that they leave, or want no
//! requests for a while.
//!
//! Routers tell each other of both with the messages that they exchange anyway, so that
//! the keeper moves the keys of such an upstream although the registry says nothing.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::book::{Change, Departure};
use crate::clock;
use crate::node::Node;
use crate::seam::{Notice, Platform};
use crate::watch;

/// Shortest pause because of which keys are moved: moving them takes a part of it.
const MIN_MOVING_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest pause that is believed of another router's word.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);
/// Share of the routers that an upstream must have turned away for its keys to move.
const MOVING_SHARE: f64 = 0.5;

/// What one router tells another of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notices {
    pub(crate) departures: Vec<Departure>,
    pub(crate) deferrals: Vec<Deferral>,
}

/// Pause that an upstream asked a router for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Deferral {
    router: Arc<str>,
    upstream: Arc<str>,
    left_ms: u64,
}

/// Ends of the pauses that one upstream asked for, by router.
type Ends = IndexMap<Arc<str>, Instant>;

/// Pauses that other routers were asked for, by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    heard: RefCell<IndexMap<Arc<str>, Ends>>,
}

#[derive(Serialize)]
struct PauseLine<'a> {
    service: &'a str,
    upstream: &'a str,
    pause_ms: u64,
}

#[derive(Serialize)]
struct BadField<'a> {
    upstream: &'a str,
    field: &'a str,
    reason: &'a str,
}

impl Pauses {
    fn hear(&self, deferrals: Vec<Deferral>, now: Instant) {
        let mut heard = self.heard.borrow_mut();
        for deferral in deferrals {
            let until = now + Duration::from_millis(deferral.left_ms).min(MAX_PAUSE);
            let routers = heard.entry(deferral.upstream).or_default();
            routers.insert(deferral.router, until);
        }
        heard.retain(|_, routers| {
            routers.retain(|_, until| now < *until);
            !routers.is_empty()
        });
    }

    /// Returns how many routers an upstream has turned away for `left` or longer.
    fn count(&self, upstream: &str, left: Duration, now: Instant) -> usize {
        let heard = self.heard.borrow();
        let routers = heard.get(upstream);
        routers.map_or(0, |routers| {
            routers
                .values()
                .filter(|until| **until - now >= left)
                .count()
        })
    }

    fn all(&self, now: Instant) -> Vec<Deferral> {
        let heard = self.heard.borrow();
        let of = |(upstream, routers): (&Arc<str>, &Ends)| {
            let deferral = |(router, until): (&Arc<str>, &Instant)| Deferral {
                router: Arc::clone(router),
                upstream: Arc::clone(upstream),
                left_ms: (*until - now).as_millis() as u64,
            };
            routers.iter().map(deferral).collect::<Vec<_>>()
        };
        let all = heard.iter().flat_map(of);
        all.filter(|deferral| deferral.left_ms > 0).collect()
    }
}

impl<P: Platform> Node<P> {
    /// Takes what an upstream said of itself with an answer.
    pub(crate) fn apply_notice(self: &Rc<Self>, upstream: &Arc<Upstream>, notice: Notice) {
        if notice.is_leaving {
            let change = self.state.borrow_mut().book.leave(upstream, clock::now());
            self.take_departure(&change);
        }
        match notice.pause {
            None => {}
            Some(Ok(pause)) => self.defer(upstream, pause),
            Some(Err(unreadable)) => self.log.request(
                "field unreadable",
                &BadField {
                    upstream: &upstream.id,
                    field: &unreadable.field,
                    reason: &unreadable.reason,
                },
            ),
        }
    }

    fn defer(self: &Rc<Self>, upstream: &Arc<Upstream>, pause: Duration) {
        let line = PauseLine {
            service: &upstream.service,
            upstream: &upstream.id,
            pause_ms: u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
        };
        self.log.request("upstream deferred", &line);
        self.metrics.deferred();
        let service = Arc::clone(&upstream.service);
        self.with(&service, |service, now| service.defer(upstream, pause, now));
    }

    /// Takes what another router knows of upstreams.
    pub(crate) fn hear_notices(self: &Rc<Self>, notices: Notices) {
        let now = clock::now();
        self.hear_departures(notices.departures);
        self.pauses.hear(notices.deferrals, now);
    }

    /// Takes the ends of lives that another router knows.
    pub(crate) fn hear_departures(self: &Rc<Self>, departures: Vec<Departure>) {
        let now = clock::now();
        for departure in departures {
            let change = self.state.borrow_mut().book.depart(departure, now);
            self.take_departure(&change);
        }
    }

    fn take_departure(self: &Rc<Self>, change: &Change) {
        if let Change::Leaving(upstream) = change {
            watch::note_change(self, change);
            self.refresh();
            self.relay.tell();
            self.wake(&upstream.service);
        }
    }

    /// Returns what a relay is told: what this router has learnt by itself.
    pub(crate) fn own_notices(&self) -> Notices {
        let now = clock::now();
        let state = self.state.borrow();
        let deferral = |(upstream, left): (&Arc<str>, Duration)| Deferral {
            router: Arc::clone(&self.settings.router),
            upstream: Arc::clone(upstream),
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        };
        let services = state.services.values();
        Notices {
            departures: state.book.leaving_news(now),
            deferrals: services
                .flat_map(|service| service.deferrals(now).map(deferral))
                .collect(),
        }
    }

    /// Returns what the keeper is told by a relay: also what its followers said.
    pub(crate) fn relayed_notices(&self) -> Notices {
        let mut notices = self.own_notices();
        notices.deferrals.extend(self.pauses.all(clock::now()));
        notices
    }

    /// Returns what a follower is told: all that is remembered if it is new.
    pub(crate) fn departures(&self, is_new: bool) -> Vec<Departure> {
        let now = clock::now();
        let state = self.state.borrow();
        if is_new {
            state.book.departures(now)
        } else {
            state.book.leaving_news(now)
        }
    }

    /// Whether an upstream has turned so many routers away for so long that its keys
    /// are better off elsewhere.
    pub(crate) fn turns_routers_away(&self, upstream: &Upstream) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let service = state.services.get(&upstream.service);
        let own = service.is_some_and(|service| {
            let mut deferrals = service.deferrals(now);
            deferrals.any(|(id, left)| *id == upstream.id && left >= MIN_MOVING_PAUSE)
        });
        let heard = self.pauses.count(&upstream.id, MIN_MOVING_PAUSE, now);
        let routers = state.routers.len().max(1);
        (heard + usize::from(own)) as f64 >= MOVING_SHARE * routers as f64
    }
}
