//! Simulation of routers in virtual time. It replaces the table and the upstreams by
//! simple models, and delays, loses or duplicates messages.

#![allow(dead_code)] // Each test uses a different subset.

pub(crate) mod table;
pub(crate) mod upstream;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use eelgrassrock_model::fleet::{self, Fleet, Goal};
use eelgrassrock_model::shard::{Count, Shard};
use eelgrassrock_model::table::{Outcome, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Name, Router, Service, Upstream, Version};
use eelgrassrock_ownership::grant::Answer;
use eelgrassrock_ownership::replay::{Arrival, Line, Start, Stated};
use eelgrassrock_ownership::row::{Entry, Home, decode_block};
use eelgrassrock_ownership::{Action, Decision, Event, Load, Machine, Member, Route, Settings};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const MS: Duration = Duration::from_millis(1);
const PING_INTERVAL: Duration = Duration::from_millis(50);
const SUSPECT_AFTER: Duration = Duration::from_millis(300);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(150);
const TABLE: &str = "table";

/// Configuration of a simulation.
#[derive(Clone)]
pub(crate) struct Config {
    pub(crate) routers: usize,
    pub(crate) upstreams: usize,
    pub(crate) zones: usize,
    pub(crate) shards: u32,
    pub(crate) checks_orders: bool,
    pub(crate) goal: Goal,
    pub(crate) authority: Duration,
    pub(crate) seed: u64,
    /// Clock errors in parts per million, assigned to routers and upstreams in turn.
    pub(crate) clock_rates_ppm: Vec<i64>,
    pub(crate) drift_ppm: u32,
    pub(crate) slots: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            routers: 3,
            upstreams: 3,
            zones: 3,
            shards: 64,
            checks_orders: true,
            goal: Goal::Availability,
            authority: Duration::from_secs(4 * 3600),
            seed: 1,
            clock_rates_ppm: vec![0],
            drift_ppm: 1_000,
            slots: 2,
        }
    }
}

/// Probabilities of faults for each message, in parts per thousand.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct MessageFaults {
    pub(crate) lost: u32,
    pub(crate) duplicated: u32,
    pub(crate) delayed: u32,
}

enum Task {
    Wake(Router, u64),
    Event(Router, u64, Box<Event>),
    Table(Router, u64, Box<Action>),
    Upstream(Router, u64, Box<Action>),
    Ping,
}

struct Scheduled(Instant, u64, Task);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Router with its machine.
pub(crate) struct Node {
    pub(crate) machine: Machine,
    pub(crate) is_up: bool,
    pub(crate) incarnation: u64,
    pub(crate) paused_until: Instant,
    pub(crate) drained: bool,
    pub(crate) decisions: Vec<(Instant, Decision)>,
    pub(crate) table_calls: usize,
    clock_rate_ppm: i64,
    members: Vec<Router>,
    wake_at: Option<Instant>,
}

/// Simulation of routers, upstreams and a table.
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) config: Config,
    pub(crate) fleet: Fleet,
    pub(crate) table: table::Table,
    pub(crate) upstreams: IndexMap<Upstream, upstream::Upstream>,
    pub(crate) nodes: IndexMap<Router, Node>,
    pub(crate) message_faults: MessageFaults,
    /// Upstream whose next order is delayed, and the delay.
    pub(crate) delayed_order: Option<(Upstream, Duration)>,
    /// Delay of the next write to the table.
    pub(crate) delayed_write: Option<Duration>,
    /// Pairs of names that can't reach each other.
    pub(crate) cut_links: HashSet<(String, String)>,
    last_ping: HashMap<(Router, Router), Instant>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled_tasks: u64,
    rng: ChaCha8Rng,
    /// Trace of all events, if recording is on.
    pub(crate) trace: Option<Vec<Line>>,
    /// First violation of sole ownership.
    pub(crate) violation: Option<String>,
}

pub(crate) fn service() -> Service {
    "lookup".parse().unwrap()
}

pub(crate) fn router(index: usize) -> Router {
    format!("r{index}").parse().unwrap()
}

pub(crate) fn upstream(index: usize) -> Upstream {
    format!("u{index}").parse().unwrap()
}

