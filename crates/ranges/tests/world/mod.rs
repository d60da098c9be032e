//! Keepers, a store and upstreams in virtual time, with losses and delays, and
//! a check that no key ever has two holders.

mod duty;
mod levers;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::keeper::{self, Action, Keeper, Order, Outcome, Settings};
use eelgrassrock_ranges::map::{Life, Map};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Keys that are watched; the others behave alike.
const SAMPLES: usize = 64;
const STEP_MS: u64 = 10;
/// Age of the oldest copy that the store comes back from.
const MAX_COPY_AGE_MS: u64 = 6_000;
/// Clock of an upstream against that of the routers.
const SLOWEST_CLOCK: f64 = 1.02;

pub(crate) const SETTINGS: Settings = Settings {
    hold: Duration::from_secs(3),
    authority: Duration::from_secs(10),
    silence: Duration::from_millis(1_200),
};

/// What may go wrong in one schedule, as chances per event.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// A call gets no answer, and may be carried out seconds later.
    pub(crate) call_lost: f64,
    /// A keeper loses its process, or is cut off, in a second.
    pub(crate) keeper_lost: f64,
    /// An upstream crashes, leaves or starts again in a second.
    pub(crate) upstream_lost: f64,
    /// The store is away in a second.
    pub(crate) store_away: f64,
    /// A router and an upstream lose each other in a second, though both run.
    pub(crate) path_lost: f64,
    /// The store comes back from a copy in a second.
    pub(crate) restored: f64,
}

#[derive(Clone, Debug)]
struct Upstream {
    life: Life,
    is_up: bool,
    is_listed: bool,
    leaving: bool,
    clock: f64,
    /// For each sampled key: fencing token and end of the hold.
    holds: Vec<Option<(u64, Instant)>>,
    /// Highest fencing token seen, for each sampled key.
    seen: Vec<u64>,
}

struct Router {
    keeper: Option<Keeper>,
    term: u64,
    /// Era and version of the duty that it took last.
    duty_version: (u64, u64),
    is_cut: bool,
    confirm_due: Instant,
}

enum Event {
    Arrive {
        term: u64,
        router: usize,
        order: Order,
        hold: Option<Duration>,
        answered: bool,
    },
    Answer {
        router: usize,
        term: u64,
        order: Order,
        is_grant: bool,
        outcome: Outcome,
    },
    Committed {
        router: usize,
        term: u64,
        asked: Instant,
        done: bool,
    },
}

/// What the store holds of the present era; rows of earlier ones have other names.
#[derive(Clone, Default)]
struct Store {
    era: u64,
    /// Version of the duty, 0 if nobody has it.
    version: u64,
    keeper: Option<usize>,
    map: Option<Map>,
    is_unsettled: bool,
    /// Routers and terms whose keepers weren't seen to stop.
    formers: Vec<(usize, u64)>,
}

pub(crate) struct World {
    random: ChaCha8Rng,
    faults: Faults,
    now: Instant,
    routers: Vec<Router>,
    upstreams: Vec<Upstream>,
    /// Routers and upstreams that can't reach each other, and until when.
    lost_paths: BTreeMap<(usize, Arc<str>), Instant>,
    events: BTreeMap<(Instant, u64), Event>,
    next_event: u64,
    store: Store,
    /// The store as it was at each step of the last seconds.
    copies: VecDeque<Store>,
    store_away_until: Instant,
    pub(crate) longest_unheld: Duration,
    unheld_since: Vec<Option<Instant>>,
    pub(crate) moves: usize,
    /// Orders to release that were sent.
    pub(crate) releases: usize,
    /// Times that a keeper took the duty again in a new era.
    pub(crate) retaken: usize,
    /// Whether the service ever had a keeper.
    had_keeper: bool,
    /// For each sampled key, the highest fencing token under which it was taken, and who
    /// took it.
    taken: Vec<(u64, Option<Life>)>,
}

fn sample(index: usize) -> u16 {
    (index * 65_536 / SAMPLES) as u16
}

