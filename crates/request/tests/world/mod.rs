//! Two routers, two upstreams, one table, and everything that can go wrong
//! between them. An upstream is the list of its exchanges.

mod exchange;
mod fate;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::fleet::{Fleet, Patience};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Upstream, table};
use eelgrassrock_request::experiment::Table;
use eelgrassrock_request::{
    Action, Answer, Arrival, Event, Grant, Id, Machine, Outcome, Settings, Verdict, example,
};

use crate::support;
pub(crate) use exchange::{Exchange, Stage};
pub(crate) use fate::{Late, Op};

const ROUTERS: usize = 2;
const SLOTS: usize = 2;
const QUEUE_BOUND: usize = 6;
const KEYS: u64 = 4;
const NAMES: [&str; 2] = ["lookup-1", "lookup-2"];

/// What the world knows of a request.
#[derive(Debug)]
struct Request {
    arrival: Arrival,
    router: usize,
    key: Option<u64>,
    answers: u32,
    told_not_run: bool,
    left: bool,
    lost: bool,
}

pub(crate) struct World {
    pub(crate) now: Instant,
    machines: Vec<Machine>,
    lives: u32,
    homes: [usize; 2],
    owner: usize,
    requests: BTreeMap<u64, Request>,
    exchanges: Vec<Exchange>,
    table: Table,
    writes: Vec<(usize, u32, table::Transaction)>,
    reads: Vec<(usize, u32, Arc<str>)>,
    delayed: Vec<table::Transaction>,
    generations: [u32; ROUTERS],
    next: u64,
    runs: HashMap<u64, u32>,
}

fn upstream(index: usize) -> Upstream {
    NAMES[index].parse().unwrap()
}

fn fleet() -> Fleet {
    let mut fleet = example::fleet();
    let declared = fleet.upstreams[&upstream(0)].clone();
    fleet.upstreams.insert(upstream(1), declared);
    fleet
}

impl World {
    pub(crate) fn new() -> Self {
        let mut world = Self {
            now: support::at(1),
            machines: Vec::new(),
            lives: 0,
            homes: [0, 1],
            owner: 0,
            requests: BTreeMap::new(),
            exchanges: Vec::new(),
            table: Table::default(),
            writes: Vec::new(),
            reads: Vec::new(),
            delayed: Vec::new(),
            generations: [0; ROUTERS],
            next: 0,
            runs: HashMap::new(),
        };
        for _ in 0..ROUTERS {
            let machine = world.start_machine();
            world.machines.push(machine);
        }
        for index in 0..2 {
            world.serve(world.homes[index], index, Grant::Held);
        }
        world
    }

    fn start_machine(&mut self) -> Machine {
        self.lives += 1;
        let settings = Settings::builder()
            .router(Arc::from(format!("router-{}", self.lives)))
            .seed(u64::from(self.lives))
            .queue_requests(QUEUE_BOUND)
            .claims_per_second(1_000)
            .linger(Duration::from_secs(5));
        let mut machine = Machine::new(settings.build());
        machine.step(self.now, Event::Fleet(fleet()));
        machine
    }