pub(crate) fn fleet(config: &Config) -> Fleet {
    let mut fleet = Fleet {
        version: Version(1),
        ..Fleet::default()
    };
    let shards = Count::try_from(config.shards).unwrap();
    let goal = config.goal;
    fleet
        .services
        .insert(service(), fleet::Service { shards, goal });
    for index in 0..config.upstreams {
        let declared = fleet::Upstream {
            service: service(),
            data_centre: format!("z{}", index % config.zones).parse().unwrap(),
            address: format!("10.0.1.{index}:1").parse().unwrap(),
            slots: config.slots,
            connections: 110,
            checks_orders: config.checks_orders,
            checks_idempotency: false,
        };
        fleet.upstreams.insert(upstream(index), declared);
    }
    fleet
}

impl Simulation {
    pub(crate) fn new(config: Config) -> Self {
        Self::with_trace(config, None)
    }

    /// Creates a simulation. If `trace` is given, the simulation records its events
    /// there.
    pub(crate) fn with_trace(config: Config, trace: Option<Vec<Line>>) -> Self {
        let fleet = fleet(&config);
        let mut sim = Self {
            now: Instant::from_millis(1_000),
            table: table::Table {
                is_up: true,
                ..Default::default()
            },
            upstreams: IndexMap::new(),
            nodes: IndexMap::new(),
            message_faults: MessageFaults::default(),
            delayed_order: None,
            delayed_write: None,
            cut_links: HashSet::new(),
            last_ping: HashMap::new(),
            queue: BinaryHeap::new(),
            scheduled_tasks: 0,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            trace,
            violation: None,
            fleet,
            config,
        };
        let clock_rates_ppm = sim.config.clock_rates_ppm.clone();
        for index in 0..sim.config.upstreams {
            let rate = clock_rates_ppm[index % clock_rates_ppm.len()];
            let model = upstream::Upstream::new(sim.config.checks_orders, rate);
            sim.upstreams.insert(upstream(index), model);
        }
        for index in 0..sim.config.routers {
            sim.start(index);
        }
        sim.push(sim.now, Task::Ping);
        sim
    }

    fn member(&self, router: &Router) -> Member {
        let index = self.nodes.get_index_of(router).unwrap_or(0);
        Member {
            router: router.clone(),
            data_centre: format!("z{}", index % self.config.zones).parse().unwrap(),
            address: format!("10.0.0.{index}:1").parse().unwrap(),
        }
    }

    /// Starts or restarts a router.
    pub(crate) fn start(&mut self, index: usize) {
        let name = router(index);
        let incarnation = self.nodes.get(&name).map_or(1, |node| node.incarnation + 1);
        let clock_rates_ppm = &self.config.clock_rates_ppm;
        let clock_rate_ppm = clock_rates_ppm[(index + 1) % clock_rates_ppm.len()];
        let address = format!("10.0.0.{index}:1").parse().unwrap();
        let zone = format!("z{}", index % self.config.zones).parse().unwrap();
        let start = Start {
            router: name.clone(),
            address,
            data_centre: zone,
            nonce: incarnation.to_string(),
            lease_ms: 500,
            heartbeat_ms: 100,
            drift_ppm: self.config.drift_ppm,
            authority_ms: self.config.authority.as_millis() as u64,
            seed: self.config.seed ^ incarnation,
        };
        let settings = Settings::from(&start);
        self.record(Line::Start(start));
        let node = Node {
            machine: Machine::new(settings),
            is_up: true,
            incarnation,
            paused_until: Instant::default(),
            drained: false,
            decisions: Vec::new(),
            table_calls: 0,
            clock_rate_ppm,
            members: Vec::new(),
            wake_at: None,
        };
        self.nodes.insert(name.clone(), node);
        self.push(
            self.now,
            Task::Event(
                name,
                incarnation,
                Box::new(Event::Fleet(self.fleet.clone())),
            ),
        );
    }

