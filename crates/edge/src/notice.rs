//! Notices that upstreams attach to their answers: that they are leaving, want no requests for a
//! while, or how much they have to do.
//!
//! Routers pass both on with messages that they exchange anyway, so that the leader moves the keys
//! of such an upstream although its registration doesn't change.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::observation::Observation;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::node::Node;
use crate::platform::{Notice, Platform, Unreadable};
use crate::registry::{Change, Departure};
use crate::watch;

/// Minimum pause for which keys are moved, since moving them takes a part of it.
const MIN_MOVING_PAUSE: Duration = Duration::from_millis(1_000);
/// Maximum pause accepted from another router.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);
/// Share of the routers that an upstream must have paused for its keys to be moved.
const MOVING_SHARE: f64 = 0.5;

/// Notices that one router passes to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Notices {
    pub(crate) departures: Vec<Departure>,
    pub(crate) deferrals: Vec<Deferral>,
    pub(crate) observations: Vec<Observation>,
}

/// Pause that an upstream requested from a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Deferral {
    router: Arc<str>,
    upstream: Arc<str>,
    left_ms: u64,
}

/// Ends of the pauses that one upstream requested, by router.
type Ends = IndexMap<Arc<str>, Instant>;

/// Pauses that upstreams requested from other routers.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    by_upstream: RefCell<IndexMap<Arc<str>, Ends>>,
}

#[derive(Serialize)]
struct PauseLine<'a> {
    service: &'a str,
    upstream: &'a str,
    pause_ms: u64,
}

#[derive(Serialize)]
struct InvalidFieldLine<'a> {
    upstream: &'a str,
    field: &'a str,
    reason: &'a str,
}

impl Pauses {
    fn record(&self, deferrals: Vec<Deferral>, now: Instant) {
        let mut by_upstream = self.by_upstream.borrow_mut();
        for deferral in deferrals {
            let until = now + Duration::from_millis(deferral.left_ms).min(MAX_PAUSE);
            let routers = by_upstream.entry(deferral.upstream).or_default();
            routers.insert(deferral.router, until);
        }
        by_upstream.retain(|_, routers| {
            routers.retain(|_, until| now < *until);
            !routers.is_empty()
        });
    }

    /// Returns the number of other routers that an upstream has paused for at least `left` from
    /// now.
    fn count(&self, upstream: &str, left: Duration, now: Instant) -> usize {
        let by_upstream = self.by_upstream.borrow();
        let routers = by_upstream.get(upstream);
        routers.map_or(0, |routers| {
            routers
                .values()
                .filter(|until| **until - now >= left)
                .count()
        })
    }

    fn all(&self, now: Instant) -> Vec<Deferral> {
        let by_upstream = self.by_upstream.borrow();
        let of = |(upstream, routers): (&Arc<str>, &Ends)| {
            let deferral = |(router, until): (&Arc<str>, &Instant)| Deferral {
                router: Arc::clone(router),
                upstream: Arc::clone(upstream),
                left_ms: (*until - now).as_millis() as u64,
            };
            routers.iter().map(deferral).collect::<Vec<_>>()
        };
        let all = by_upstream.iter().flat_map(of);
        all.filter(|deferral| deferral.left_ms > 0).collect()
    }
}

impl<P: Platform> Node<P> {
    /// Applies a notice of an upstream.
    pub(crate) fn apply_notice(self: &Rc<Self>, upstream: &Arc<Upstream>, notice: Notice) {
        if notice.is_leaving {
            let change = self
                .state
                .borrow_mut()
                .registry
                .record_leaving(upstream, clock::now());
            self.handle_departure(&change);
        }
        match notice.pause {
            None => {}
            Some(Ok(pause)) => self.defer(upstream, pause),
            Some(Err(unreadable)) => self.log_unreadable(upstream, &unreadable),
        }
        match notice.limit {
            None => {}
            Some(Ok(limit)) => self.observe_limit(upstream, limit),
            Some(Err(unreadable)) => self.log_unreadable(upstream, &unreadable),
        }
        if let Some(load) = &notice.load {
            self.metrics.load_reported(&upstream.service, load.is_ok());
        }
        match notice.load {
            None => {}
            Some(Ok(load)) => {
                let mut state = self.state.borrow_mut();
                if let Some(service) = state.services.get_mut(&upstream.service) {
                    service.record_load(upstream, load, clock::now());
                }
            }
            Some(Err(unreadable)) => self.log_unreadable(upstream, &unreadable),
        }
    }

    fn log_unreadable(&self, upstream: &Upstream, unreadable: &Unreadable) {
        let line = InvalidFieldLine {
            upstream: &upstream.id,
            field: &unreadable.field,
            reason: &unreadable.reason,
        };
        self.log.request("field unreadable", &line);
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
        self.with_service(&service, |service, now| service.defer(upstream, pause, now));
    }

    /// Merges the notices that another router passed on.
    pub(crate) fn merge_notices(self: &Rc<Self>, notices: Notices) {
        let now = clock::now();
        self.merge_departures(notices.departures);
        self.pauses.record(notices.deferrals, now);
        self.merge_observations(&notices.observations);
    }

    /// Merges ends of incarnations that another router knows.
    pub(crate) fn merge_departures(self: &Rc<Self>, departures: Vec<Departure>) {
        let now = clock::now();
        for departure in departures {
            let change = self
                .state
                .borrow_mut()
                .registry
                .record_departure(departure, now);
            self.handle_departure(&change);
        }
    }

    fn handle_departure(self: &Rc<Self>, change: &Change) {
        if let Change::Leaving(upstream) = change {
            watch::log_change(self, change);
            self.refresh();
            self.relay.notify_followers();
            self.wake(&upstream.service);
        }
    }

    /// Returns the notices that this router sends to its relay: those that it received itself.
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
            departures: state.registry.recently_leaving(now),
            deferrals: services
                .flat_map(|service| service.deferrals(now).map(deferral))
                .collect(),
            observations: self.observations.borrow().own(now),
        }
    }

    /// Returns the notices that a relay sends to the leader, including those of its followers.
    pub(crate) fn relayed_notices(&self) -> Notices {
        let mut notices = self.own_notices();
        let now = clock::now();
        notices.deferrals.extend(self.pauses.all(now));
        notices.observations = self.observations.borrow().all(now);
        notices
    }

    /// Returns the ends of incarnations to send to a follower: all that are remembered if the
    /// follower is new, otherwise recent announcements.
    pub(crate) fn departures(&self, is_new: bool) -> Vec<Departure> {
        let now = clock::now();
        let state = self.state.borrow();
        if is_new {
            state.registry.departures(now)
        } else {
            state.registry.recently_leaving(now)
        }
    }

    /// Whether an upstream has paused so many routers for so long that its keys should be moved.
    pub(crate) fn turns_routers_away(&self, upstream: &Upstream) -> bool {
        let now = clock::now();
        let state = self.state.borrow();
        let service = state.services.get(&upstream.service);
        let own = service.is_some_and(|service| {
            let mut deferrals = service.deferrals(now);
            deferrals.any(|(id, left)| *id == upstream.id && left >= MIN_MOVING_PAUSE)
        });
        let others = self.pauses.count(&upstream.id, MIN_MOVING_PAUSE, now);
        let routers = state.routers.len().max(1);
        (others + usize::from(own)) as f64 >= MOVING_SHARE * routers as f64
    }
}
