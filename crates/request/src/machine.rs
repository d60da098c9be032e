//! State machine that decides on all requests for the upstreams of one home.

mod admission;
mod answer;
mod claims;
mod commit;
mod dispatch;
mod fleet;
mod foreign;
mod health;
mod request;
mod sweep;
mod timer;
mod upstream;

use std::collections::{BTreeSet, HashMap};

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::time::Instant;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::action::Action;
use crate::claim::{Records, Writer};
use crate::event::{Event, Id};
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use request::Request;
use sweep::Sweep;
use upstream::UpstreamState;

/// State machine that decides on the requests of all upstreams that one router is home of.
///
/// The caller passes in events in the order in which they happened and carries out the
/// returned actions in order. It passes in [`Event::Tick`] when the time of
/// [`Machine::next_wake`] is reached.
#[derive(Debug)]
pub struct Machine {
    settings: Settings,
    random: ChaCha8Rng,
    fleet: Fleet,
    upstreams: IndexMap<Upstream, UpstreamState>,
    requests: HashMap<Id, Request>,
    timers: BTreeSet<(Instant, Id)>,
    checks: BTreeSet<(Instant, Upstream)>,
    records: Records,
    writer: Writer,
    sweep: Sweep,
    draining: bool,
    drained: bool,
    actions: Vec<Action>,
}

impl Machine {
    /// Creates a machine without a fleet.
    ///
    /// ```
    /// use eelgrassrock_request::{Machine, Settings};
    ///
    /// let machine = Machine::new(Settings::builder().build());
    /// assert_eq!(machine.next_wake(), None);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            records: Records::new(settings.max_records, settings.max_answer_bytes),
            writer: Writer::new(settings.claims_per_second),
            sweep: Sweep::default(),
            settings,
            fleet: Fleet::default(),
            upstreams: IndexMap::new(),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            checks: BTreeSet::new(),
            draining: false,
            drained: false,
            actions: Vec::new(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    ///
    /// ```
    /// use eelgrassrock_model::time::Instant;
    /// use eelgrassrock_request::{Event, Machine, Settings};
    ///
    /// let mut machine = Machine::new(Settings::builder().build());
    /// assert!(machine.step(Instant::from_millis(1), Event::Tick).is_empty());
    /// ```
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.run_timers(now);
        self.run_checks(now);
        match event {
            Event::Tick => {}
            Event::Fleet(fleet) => self.set_fleet(now, fleet),
            Event::GrantChanged { upstream, grant } => self.change_grant(now, &upstream, grant),
            Event::Moved { upstream, shard } => self.move_shard(now, &upstream, shard),
            Event::Arrive(arrival) => self.arrive(now, arrival),
            Event::Began { request, attempt } => self.begin(request, attempt),
            Event::Responding { request, attempt } => self.respond(now, request, attempt),
            Event::Answered {
                request,
                attempt,
                answer,
            } => self.answer(now, request, attempt, answer),
            Event::Disconnected { request } => self.disconnected(now, request),
            Event::Written { operation, outcome } => self.written(now, &operation, outcome),
            Event::Read { key, row } => self.row_read(now, &key, row),
            Event::Scanned { rows, more } => self.scanned(now, rows, more),
            Event::TimeOfDay { unix } => self.set_time_of_day(now, unix),
            Event::StoreDown => self.store_down(now),
            Event::StoreUp => self.writer.set_outage_until(None),
            Event::Probed { upstream, well } => self.probed(now, &upstream, well),
            Event::Restarted { upstream } => self.restarted(now, &upstream),
            Event::Drain => self.drain(),
        }
        self.run_sweep(now);
        self.submit_due(now);
        self.report_drained();
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which the machine needs [`Event::Tick`], if any.
    ///
    /// ```
    /// use eelgrassrock_request::{Machine, Settings};
    ///
    /// assert!(Machine::new(Settings::builder().build()).next_wake().is_none());
    /// ```
    pub fn next_wake(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let check_at = self.checks.first().map(|(at, _)| *at);
        [timer, check_at, self.writer.wake(), self.sweep.wake()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the state of all upstreams for operators and metrics.
    ///
    /// ```
    /// use eelgrassrock_request::{Machine, Settings};
    ///
    /// assert_eq!(Machine::new(Settings::builder().build()).snapshot().requests, 0);
    /// ```
    pub fn snapshot(&self) -> Snapshot {
        let upstreams = self.upstreams.iter();
        Snapshot {
            upstreams: upstreams
                .map(|(name, state)| (name.clone(), state.snapshot()))
                .collect(),
            requests: self.requests.len(),
            draining: self.draining,
            claims_waiting: self.writer.waiting(),
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        self.sweep.stop();
    }

    fn report_drained(&mut self) {
        if self.draining && !self.drained && self.requests.is_empty() && self.writer.is_idle() {
            self.drained = true;
            self.actions.push(Action::Drained);
        }
    }
}
