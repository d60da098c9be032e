//! Model of a cluster with two routers, two upstreams and one table, and the failures that
//! can occur between them. An upstream is modelled as the list of its exchanges.

mod check;
mod exchange;
mod op;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::fleet::{Fleet, Patience};
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Upstream, table};
use eelgrassrock_request::simulation::Table;
use eelgrassrock_request::{
    Action, Answer, Arrival, Event, Grant, Id, Machine, Outcome, Settings, Verdict, example,
};

use crate::support;
pub(crate) use exchange::{Exchange, Stage};
pub(crate) use op::{ExchangeStep, Op};

const ROUTERS: usize = 2;
const SLOTS: usize = 2;
const QUEUE_BOUND: usize = 6;
const KEYS: u64 = 4;
const NAMES: [&str; 2] = ["lookup-1", "lookup-2"];

/// State of a request, as known by the model.
#[derive(Debug)]
struct Request {
    arrival: Arrival,
    router: usize,
    key: Option<u64>,
    answers: u32,
    reported_not_run: bool,
    has_disconnected: bool,
    lost: bool,
    /// Whether the head of its answer was passed on.
    responding: bool,
}

pub(crate) struct Cluster {
    pub(crate) now: Instant,
    machines: Vec<Machine>,
    incarnations: u32,
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

impl Cluster {
    pub(crate) fn new() -> Self {
        let mut cluster = Self {
            now: support::at(1),
            machines: Vec::new(),
            incarnations: 0,
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
            let machine = cluster.start_machine();
            cluster.machines.push(machine);
        }
        for index in 0..2 {
            cluster.serve(cluster.homes[index], index, Grant::Held);
        }
        cluster
    }

    fn start_machine(&mut self) -> Machine {
        self.incarnations += 1;
        let settings = Settings::builder()
            .router(Arc::from(format!("router-{}", self.incarnations)))
            .seed(u64::from(self.incarnations))
            .queue_requests(QUEUE_BOUND)
            .claims_per_second(1_000)
            .completion_grace(Duration::from_secs(5));
        let mut machine = Machine::new(settings.build());
        machine.step(self.now, Event::Fleet(fleet()));
        machine
    }

    fn serve(&mut self, router: usize, index: usize, grant: Grant) {
        let upstream = upstream(index);
        self.step(router, Event::GrantChanged { upstream, grant });
    }

    pub(crate) fn apply(&mut self, op: Op) {
        match op {
            Op::Once {
                key,
                body,
                misrouted,
            } => self.arrive(Some((key.into(), body)), misrouted),
            Op::Read { misrouted } => self.arrive(None, misrouted),
            Op::Elapse { millis } => self.elapse(Duration::from_millis(millis.into())),
            Op::Exchange { pick, step } => self.exchange(pick.into(), step),
            Op::Run { pick } => self.run(pick.into()),
            Op::Write { pick, result } => self.write(pick.into(), result),
            Op::Delayed { pick } => self.apply_delayed(pick.into()),
            Op::Row { pick, readable } => self.read(pick.into(), readable),
            Op::Handover { index } => self.hand_over(usize::from(index)),
            Op::SplitBrain { index } => self.split_brain(usize::from(index)),
            Op::Crash { router } => self.crash(usize::from(router)),
            Op::ChangeGrant { index, grant } => self.change_grant(usize::from(index), grant),
            Op::Move => self.move_shards(),
            Op::Respond { pick } => self.respond(pick.into()),
            Op::Restart { index } => {
                let upstream = upstream(index.into());
                self.step(
                    self.homes[usize::from(index)],
                    Event::Restarted { upstream },
                );
            }
            Op::Probe { index, well } => {
                let upstream = upstream(index.into());
                self.step(
                    self.homes[usize::from(index)],
                    Event::Probed { upstream, well },
                );
            }
            Op::Disconnect { pick } => self.disconnect(pick.into()),
            Op::Store { router, up } => {
                let event = if up { Event::StoreUp } else { Event::StoreDown };
                self.step(usize::from(router), event);
            }
        }
    }

