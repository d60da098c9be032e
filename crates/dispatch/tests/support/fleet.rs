//! Simulates many small routers in front of many small upstreams. Each router sees a few requests a
//! second, and only together they see the load.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use eelgrassrock_dispatch::load::Load;
use eelgrassrock_dispatch::place::{Place, order};
use eelgrassrock_dispatch::service::{Report, Service, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{FAR, NEAR, at, limits, request, upstream};

pub(crate) const SLOTS: u32 = 2;
const QUEUE: usize = 8;
const WORK_MS: f64 = 220.0;
/// Time from a change of the counts until the neighbours know it.
const COUNT_DELAY_MS: u64 = 25;
const DURATION_MS: u64 = 20_000;
/// Start of the measurement; before it, routers have no statistics.
const MEASURED_FROM_MS: u64 = 2_000;
/// Interval at which the paces of the machines are drawn anew, share of the slow ones, and how much
/// longer work takes there.
const PACE_MS: u64 = 400;
const SLOW_SHARE: f64 = 0.2;
const SLOW_PACE: u32 = 300;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    /// End of a request: router, upstream and ticket.
    End(usize, usize, u64),
    CountsDelivered(usize),
    NewPaces,
}

/// Outcomes of the requests.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) all: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    pub(crate) rejected: u32,
}

impl Tally {
    /// Returns the share of the requests that were answered within the target.
    pub(crate) fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.all)
    }
}

/// Returns what an upstream reports in place of its load.
pub(crate) type Telling = fn(&mut ChaCha8Rng, Load) -> Option<Load>;

/// Upstream with slots and a short queue.
#[derive(Default)]
struct Server {
    busy: u32,
    queue: VecDeque<(usize, Instant, u64)>,
    speed: f64,
    /// Time that work takes at the moment, in percent of the usual time.
    pace: u32,
}

pub(crate) struct Fleet {
    random: ChaCha8Rng,
    routers: Vec<Service>,
    neighbours: Vec<Vec<usize>>,
    upstreams: Vec<Arc<Upstream>>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Start of the send and arrival at the router, for each request under way.
    under_way: Vec<Option<(Instant, u64)>>,
    tally: Tally,
    telling: Option<(Telling, ChaCha8Rng)>,
}

impl Fleet {
    /// Creates a fleet whose upstreams have speeds in `speeds`.
    pub(crate) fn new(routers: usize, upstreams: usize, speeds: Range<f64>, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let upstreams: Vec<_> = (0..upstreams)
            .map(|n| upstream(&format!("up-{n}"), NEAR, SLOTS))
            .collect();
        let servers = upstreams.iter().map(|_| Server {
            speed: random.random_range(speeds.clone()),
            pace: 100,
            ..Server::default()
        });
        let servers = servers.collect();
        let mut names: Vec<String> = (0..routers).map(|n| format!("router-{n}")).collect();
        names.sort_by_key(|name| order(name));
        let places: Vec<Place> = (0..routers)
            .map(|index| Place::new(index, routers, upstreams.len()))
            .collect();
        let neighbours = |place: &Place, own: usize| {
            let others = (0..routers).filter(|other| *other != own);
            others.filter(|other| place.is_neighbour(*other)).collect()
        };
        Self {
            neighbours: places
                .iter()
                .enumerate()
                .map(|(own, place)| neighbours(place, own))
                .collect(),
            routers: places
                .iter()
                .map(|place| {
                    let mut service = Service::new(NEAR.into(), limits());
                    service.set_place(*place);
                    service.set_upstreams(upstreams.clone(), at(0));
                    service
                })
                .collect(),
            upstreams,
            servers,
            random,
            events: BinaryHeap::new(),
            under_way: Vec::new(),
            tally: Tally::default(),
            telling: None,
        }
    }

    /// Makes the last `guests` routers those of another data centre, which prefer none of the upstreams
    /// and share counts among themselves only.
    pub(crate) fn with_guests(mut self, guests: usize) -> Self {
        let first = self.routers.len() - guests;
        for (index, router) in self.routers[first..].iter_mut().enumerate() {
            router.set_data_centre(FAR.into());
            router.set_place(Place::new(index, guests, self.upstreams.len()));
            router.set_upstreams(self.upstreams.clone(), at(0));
        }
        for (own, neighbours) in self.neighbours.iter_mut().enumerate() {
            neighbours.retain(|other| (*other < first) == (own < first));
        }
        self
    }

    /// Draws the paces of the machines anew from time to time. Upstreams report what `telling`
    /// returns.
    pub(crate) fn with_paces(mut self, telling: Telling) -> Self {
        // Its own generator, so that the traffic is the same whatever is told.
        self.telling = Some((telling, ChaCha8Rng::seed_from_u64(0)));
        self.push(0, Event::NewPaces);
        self
    }

    fn push(&mut self, ms: u64, event: Event) {
        self.events.push(Reverse((ms, event)));
    }