    fn serve(&mut self, router: usize, index: usize, grant: Grant) {
        let upstream = upstream(index);
        self.step(router, Event::Serving { upstream, grant });
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Once { key, body, stray } => self.arrive(Some((key.into(), body)), stray),
            Op::Read { stray } => self.arrive(None, stray),
            Op::Pass { millis } => self.pass(Duration::from_millis(millis.into())),
            Op::Exchange { pick, late } => self.exchange(pick.into(), late),
            Op::Run { pick } => self.run(pick.into()),
            Op::Write { pick, fate } => self.write(pick.into(), fate),
            Op::Delayed { pick } => self.apply_delayed(pick.into()),
            Op::Row { pick, readable } => self.read(pick.into(), readable),
            Op::Handover { index } => self.hand_over(usize::from(index)),
            Op::Split { index } => self.split(usize::from(index)),
            Op::Crash { router } => self.crash(usize::from(router)),
            Op::Lapse { index, grant } => self.lapse(usize::from(index), grant),
            Op::Move => self.move_shards(),
            Op::Leave { pick } => self.leave(pick.into()),
            Op::Store { router, up } => {
                let event = if up { Event::StoreUp } else { Event::StoreDown };
                self.step(usize::from(router), event);
            }
        }
    }

    fn arrive(&mut self, key: Option<(u64, bool)>, stray: bool) {
        self.next += 1;
        let id = self.next;
        let mut arrival = match key {
            Some((key, body)) => {
                let key = key % KEYS;
                support::once(id, self.now, &format!("key-{key}"), u8::from(body))
            }
            None => support::read(id, self.now),
        };
        arrival.shard = Shard(0);
        if id.is_multiple_of(3) {
            arrival.class = support::class(
                arrival.class.repeat,
                Patience::Prompt(Duration::from_millis(50)),
            );
        }
        let request = Request {
            arrival,
            router: 0,
            key: key.map(|(key, body)| 2 * (key % KEYS) + u64::from(body)),
            answers: 0,
            told_not_run: false,
            left: false,
            lost: false,
        };
        self.requests.insert(id, request);
        self.route(id, stray);
    }

    /// Hands a request to the home of its owner, or to the other router.
    fn route(&mut self, id: u64, stray: bool) {
        let home = self.homes[self.owner];
        let router = if stray { 1 - home } else { home };
        let request = self.requests.get_mut(&id).unwrap();
        request.router = router;
        request.arrival.upstream = upstream(self.owner);
        let arrival = request.arrival.clone();
        self.step(router, Event::Arrive(arrival));
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wakes = (0..ROUTERS).filter_map(|router| {
                let wake = self.machines[router].next_wake()?;
                Some((wake, router))
            });
            match wakes.min() {
                Some((wake, router)) if wake <= end => {
                    self.now = self.now.max(wake);
                    self.step(router, Event::Tick);
                }
                _ => break,
            }
        }
        self.now = end;
        for router in 0..ROUTERS {
            self.step(router, Event::Tick);
        }
    }

    pub(crate) fn step(&mut self, router: usize, event: Event) {
        let left = matches!(event, Event::Left { .. } | Event::Began { .. });
        let actions = self.machines[router].step(self.now, event);
        self.check_given_up(&actions, left);
        for action in actions {
            self.act(router, action);
        }
        self.check_bounds(router);
    }

    fn act(&mut self, router: usize, action: Action) {
        match action {
            Action::Send {
                request,
                upstream,
                attempt,
                ..
            } => self.send(router, request, &upstream, attempt),
            Action::Cancel { request } => self.cancel(router, request),
            Action::Finish { request, verdict } => self.finish(request, verdict),
            Action::Replay { request, .. } => {
                self.note_answer(request);
                self.check_done(request);
            }
            Action::Redirect {
                request,
                attempts,
                claim,
            } => self.redirect(request, attempts, claim),
            Action::Write(transaction) => {
                let generation = self.generations[router];
                self.writes.push((router, generation, transaction));
            }
            Action::Read { key } => self.reads.push((router, self.generations[router], key)),
            Action::Probe { upstream } => {
                let well = true;
                self.step(router, Event::Probed { upstream, well });
            }
            Action::Scan { .. } | Action::Suspect { .. } | Action::Decide(_) | Action::Drained => {}
        }
    }

    fn redirect(&mut self, id: Id, attempts: u32, claim: Option<table::Check>) {
        let request = self.requests.get_mut(&id.0).unwrap();
        assert_eq!(request.answers, 0, "{id} was answered and then redirected");
        request.arrival.attempts = attempts;
        if let Some(token) = &mut request.arrival.idempotency {
            token.carried = claim;
        }
        self.route(id.0, false);
    }

    fn finish(&mut self, id: Id, verdict: Verdict) {
        self.note_answer(id);
        let request = self.requests.get_mut(&id.0).unwrap();
        match verdict.outcome {
            Outcome::NotRun => request.told_not_run = true,
            Outcome::Done => self.check_done(id),
            Outcome::Unknown => {}
        }
        self.check_not_run();
    }

    fn note_answer(&mut self, id: Id) {
        let request = self.requests.get_mut(&id.0).unwrap();
        request.answers += 1;
        assert_eq!(request.answers, 1, "{id} got two final answers");
        assert!(!request.left, "{id} was answered after its caller left");
    }

    fn check_done(&self, id: Id) {
        if let Some(key) = self.requests[&id.0].key {
            assert_eq!(self.runs.get(&key), Some(&1), "{id} is done without a run");
        }
    }

    /// A request that was told "not run" has no exchange that ran or may run.
    pub(crate) fn check_not_run(&self) {
        for exchange in &self.exchanges {
            let told = self.requests[&exchange.request.0].told_not_run;
            let may_run = exchange.ran || exchange.stage == Stage::Begun;
            assert!(!(told && may_run), "{} was told not run", exchange.request);
        }
    }

    /// What is cancelled for another reason than the caller is answered, or
    /// sent again, in the same step.
    fn check_given_up(&self, actions: &[Action], left: bool) {
        let cancelled: BTreeSet<Id> = actions.iter().filter_map(cancelled).collect();
        let settled: BTreeSet<Id> = actions.iter().filter_map(settled).collect();
        for id in cancelled.difference(&settled) {
            let answered = self.requests[&id.0].answers > 0 || self.requests[&id.0].left;
            assert!(left || answered, "{id} was given up without an answer");
        }
    }

    fn check_bounds(&self, router: usize) {
        let snapshot = self.machines[router].snapshot();
        for (name, station) in &snapshot.stations {
            for flow in station.partners.values() {
                assert!(
                    flow.queued <= QUEUE_BOUND + SLOTS,
                    "queue of {name} too long"
                );
            }
            assert!(station.busy as usize <= SLOTS, "too many slots of {name}");
            let open = |exchange: &&Exchange| {
                exchange.open
                    && exchange.router == router
                    && exchange.generation == self.generations[router]
                    && NAMES[exchange.upstream] == String::from(name.clone())
            };
            let open = self.exchanges.iter().filter(open).count();
            assert!(open <= SLOTS, "{open} open exchanges at {name}");
        }
        for (id, request) in &self.requests {
            let live = request.answers == 0 && !request.left && !request.lost;
            let late = self.now > request.arrival.deadline;
            let due = live && late && request.router == router;
            assert!(!due || self.lags(router), "{id} is past its deadline");
        }
    }

    /// Whether the machine has not yet been told the time.
    fn lags(&self, router: usize) -> bool {
        let wake = self.machines[router].next_wake();
        wake.is_some_and(|wake| wake <= self.now)
    }

    fn leave(&mut self, pick: usize) {
        let live = self
            .requests
            .iter()
            .filter(|(_, request)| request.answers == 0 && !request.left && !request.lost);
        let live: Vec<u64> = live.map(|(id, _)| *id).collect();
        if live.is_empty() {
            return;
        }
        let id = live[pick % live.len()];
        let router = self.requests[&id].router;
        self.step(router, Event::Left { request: Id(id) });
        let request = self.requests.get_mut(&id).unwrap();
        request.left = request.answers == 0;
    }

    /// The old home hands the upstream over to the other router.
    fn hand_over(&mut self, index: usize) {
        let (old, new) = (self.homes[index], 1 - self.homes[index]);
        self.homes[index] = new;
        self.serve(new, index, Grant::Held);
        self.serve(old, index, Grant::Released);
    }

    /// Another router becomes home while the old one doesn't know it yet.
    fn split(&mut self, index: usize) {
        self.homes[index] = 1 - self.homes[index];
        self.serve(self.homes[index], index, Grant::Held);
    }

    /// A router is lost with all that it knew, and a fresh one takes its place.
    fn crash(&mut self, router: usize) {
        self.generations[router] += 1;
        for request in self.requests.values_mut() {
            request.lost |= request.router == router && request.answers == 0;
        }
        for exchange in &mut self.exchanges {
            exchange.open &= exchange.router != router;
        }
        self.machines[router] = self.start_machine();
        for index in 0..2 {
            if self.homes[index] == router {
                self.serve(router, index, Grant::Held);
            }
        }
    }

    fn lapse(&mut self, index: usize, grant: Grant) {
        self.serve(self.homes[index], index, grant);
        if grant == Grant::Released {
            self.serve(self.homes[index], index, Grant::Held);
        }
    }

    /// The only shard moves to the other upstream.
    fn move_shards(&mut self) {
        let old = self.owner;
        self.owner = 1 - old;
        let event = Event::Moved {
            upstream: upstream(old),
            shard: Shard(0),
        };
        self.step(self.homes[old], event);
    }

    /// Lets everything come to its end, and checks that all is answered.
    pub(crate) fn settle(&mut self) {
        for index in 0..2 {
            self.serve(self.homes[index], index, Grant::Held);
        }
        for _ in 0..20 {
            while !self.writes.is_empty() {
                self.write(0, fate::Fate::Commit);
            }
            while !self.reads.is_empty() {
                self.read(0, true);
            }
            self.pass(Duration::from_secs(1));
        }
        for (id, request) in &self.requests {
            let excused = request.left || request.lost;
            assert!(excused || request.answers == 1, "{id} got no answer");
        }
        let count = |generation: &Machine| generation.snapshot().requests;
        let waiting: usize = self.machines.iter().map(count).sum();
        assert_eq!(waiting, 0, "requests are left over");
        for key in 0..2 * KEYS {
            let runs = self.runs.get(&key).copied().unwrap_or(0);
            assert!(runs <= 1, "key {key} ran {runs} times");
        }
    }
}

fn cancelled(action: &Action) -> Option<Id> {
    match action {
        Action::Cancel { request } => Some(*request),
        _ => None,
    }
}

fn settled(action: &Action) -> Option<Id> {
    match action {
        Action::Finish { request, .. }
        | Action::Redirect { request, .. }
        | Action::Send { request, .. } => Some(*request),
        Action::Decide(decision) => Some(decision.request),
        _ => None,
    }
}

impl World {
    fn note_run(&mut self, id: Id) {
        let request = &self.requests[&id.0];
        assert!(!request.told_not_run, "{id} ran after it was told not run");
        let Some(key) = request.key else {
            return;
        };
        let other = self.runs.get(&(key ^ 1)).copied().unwrap_or(0);
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        assert_eq!(*runs + other, 1, "key {} ran again as {id}", key / 2);
    }

    fn answer(&mut self, exchange: &Exchange, answer: Answer) {
        if exchange.generation != self.generations[exchange.router] {
            return;
        }
        let event = Event::Answered {
            request: exchange.request,
            attempt: exchange.attempt,
            answer,
        };
        self.step(exchange.router, event);
    }
}