    fn arrive(&mut self, key: Option<(u64, bool)>, misrouted: bool) {
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
            reported_not_run: false,
            has_disconnected: false,
            lost: false,
            responding: false,
        };
        self.requests.insert(id, request);
        self.route(id, misrouted);
    }

    /// Passes a request to the home of its owner, or to the other router if it is
    /// misrouted.
    fn route(&mut self, id: u64, misrouted: bool) {
        let home = self.homes[self.owner];
        let router = if misrouted { 1 - home } else { home };
        let request = self.requests.get_mut(&id).unwrap();
        request.router = router;
        request.arrival.upstream = upstream(self.owner);
        let arrival = request.arrival.clone();
        self.step(router, Event::Arrive(arrival));
    }

    fn elapse(&mut self, span: Duration) {
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
        let is_exempt = matches!(event, Event::Disconnected { .. } | Event::Began { .. });
        let actions = self.machines[router].step(self.now, event);
        self.check_cancelled(&actions, is_exempt);
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
                self.record_answer(request);
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
            Action::Probe { .. }
            | Action::Scan { .. }
            | Action::Suspect { .. }
            | Action::Decide(_)
            | Action::Drained => {}
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
        self.record_answer(id);
        let request = self.requests.get_mut(&id.0).unwrap();
        match verdict.outcome {
            Outcome::NotRun => request.reported_not_run = true,
            Outcome::Done => self.check_done(id),
            Outcome::Unknown => {}
        }
        self.check_not_run();
    }

    fn disconnect(&mut self, pick: usize) {
        let live = self.requests.iter().filter(|(_, request)| {
            request.answers == 0 && !request.has_disconnected && !request.lost
        });
        let live: Vec<u64> = live.map(|(id, _)| *id).collect();
        if live.is_empty() {
            return;
        }
        let id = live[pick % live.len()];
        let router = self.requests[&id].router;
        self.step(router, Event::Disconnected { request: Id(id) });
        let request = self.requests.get_mut(&id).unwrap();
        request.has_disconnected = request.answers == 0;
    }

    /// Hands the upstream over from its old home to the other router.
    fn hand_over(&mut self, index: usize) {
        let (old, new) = (self.homes[index], 1 - self.homes[index]);
        self.homes[index] = new;
        self.serve(new, index, Grant::Held);
        self.serve(old, index, Grant::Released);
    }

    /// Makes another router home while the old one doesn't know it yet.
    fn split_brain(&mut self, index: usize) {
        self.homes[index] = 1 - self.homes[index];
        self.serve(self.homes[index], index, Grant::Held);
    }

    /// Replaces a router that crashed, and lost all its state, with a new one.
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

    fn change_grant(&mut self, index: usize, grant: Grant) {
        self.serve(self.homes[index], index, grant);
        if grant == Grant::Released {
            self.serve(self.homes[index], index, Grant::Held);
        }
    }

    /// Moves the only shard to the other upstream.
    fn move_shards(&mut self) {
        let old = self.owner;
        self.owner = 1 - old;
        let event = Event::Moved {
            upstream: upstream(old),
            shard: Shard(0),
        };
        self.step(self.homes[old], event);
    }

    /// Lets all pending work end, and checks that every request is answered.
    pub(crate) fn run_to_completion(&mut self) {
        for index in 0..2 {
            self.serve(self.homes[index], index, Grant::Held);
        }
        for _ in 0..20 {
            while !self.writes.is_empty() {
                self.write(0, op::CommitResult::Commit);
            }
            while !self.reads.is_empty() {
                self.read(0, true);
            }
            self.fail_responding();
            self.elapse(Duration::from_secs(1));
        }
        for (id, request) in &self.requests {
            let excused = request.has_disconnected || request.lost;
            assert!(excused || request.answers == 1, "{id} got no answer");
        }
        let count = |machine: &Machine| machine.snapshot().requests;
        let waiting: usize = self.machines.iter().map(count).sum();
        assert_eq!(waiting, 0, "requests are left over");
        for key in 0..2 * KEYS {
            let runs = self.runs.get(&key).copied().unwrap_or(0);
            assert!(runs <= 1, "key {key} ran {runs} times");
        }
    }
}

impl Cluster {
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