    /// Runs arrivals that use this share of all slots.
    pub(crate) fn run(mut self, used: f64) -> Tally {
        let capacity = self.servers.iter().map(|server| server.speed).sum::<f64>();
        let per_ms = used * capacity * f64::from(SLOTS) / WORK_MS;
        let mut ms = 0.0;
        while ms < DURATION_MS as f64 {
            ms += -self.random.random_range(1e-9_f64..1.0).ln() / per_ms;
            let router = self.random.random_range(0..self.routers.len());
            self.push(ms as u64, Event::Arrival(router));
        }
        while let Some(Reverse((ms, event))) = self.events.pop() {
            match event {
                Event::Arrival(router) => self.arrive(router, ms),
                Event::End(router, server, ticket) => self.end(router, server, ticket, ms),
                Event::CountsDelivered(router) => self.deliver_counts(router, ms),
                Event::NewPaces => self.draw_paces(ms),
            }
        }
        self.tally
    }

    fn draw_paces(&mut self, ms: u64) {
        for server in &mut self.servers {
            let is_slow = self.random.random_bool(SLOW_SHARE);
            server.pace = if is_slow { SLOW_PACE } else { 100 };
        }
        if ms < DURATION_MS {
            self.push(ms + PACE_MS, Event::NewPaces);
        }
    }

    fn arrive(&mut self, router: usize, ms: u64) {
        let ticket = self.under_way.len() as u64;
        self.under_way.push(None);
        if ms >= MEASURED_FROM_MS {
            self.tally.all += 1;
        }
        let step = self.routers[router].admit(request(ticket, None, ms), at(ms));
        self.perform(router, ticket, step, ms, ms);
    }

    fn perform(&mut self, router: usize, ticket: u64, step: Step, arrived: u64, ms: u64) {
        match step {
            Step::Send {
                upstream, started, ..
            } => {
                let is_target = |other: &Arc<Upstream>| other.id == upstream.id;
                let server = self.upstreams.iter().position(is_target).unwrap();
                self.under_way[ticket as usize] = Some((started, arrived));
                if self.servers[server].queue.len() >= QUEUE {
                    self.tally.rejected += 1;
                    let service = &mut self.routers[router];
                    service.end(&upstream.id, None, started, Report::Refused, at(ms));
                } else {
                    self.servers[server]
                        .queue
                        .push_back((router, started, ticket));
                    self.work(server, ms);
                }
                self.push(ms + COUNT_DELAY_MS, Event::CountsDelivered(router));
            }
            Step::Refuse(_) => self.tally.refused += u32::from(arrived >= MEASURED_FROM_MS),
            Step::Wait => {}
            Step::Detour => panic!("all upstreams can be reached"),
        }
    }

    fn work(&mut self, server: usize, ms: u64) {
        while self.servers[server].busy < SLOTS
            && let Some((router, _, ticket)) = self.servers[server].queue.pop_front()
        {
            let varied = self.random.random_range(0.5..1.5);
            let pace = f64::from(self.servers[server].pace) / 100.0;
            let work = WORK_MS * varied * pace / self.servers[server].speed;
            self.servers[server].busy += 1;
            self.push(ms + work as u64, Event::End(router, server, ticket));
        }
    }

    fn end(&mut self, router: usize, server: usize, ticket: u64, ms: u64) {
        self.servers[server].busy -= 1;
        self.work(server, ms);
        let (started, arrived) = self.under_way[ticket as usize].take().unwrap();
        if arrived >= MEASURED_FROM_MS && ms - arrived <= 600 {
            self.tally.in_time += 1;
        }
        self.report(router, server, ms);
        let id = Arc::clone(&self.upstreams[server].id);
        let report = Report::Answered { failed: false };
        self.routers[router].end(&id, None, started, report, at(ms));
        self.push(ms + COUNT_DELAY_MS, Event::CountsDelivered(router));
        for (waiting, step) in self.routers[router].poll(at(ms)) {
            self.perform(router, waiting, step, ms, ms);
        }
    }

    fn report(&mut self, router: usize, server: usize, ms: u64) {
        let Some((telling, random)) = &mut self.telling else {
            return;
        };
        let state = &self.servers[server];
        let waiting = state.queue.len() as u32;
        let load = Load::new(state.busy, waiting, SLOTS, Some(state.pace)).unwrap();
        if let Some(load) = telling(random, load) {
            let upstream = &self.upstreams[server];
            self.routers[router].record_load(upstream, load, at(ms));
        }
    }

    fn deliver_counts(&mut self, router: usize, ms: u64) {
        let name: Arc<str> = format!("router-{router}").into();
        let counts: Vec<(Arc<str>, u32)> = self.routers[router]
            .in_flight()
            .map(|(id, count)| (Arc::clone(id), count))
            .collect();
        for other in self.neighbours[router].clone() {
            let counts = counts.iter().map(|(id, count)| (&**id, *count));
            self.routers[other].record_peer_counts(&name, counts, at(ms));
        }
    }
}