impl World {
    pub(crate) fn new(seed: u64, upstreams: usize, faults: Faults) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::from_millis(1_000);
        let upstreams = (0..upstreams)
            .map(|n| Upstream {
                life: Life {
                    upstream: format!("u{n}").into(),
                    incarnation: 1,
                },
                is_up: true,
                is_listed: true,
                leaving: false,
                clock: random.random_range(1.0..SLOWEST_CLOCK),
                holds: vec![None; SAMPLES],
                seen: vec![0; SAMPLES],
            })
            .collect();
        let router = |_| Router {
            keeper: None,
            term: 0,
            duty_version: (0, 0),
            is_cut: false,
            confirm_due: now,
        };
        Self {
            random,
            faults,
            now,
            routers: (0..3).map(router).collect(),
            upstreams,
            lost_paths: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            store: Store::default(),
            copies: VecDeque::new(),
            store_away_until: now,
            longest_unheld: Duration::ZERO,
            unheld_since: vec![None; SAMPLES],
            moves: 0,
            releases: 0,
            retaken: 0,
            had_keeper: false,
            taken: vec![(0, None); SAMPLES],
        }
    }

    fn chance(&mut self, chance: f64) -> bool {
        self.random.random_bool(chance.clamp(0.0, 1.0))
    }

    fn later(&mut self, delay_ms: u64, event: Event) {
        let at = self.now + Duration::from_millis(delay_ms);
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    /// Plays a schedule.
    pub(crate) fn run(&mut self, seconds: u64) {
        for step in 0..seconds * 1_000 / STEP_MS {
            if step % (1_000 / STEP_MS) == 0 {
                self.upset();
            }
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + Duration::from_millis(STEP_MS);
        self.copies.push_back(self.store.clone());
        if self.copies.len() as u64 > MAX_COPY_AGE_MS / STEP_MS {
            self.copies.pop_front();
        }
        self.elect();
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let event = entry.remove();
            self.handle(event);
        }
        for router in 0..self.routers.len() {
            self.drive(router);
        }
        self.check();
    }

    /// Lets things go wrong, once a second.
    fn upset(&mut self) {
        if self.chance(self.faults.store_away) {
            let seconds = self.random.random_range(1..9);
            self.store_away_until = self.now + Duration::from_secs(seconds);
        }
        if self.faults.restored > 0.0 && self.chance(self.faults.restored) {
            let age_ms = self.random.random_range(0..MAX_COPY_AGE_MS);
            self.restore(age_ms);
        }
        for index in 0..self.routers.len() {
            if self.routers[index].is_cut {
                self.routers[index].is_cut = self.chance(0.92);
            } else if self.chance(self.faults.keeper_lost) {
                if self.chance(0.5) {
                    // Cut off from store and routers, but not from upstreams.
                    self.routers[index].is_cut = true;
                } else {
                    self.routers[index].keeper = None;
                }
            }
        }
        for router in 0..self.routers.len() {
            for index in 0..self.upstreams.len() {
                if self.chance(self.faults.path_lost) {
                    let seconds = self.random.random_range(1..8);
                    let path = (router, Arc::clone(&self.upstreams[index].life.upstream));
                    self.lost_paths
                        .insert(path, self.now + Duration::from_secs(seconds));
                }
            }
        }
        for index in 0..self.upstreams.len() {
            if !self.chance(self.faults.upstream_lost) {
                continue;
            }
            let kind = self.random.random_range(0..3);
            let upstream = &mut self.upstreams[index];
            match kind {
                0 => upstream.is_up = !upstream.is_up,
                1 => upstream.leaving = !upstream.leaving,
                _ => {
                    // Another life under the same name holds nothing.
                    upstream.life.incarnation += 1;
                    upstream.is_up = true;
                    upstream.holds = vec![None; SAMPLES];
                    upstream.seen = vec![0; SAMPLES];
                }
            }
        }
    }

    fn drive(&mut self, index: usize) {
        if self.routers[index].keeper.is_none() {
            return;
        }
        let reaches = !self.routers[index].is_cut && self.now >= self.store_away_until;
        if reaches && self.now >= self.routers[index].confirm_due {
            self.confirm(index);
        }
        let upstreams = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_listed)
            .map(|upstream| keeper::Upstream {
                life: upstream.life.clone(),
                slots: 2,
                leaving: upstream.leaving,
            })
            .collect();
        let hot = self.random.random_range(0..u16::MAX);
        let now = self.now;
        let Some(keeper) = &mut self.routers[index].keeper else {
            return;
        };
        keeper.set_upstreams(upstreams);
        keeper.record([hot, 30_000 + hot % 64]);
        let actions = keeper.poll(now);
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, router: usize, action: Action) {
        let term = self.routers[router].term;
        match action {
            Action::Grant { order, hold, .. } => self.send(router, term, order, Some(hold)),
            Action::Release(order) => self.send(router, term, order, None),
            Action::Commit(map) => {
                let asked = self.now;
                let delay = self.random.random_range(1..40);
                let is_cut = self.routers[router].is_cut;
                let reaches = !is_cut && self.now >= self.store_away_until;
                let current = (self.store.era, self.store.version);
                let done = reaches && current == self.routers[router].duty_version;
                if done {
                    self.moves += 1;
                    self.store.map = Some(map.clone());
                }
                let unknown = !reaches;
                let done = done && !unknown;
                self.later(
                    delay,
                    Event::Committed {
                        router,
                        term,
                        asked,
                        done,
                    },
                );
            }
        }
    }

    fn send(&mut self, router: usize, term: u64, order: Order, hold: Option<Duration>) {
        if hold.is_none() {
            self.releases += 1;
        }
        let path = (router, Arc::clone(&order.life.upstream));
        if self
            .lost_paths
            .get(&path)
            .is_some_and(|until| self.now < *until)
        {
            let outcome = Outcome::NotSent;
            let is_grant = hold.is_some();
            let event = Event::Answer {
                router,
                term,
                order,
                is_grant,
                outcome,
            };
            self.later(300, event);
            return;
        }
        if self.chance(self.faults.call_lost) {
            // Carried out late, or never; the hold counts from the arrival.
            if self.chance(0.5) {
                let delay = self.random.random_range(1..250);
                let event = Event::Arrive {
                    term,
                    router,
                    order: order.clone(),
                    hold,
                    answered: false,
                };
                self.later(delay, event);
            }
            let outcome = Outcome::Unknown;
            let is_grant = hold.is_some();
            self.later(
                300,
                Event::Answer {
                    router,
                    term,
                    order,
                    is_grant,
                    outcome,
                },
            );
        } else {
            let delay = self.random.random_range(1..30);
            self.later(
                delay,
                Event::Arrive {
                    term,
                    router,
                    order,
                    hold,
                    answered: true,
                },
            );
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive {
                term,
                router,
                order,
                hold,
                answered,
            } => {
                let outcome = self.arrive(&order, hold);
                if answered {
                    let is_grant = hold.is_some();
                    let delay = self.random.random_range(1..30);
                    self.later(
                        delay,
                        Event::Answer {
                            router,
                            term,
                            order,
                            is_grant,
                            outcome,
                        },
                    );
                }
            }
            Event::Answer {
                router,
                term,
                order,
                is_grant,
                outcome,
            } => {
                let now = self.now;
                let router = &mut self.routers[router];
                let Some(keeper) = router.keeper.as_mut().filter(|_| router.term == term) else {
                    return;
                };
                if is_grant {
                    keeper.granted(&order, &outcome, now);
                } else {
                    keeper.released(&order, &outcome, now);
                }
            }
            Event::Committed {
                router,
                term,
                asked,
                done,
            } => {
                let duty = (self.store.era, self.store.version);
                let stored = self.store.map.clone();
                let reaches = self.now >= self.store_away_until && !self.routers[router].is_cut;
                let router = &mut self.routers[router];
                if router.term != term {
                    return;
                }
                if reaches && router.duty_version.0 < duty.0 {
                    // Its next question finds out who has the duty in the new era.
                    router.confirm_due = self.now;
                    if let Some(keeper) = &mut router.keeper {
                        keeper.not_committed();
                    }
                    return;
                }
                if reaches && router.duty_version != duty {
                    router.keeper = None;
                }
                let Some(keeper) = &mut router.keeper else {
                    return;
                };
                match (done, stored) {
                    (true, _) => keeper.committed(asked),
                    (false, Some(map)) if reaches => keeper.adopt(map, asked),
                    _ => keeper.not_committed(),
                }
            }
        }
    }

    /// An upstream carries an order out.
    fn arrive(&mut self, order: &Order, hold: Option<Duration>) -> Outcome {
        let now = self.now;
        let found = self
            .upstreams
            .iter_mut()
            .find(|upstream| upstream.life == order.life);
        let Some(upstream) = found.filter(|upstream| upstream.is_up) else {
            return Outcome::NotSent;
        };
        let keys: Vec<usize> = (0..SAMPLES)
            .filter(|index| (order.from..=order.to).contains(&sample(*index)))
            .collect();
        match hold {
            Some(hold) => {
                if keys.iter().any(|key| upstream.seen[*key] > order.fence) {
                    return Outcome::Fenced;
                }
                let until = now + hold.mul_f64(upstream.clock);
                for key in keys {
                    upstream.seen[key] = order.fence;
                    upstream.holds[key] = Some((order.fence, until));
                    let (highest, by) = &mut self.taken[key];
                    let is_other = by.as_ref().is_some_and(|by| *by != order.life);
                    assert!(
                        order.fence > *highest || !is_other,
                        "key {} taken by {:?} under {} after {by:?} under {highest}",
                        sample(key),
                        order.life,
                        order.fence
                    );
                    if order.fence >= *highest {
                        (*highest, *by) = (order.fence, Some(order.life.clone()));
                    }
                }
                Outcome::Done { handover: None }
            }
            None => {
                for key in keys {
                    upstream.seen[key] = upstream.seen[key].max(order.fence);
                    upstream.holds[key] = None;
                }
                Outcome::Done {
                    handover: Some(Arc::from("token")),
                }
            }
        }
    }

    /// No sampled key is with two upstreams that are up.
    fn check(&mut self) {
        for key in 0..SAMPLES {
            let now = self.now;
            let holders: Vec<(&Life, u64)> = self
                .upstreams
                .iter()
                .filter(|upstream| upstream.is_up)
                .filter_map(|upstream| {
                    let (fence, until) = upstream.holds[key]?;
                    (now < until).then_some((&upstream.life, fence))
                })
                .collect();
            assert!(
                holders.len() <= 1,
                "key {} is with {holders:?} at {} ms",
                sample(key),
                now.as_millis()
            );
            if holders.is_empty() {
                let since = *self.unheld_since[key].get_or_insert(now);
                self.longest_unheld = self.longest_unheld.max(now - since);
            } else {
                self.unheld_since[key] = None;
            }
        }
    }
}