    pub(crate) fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet.clone();
        for (name, declared) in &fleet.upstreams {
            let model = upstream::Upstream::new(declared.checks_orders, 0);
            self.upstreams.entry(name.clone()).or_insert(model);
        }
        self.send_all(&Event::Fleet(fleet));
    }

    /// Sends an event to all routers at once.
    pub(crate) fn send_all(&mut self, event: &Event) {
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.send(&name, event.clone());
        }
    }

    pub(crate) fn send(&mut self, to: &Router, event: Event) {
        let incarnation = self.nodes[to].incarnation;
        self.push(
            self.now,
            Task::Event(to.clone(), incarnation, Box::new(event)),
        );
    }

    fn push(&mut self, at: Instant, task: Task) {
        self.scheduled_tasks += 1;
        self.queue
            .push(Reverse(Scheduled(at, self.scheduled_tasks, task)));
    }

    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cut_links.insert((a.to_owned(), b.to_owned()));
        self.cut_links.insert((b.to_owned(), a.to_owned()));
    }

    pub(crate) fn cut_table(&mut self, a: &str) {
        self.cut(a, TABLE);
    }

    fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cut_links.contains(&(a.to_owned(), b.to_owned()))
    }

    fn delay(&mut self) -> Duration {
        let late = self.rng.random_range(0..1000) < self.message_faults.delayed;
        let limit = if late { 1_500_000 } else { 2_000 };
        Duration::from_micros(self.rng.random_range(200..=limit))
    }

    fn order_delay(&mut self, action: &Action) -> Duration {
        let delay = self.delay();
        let Action::Order { upstream, .. } = action else {
            return delay;
        };
        let delayed = self.delayed_order.take_if(|(name, _)| name == upstream);
        delayed.map_or(delay, |(_, delayed)| delayed)
    }

    fn write_delay(&mut self, action: &Action) -> Duration {
        let delay = self.delay();
        let delayed = self
            .delayed_write
            .take_if(|_| matches!(action, Action::Write(_)));
        delayed.unwrap_or(delay)
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..1000) < self.message_faults.lost
    }

    fn copies(&mut self) -> usize {
        if self.is_lost() {
            0
        } else {
            1 + usize::from(self.rng.random_range(0..1000) < self.message_faults.duplicated)
        }
    }

    /// Runs until `at` or until the first violation.
    pub(crate) fn run_until(&mut self, at: Instant) {
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.0 > at || self.violation.is_some() {
                break;
            }
            let Reverse(Scheduled(time, _, task)) = self.queue.pop().unwrap();
            self.now = self.now.max(time);
            self.run_task(task);
        }
        self.now = self.now.max(at);
    }

    pub(crate) fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Runs while the condition holds, for at most `limit`. Returns the elapsed time.
    pub(crate) fn run_while(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&mut Self) -> bool,
    ) -> Duration {
        let start = self.now;
        while condition(self) && self.now - start < limit {
            self.run_for(5 * MS);
        }
        self.now - start
    }

    fn run_task(&mut self, task: Task) {
        match task {
            Task::Ping => self.ping(),
            Task::Wake(name, incarnation) => {
                let now = self.now;
                if self.nodes[&name].wake_at.is_some_and(|at| at <= now) {
                    self.step(&name, incarnation, Event::Tick);
                }
            }
            Task::Event(name, incarnation, event) => self.step(&name, incarnation, *event),
            Task::Table(name, incarnation, action) => self.run_table(&name, incarnation, *action),
            Task::Upstream(name, incarnation, action) => {
                self.run_upstream(&name, incarnation, *action)
            }
        }
    }

    fn step(&mut self, name: &Router, incarnation: u64, event: Event) {
        let node = self.nodes.get_mut(name).unwrap();
        if !node.is_up || node.incarnation != incarnation {
            return;
        }
        if node.paused_until > self.now {
            let at = node.paused_until;
            self.push(at, Task::Event(name.clone(), incarnation, Box::new(event)));
            return;
        }
        let local = local_time(self.now, node.clock_rate_ppm);
        let arrival = Arrival {
            router: name.clone(),
            at_us: local.as_micros(),
            event: event.clone(),
        };
        let actions = node.machine.step(local, event);
        if let Some(wake) = node.machine.next_wake() {
            let at = (self.now + (wake - local)).max(self.now + MS);
            node.wake_at = Some(at);
            self.push(at, Task::Wake(name.clone(), incarnation));
        }
        self.record(Line::Event(arrival));
        for action in actions {
            self.execute(name, incarnation, action);
        }
    }

    fn record(&mut self, line: Line) {
        self.trace.iter_mut().for_each(|it| it.push(line.clone()));
    }

    fn execute(&mut self, name: &Router, incarnation: u64, action: Action) {
        match action {
            Action::Scan { .. } | Action::Read { .. } | Action::Write(_) => {
                self.nodes[name].table_calls += 1;
                let delay = self.write_delay(&action);
                if let Action::Write(transaction) = &action
                    && delay > CLIENT_TIMEOUT
                {
                    let event = Event::Written {
                        operation: transaction.operation.clone(),
                        outcome: Outcome::Unknown,
                    };
                    let task = Task::Event(name.clone(), incarnation, Box::new(event));
                    self.push(self.now + CLIENT_TIMEOUT, task);
                }
                let task = Task::Table(name.clone(), incarnation, Box::new(action));
                self.push(self.now + delay, task);
            }
            Action::AskTicket { .. } | Action::Order { .. } => {
                let delay = self.order_delay(&action);
                let at = self.now + delay;
                if delay > CLIENT_TIMEOUT
                    && let Some(event) = lost_answer(&action)
                {
                    let timeout = self.now + CLIENT_TIMEOUT;
                    self.push(
                        timeout,
                        Task::Event(name.clone(), incarnation, Box::new(event)),
                    );
                }
                self.push(
                    at,
                    Task::Upstream(name.clone(), incarnation, Box::new(action)),
                );
            }
            Action::Send {
                router, message, ..
            } => {
                let from = name.clone();
                self.deliver(name, &router, Event::Message { from, message });
            }
            Action::Broadcast(rows) => {
                for other in self.nodes.keys().cloned().collect::<Vec<_>>() {
                    self.deliver(name, &other, Event::Rows(rows.clone()));
                }
            }
            Action::Decide(decision) => {
                let now = self.now;
                let stated = Stated {
                    router: name.clone(),
                    decision: decision.clone(),
                };
                self.record(Line::Decided(stated));
                self.nodes[name].decisions.push((now, decision));
            }
            Action::Drained => self.nodes[name].drained = true,
            Action::RoutesChanged | Action::Warm { .. } => {}
        }
    }

    fn deliver(&mut self, from: &Router, to: &Router, event: Event) {
        let Some(incarnation) = self.nodes.get(to).map(|node| node.incarnation) else {
            return;
        };
        if from == to || self.is_cut(from.as_str(), to.as_str()) {
            return;
        }
        for _ in 0..self.copies() {
            let delay = self.delay();
            let task = Task::Event(to.clone(), incarnation, Box::new(event.clone()));
            self.push(self.now + delay, task);
        }
    }

    fn run_table(&mut self, name: &Router, incarnation: u64, action: Action) {
        let reachable = self.table.is_up && !self.is_cut(name.as_str(), TABLE);
        let lost = self.is_lost();
        let event = match action {
            Action::Scan { scan, .. } if !reachable || lost => Event::ScanFailed { scan },
            Action::Scan { scan, prefix } => Event::Scanned {
                scan,
                rows: self.table.scan(&prefix),
            },
            Action::Read { id, .. } if !reachable || lost => Event::ReadFailed { id },
            Action::Read { id, key } => Event::Read {
                id,
                row: self.table.rows.get(&key).cloned(),
            },
            Action::Write(transaction) => {
                let mut outcome = Outcome::Unknown;
                if reachable {
                    outcome = self.table.write(&transaction);
                }
                let operation = transaction.operation;
                if lost {
                    outcome = Outcome::Unknown;
                }
                Event::Written { operation, outcome }
            }
            _ => return,
        };
        let delay = self.delay();
        self.push(
            self.now + delay,
            Task::Event(name.clone(), incarnation, Box::new(event)),
        );
    }

    fn run_upstream(&mut self, name: &Router, incarnation: u64, action: Action) {
        let (Action::AskTicket { upstream, .. } | Action::Order { upstream, .. }) = &action else {
            return;
        };
        let upstream = upstream.clone();
        let cut = self.is_cut(name.as_str(), upstream.as_str());
        let lost = self.is_lost();
        let model = &mut self.upstreams[&upstream];
        if cut || !model.is_up || lost && matches!(action, Action::AskTicket { .. }) {
            if let Some(event) = lost_answer(&action) {
                let delay = self.delay();
                self.push(
                    self.now + delay,
                    Task::Event(name.clone(), incarnation, Box::new(event)),
                );
            }
            return;
        }
        if model.paused_until > self.now {
            let at = model.paused_until;
            self.push(
                at,
                Task::Upstream(name.clone(), incarnation, Box::new(action)),
            );
            return;
        }
        let mut event = match &action {
            Action::AskTicket { id, .. } => Event::Ticket {
                upstream: upstream.clone(),
                id: *id,
                ticket: Some(model.ticket(self.now)),
            },
            Action::Order { id, order, .. } => Event::Answered {
                upstream: upstream.clone(),
                id: *id,
                answer: model.handle_order(order, self.now),
            },
            _ => return,
        };
        self.check_sole_ownership(&upstream);
        if lost && let Some(unknown) = lost_answer(&action) {
            event = unknown;
        }
        let delay = self.delay();
        self.push(
            self.now + delay,
            Task::Event(name.clone(), incarnation, Box::new(event)),
        );
    }

    /// Checks that no other upstream believes that it owns a shard that `upstream`
    /// believes it owns.
    fn check_sole_ownership(&mut self, upstream: &Upstream) {
        let mine: HashSet<Shard> = self.upstreams[upstream]
            .owned(self.now)
            .iter()
            .map(|(shard, _)| *shard)
            .collect();
        for (other, model) in &self.upstreams {
            let owned = model.owned(self.now).iter();
            let both = owned.filter(|(shard, _)| mine.contains(shard)).count();
            if other != upstream && both > 0 && self.violation.is_none() {
                let at = self.now.as_millis();
                self.violation = Some(format!(
                    "at {at} ms: {upstream} and {other} both own {both} of the same shards"
                ));
            }
        }
    }

    fn ping(&mut self) {
        let names: Vec<Router> = self.nodes.keys().cloned().collect();
        let now = self.now;
        for from in &names {
            let node = &self.nodes[from];
            if !node.is_up || node.paused_until > now || node.drained {
                continue;
            }
            for to in &names {
                if from == to || !self.is_cut(from.as_str(), to.as_str()) {
                    self.last_ping.insert((to.clone(), from.clone()), now);
                }
            }
        }
        for to in &names {
            let recent = |from: &&Router| {
                let at = self.last_ping.get(&(to.clone(), (*from).clone()));
                at.is_some_and(|at| now - *at <= SUSPECT_AFTER)
            };
            let members: Vec<Router> = names.iter().filter(recent).cloned().collect();
            if self.nodes[to].members != members {
                let event = Event::Members(members.iter().map(|it| self.member(it)).collect());
                self.nodes[to].members = members;
                self.send(to, event);
            }
        }
        self.push(now + PING_INTERVAL, Task::Ping);
    }

    /// Returns the shards that no reachable upstream owns by a grant that a running
    /// router knows.
    pub(crate) fn unserved(&self) -> Vec<Shard> {
        let mut served = HashSet::new();
        for (name, model) in &self.upstreams {
            if !model.is_up || model.paused_until > self.now {
                continue;
            }
            let homes = self.working_nodes_of(name);
            for (shard, granted) in model.owned(self.now) {
                let mut routes = homes.iter().map(|it| it.machine.route(&service(), *shard));
                let routed = routes.any(|route| match route {
                    Route::Local {
                        upstream, epoch, ..
                    } => upstream == *name && epoch == *granted,
                    _ => false,
                });
                if routed {
                    served.insert(*shard);
                }
            }
        }
        let all = (0..self.config.shards).map(Shard);
        all.filter(|shard| !served.contains(shard)).collect()
    }

    /// Returns the routers that run. The home in the table comes first.
    fn working_nodes_of(&self, upstream: &Upstream) -> Vec<&Node> {
        let row = format!("home/{}", upstream.as_str());
        let known = self.table.rows.get(row.as_str());
        let home = known.and_then(|row| Home::decode(&row.value).ok());
        let home = home.map(|it| it.router);
        let works = |node: &&Node| node.is_up && node.paused_until <= self.now;
        let others = self
            .nodes
            .iter()
            .filter(|(name, _)| Some(*name) != home.as_ref());
        let first = home.as_ref().and_then(|it| self.nodes.get(it));
        let nodes = first.into_iter().chain(others.map(|(_, node)| node));
        nodes.filter(works).collect()
    }

    /// Returns the home of an upstream according to the table.
    pub(crate) fn home_of(&self, upstream: &Upstream) -> Router {
        let row = &self.table.rows[format!("home/{}", upstream.as_str()).as_str()];
        Home::decode(&row.value).unwrap().router
    }

    pub(crate) fn count_of(&self, index: usize) -> usize {
        let model = &self.upstreams[&upstream(index)];
        model.owned(self.now).len()
    }

    /// Reports one second of load to the homes. `busy` returns the busy time of a shard.
    pub(crate) fn send_load(&mut self, busy: impl Fn(Shard) -> Duration) {
        let mut loads: IndexMap<Router, Vec<Load>> = IndexMap::new();
        for (name, model) in &self.upstreams {
            if !self
                .table
                .rows
                .contains_key(format!("home/{}", name.as_str()).as_str())
            {
                continue;
            }
            let shards = model.owned(self.now).iter();
            let load = Load {
                upstream: name.clone(),
                window: Duration::from_secs(1),
                shards: shards.map(|(shard, _)| (*shard, busy(*shard))).collect(),
            };
            loads.entry(self.home_of(name)).or_default().push(load);
        }
        for (home, loads) in loads {
            self.send(&home, Event::Load(loads));
        }
    }

    /// Returns the assignments of all shards according to the table.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let blocks = self.config.shards.div_ceil(256);
        let decode = |block: u32| {
            let row = &self.table.rows[format!("shards/lookup/{block}").as_str()];
            let len = (self.config.shards - block * 256).min(256);
            decode_block(&row.value, len).unwrap()
        };
        (0..blocks).flat_map(decode).collect()
    }

    /// Creates a simulation and runs it until all shards are served.
    pub(crate) fn serving(config: Config) -> Self {
        let mut sim = Self::new(config);
        sim.run_until_served();
        sim
    }

    pub(crate) fn run_until_served(&mut self) {
        let sim = self;
        let took = sim.run_while(Duration::from_secs(20), |it| !it.unserved().is_empty());
        assert!(took < Duration::from_secs(20), "{:?}", sim.unserved());
    }

    /// Stops a router abruptly.
    pub(crate) fn stop(&mut self, name: &Router) {
        self.nodes[name].is_up = false;
        self.record(Line::Stop(name.clone()));
    }

    /// Runs for `span` and returns the longest time for which any shard was unserved.
    pub(crate) fn longest_outage(&mut self, span: Duration) -> Duration {
        let end = self.now + span;
        let mut since: HashMap<Shard, Instant> = HashMap::new();
        let mut worst = Duration::ZERO;
        while self.now < end {
            let unserved: HashSet<Shard> = self.unserved().into_iter().collect();
            since.retain(|shard, _| unserved.contains(shard));
            for shard in unserved {
                let start = *since.entry(shard).or_insert(self.now);
                worst = worst.max(self.now - start);
            }
            self.run_for(2 * MS);
        }
        worst
    }

    pub(crate) fn rows(&self) -> Vec<Row> {
        self.table.rows.values().cloned().collect()
    }
}

fn local_time(now: Instant, clock_rate_ppm: i64) -> Instant {
    let micros = i128::from(now.as_micros());
    let micros = micros + micros * i128::from(clock_rate_ppm) / 1_000_000;
    Instant::from_micros(micros as u64)
}

fn lost_answer(action: &Action) -> Option<Event> {
    match action {
        Action::AskTicket { upstream, id, .. } => Some(Event::Ticket {
            upstream: upstream.clone(),
            id: *id,
            ticket: None,
        }),
        Action::Order { upstream, id, .. } => Some(Event::Answered {
            upstream: upstream.clone(),
            id: *id,
            answer: Answer::Unknown,
        }),
        _ => None,
    }
}
