//! The machine: state, dispatch of events, and queries.

mod assign;
mod claim;
mod commit;
mod handover;
mod lease;
mod message;
mod offer;
mod rebalance;
mod release;
mod succession;
mod table;

use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::table::{Operation, Row};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Router, Service, Term, Upstream};
use indexmap::{IndexMap, IndexSet};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::action::Action;
use crate::decision::{Decision, Reason, What};
use crate::event::{Event, Member};
use crate::held::Held;
use crate::message::Report;
use crate::route::{Absence, Route};
use crate::settings::Settings;
use crate::snapshot::{Home, Move, Snapshot};
use crate::view::{Change, View};
use crate::write::Pending;

use claim::Orphan;
use handover::{Ceded, Offer};
use table::{Read, Scan};

/// Shortest time between two looks at what is due.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Longest time between two looks at what is due.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Time between two looks while something is in progress.
const BUSY_SLEEP: Duration = Duration::from_millis(20);

/// State of an upstream, as its home reported it.
#[derive(Clone, Debug)]
struct Status {
    report: Report,
    at: Instant,
}

/// Decides on ownership for one router.
///
/// ```
/// use eelgrassrock_model::time::Instant;
/// use eelgrassrock_ownership::{Event, Machine, Settings};
///
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let settings = Settings::builder("r1".parse()?, address, "dc1".parse()?, "4f2a").build();
/// let mut machine = Machine::new(settings);
/// assert!(machine.step(Instant::from_millis(1), Event::Tick).is_empty());
/// # Ok::<(), eelgrassrock_model::NameError>(())
/// ```
pub struct Machine {
    settings: Settings,
    now: Instant,
    view: View,
    members: IndexMap<Router, Member>,
    held: IndexMap<Upstream, Held>,
    ceded: IndexMap<Upstream, Ceded>,
    offers: IndexMap<Upstream, Offer>,
    statuses: IndexMap<Upstream, Status>,
    leaving: IndexSet<Upstream>,
    /// Upstreams without live home, and when this router claims them.
    orphans: IndexMap<Upstream, Orphan>,
    /// Routers that went on under a term of this process, with that term. Until
    /// they end, this process can't say that its authority has ended.
    delegates: IndexMap<Upstream, (Router, Term)>,
    /// Routers that declined an offer of this router, since they stop too.
    declined: IndexSet<Router>,
    /// Routers that were members once and aren't any more.
    departed: IndexSet<Router>,
    /// Services with shards without owner, and since when.
    unplaced: IndexMap<Service, Instant>,
    pending: IndexMap<Operation, Pending>,
    scans: IndexMap<u64, Scan>,
    reads: IndexMap<u64, Read>,
    /// Time until which the rows of another router are awaited.
    peer_deadline: Option<Instant>,
    /// Time before which no home is chosen for the first time.
    started_at: Instant,
    /// Failures of the table since its last answer.
    table_failures: u32,
    /// When a home was last offered to a router that has fewer.
    relieved_at: Instant,
    homes_known: bool,
    blocks_known: IndexSet<Service>,
    next_id: u64,
    table_retry_at: Instant,
    next_report: Instant,
    draining: Option<Instant>,
    drained: bool,
    rng: ChaCha8Rng,
    out: Vec<Action>,
}

impl Machine {
    /// Creates the machine of a router that has just started.
    pub fn new(settings: Settings) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            settings,
            now: Instant::default(),
            view: View::default(),
            members: IndexMap::new(),
            held: IndexMap::new(),
            ceded: IndexMap::new(),
            offers: IndexMap::new(),
            statuses: IndexMap::new(),
            leaving: IndexSet::new(),
            orphans: IndexMap::new(),
            delegates: IndexMap::new(),
            declined: IndexSet::new(),
            departed: IndexSet::new(),
            unplaced: IndexMap::new(),
            pending: IndexMap::new(),
            scans: IndexMap::new(),
            reads: IndexMap::new(),
            peer_deadline: None,
            started_at: Instant::default(),
            table_failures: 0,
            relieved_at: Instant::default(),
            homes_known: false,
            blocks_known: IndexSet::new(),
            next_id: 1,
            table_retry_at: Instant::default(),
            next_report: Instant::default(),
            draining: None,
            drained: false,
            rng,
            out: Vec::new(),
        }
    }

    /// Takes an event in and returns what to do. `now` never decreases.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.dispatch(event);
        self.poll();
        std::mem::take(&mut self.out)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Members(members) => self.on_members(members),
            Event::Fleet(fleet) => self.on_fleet(fleet),
            Event::Leaving(leaving) => self.leaving = leaving.into_iter().collect(),
            Event::Scanned { scan, rows } => self.on_scanned(scan, rows),
            Event::ScanFailed { scan } => self.on_scan_failed(scan),
            Event::Read { id, row } => self.on_read(id, row),
            Event::ReadFailed { id } => self.on_read_failed(id),
            Event::Rows(rows) => self.learn(rows),
            Event::Written { operation, outcome } => self.on_written(&operation, outcome),
            Event::Ticket {
                upstream,
                id,
                ticket,
            } => self.on_ticket(&upstream, id, ticket),
            Event::Answered {
                upstream,
                id,
                answer,
            } => self.on_answered(&upstream, id, &answer),
            Event::Told { from, message } => self.on_told(&from, message),
            Event::Load(loads) => self.on_load(&loads),
            Event::Drain => self.on_drain(),
        }
    }

    /// Does what is due.
    fn poll(&mut self) {
        self.poll_table();
        self.poll_claims();
        self.poll_leases();
        self.poll_releases();
        self.poll_placement();
        self.poll_reports();
        self.poll_settled();
        self.poll_handovers();
    }

    /// Returns when the machine wants the next event at the latest.
    pub fn next_wake(&self) -> Option<Instant> {
        let beats = self.held.values().map(|held| {
            let overdue = held
                .request
                .as_ref()
                .map(|request| request.sent_at + self.settings.heartbeat);
            overdue.unwrap_or(held.next_beat)
        });
        let sleep = if self.is_busy() {
            BUSY_SLEEP
        } else {
            MAX_SLEEP
        };
        let earliest = self.now + MIN_SLEEP;
        let wake = beats.chain([self.now + sleep]).min();
        wake.map(|at| at.max(earliest))
    }

    fn is_busy(&self) -> bool {
        let in_progress = !self.pending.is_empty()
            || !self.orphans.is_empty()
            || !self.unplaced.is_empty()
            || !self.scans.is_empty()
            || (self.draining.is_some() && !self.drained);
        in_progress || !self.homes_known
    }

    /// Returns where a request for a shard goes. Takes constant time.
    pub fn route(&self, service: &Service, shard: Shard) -> Route {
        let Some(entry) = self.view.entry(service, shard) else {
            return Route::Unavailable(Absence::Unknown);
        };
        let Some(owner) = &entry.owner else {
            return Route::Unavailable(Absence::Unowned);
        };
        if let Some(held) = self.held.get(owner) {
            return self.local_route(owner, held, shard);
        }
        let Some(home) = self.view.home(owner) else {
            return Route::Unavailable(Absence::NoHome);
        };
        if home.router == self.settings.router {
            return Route::Unavailable(Absence::NoHome);
        }
        Route::Remote {
            router: home.router.clone(),
            address: home.address,
            upstream: owner.clone(),
            epoch: entry.epoch,
        }
    }

    fn local_route(&self, owner: &Upstream, held: &Held, shard: Shard) -> Route {
        match held.grant_of(shard) {
            Some((epoch, valid_until)) if valid_until > self.now => Route::Local {
                upstream: owner.clone(),
                epoch,
                valid_until,
            },
            _ => Route::Unavailable(Absence::NoGrant),
        }
    }

    /// Returns the upstreams that this router is home of, each with the time
    /// until which its grant is proven to be valid.
    pub fn leases(&self) -> impl Iterator<Item = (&Upstream, Option<Instant>)> {
        let until = |held: &Held| held.granted.as_ref().map(|granted| granted.valid_until);
        let leases = self.held.iter();
        leases.map(move |(upstream, held)| (upstream, until(held)))
    }

    /// Returns the state for the operator's status command.
    pub fn snapshot(&self) -> Snapshot {
        let names = self.view.homes.keys().chain(self.view.acting.keys());
        let homes = names.filter_map(|upstream| {
            let home = self.view.home(upstream)?;
            let held = self.held.get(upstream);
            let home = Home {
                router: home.router.clone(),
                term: home.term,
                lease_ms: held.map(|held| self.lease_ms(held)),
                settled: held.map(|held| held.is_settled(self.now)),
            };
            Some((upstream.clone(), home))
        });
        let owners = self.view.owners();
        Snapshot {
            homes: homes.collect(),
            assignments: owners.map(|(it, count)| (it.clone(), count)).collect(),
            moves: self.open_moves(),
        }
    }

    fn lease_ms(&self, held: &Held) -> u64 {
        let until = held.granted.as_ref().map(|it| it.valid_until);
        let left = until.map_or(Duration::ZERO, |until| until - self.now);
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    fn open_moves(&self) -> Vec<Move> {
        let mut moves = Vec::new();
        for (upstream, held) in &self.held {
            let Some(service) = self.view.service_of(upstream) else {
                continue;
            };
            for shard in self.view.incoming(upstream) {
                let Some(entry) = self.view.entry(service, shard) else {
                    continue;
                };
                if held.released.get(&shard) == Some(&entry.epoch) {
                    continue;
                }
                moves.extend(entry.prior.clone().map(|from| Move {
                    service: service.clone(),
                    shard,
                    from,
                    to: upstream.clone(),
                    epoch: entry.epoch,
                }));
            }
        }
        moves
    }

    /// Takes rows in and reacts to what they change.
    fn learn(&mut self, rows: Vec<Row>) {
        for row in rows {
            let change = self.view.apply(row);
            self.react(change);
        }
    }

    fn react(&mut self, change: Change) {
        match change {
            Change::Nothing => {}
            Change::Home(upstream) => {
                self.on_home_changed(&upstream);
                self.out.push(Action::RoutesChanged);
            }
            Change::Block(service, touched) => {
                for upstream in &touched {
                    self.note_gained(&service, upstream);
                    self.watch(upstream);
                }
                self.watch_service(&service);
                self.out.push(Action::RoutesChanged);
            }
            Change::Bad(row, fault) => self.on_bad_row(&row, &fault.to_string()),
        }
    }

    /// Notes which shards an upstream of this router gained or lost.
    fn note_gained(&mut self, service: &Service, upstream: &Upstream) {
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.grants_stale = true;
        let owner = |shard: Shard| self.view.entry(service, shard)?.owner.as_ref();
        held.gained
            .retain(|shard, _| owner(*shard) == Some(upstream));
        held.busy.retain(|shard, _| owner(*shard) == Some(upstream));
        let known = held.gained.len();
        for shard in self.view.owned(upstream) {
            held.gained.entry(shard).or_insert(self.now);
        }
        if held.gained.len() > known {
            held.next_ask = self.now;
        }
    }

    fn on_bad_row(&mut self, row: &Row, fault: &str) {
        for held in self.held.values_mut() {
            held.grants_stale = true;
        }
        if let Some(crate::row::Key::Home(upstream)) = crate::row::Key::parse(&row.key) {
            self.on_home_changed(&upstream);
        }
        let what = What::BadRow {
            key: row.key.as_ref().to_owned(),
            fault: fault.to_owned(),
        };
        self.decide(what, Reason::Invalid);
        self.out.push(Action::RoutesChanged);
    }

    fn decide(&mut self, what: What, reason: Reason) {
        self.out.push(Action::Decide(Decision { what, reason }));
    }

    fn take_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}
