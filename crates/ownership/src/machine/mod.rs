//! State machine that decides on ownership for one router: state, dispatch of events, and
//! queries.

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
use crate::decision::{Decision, DecisionKind, Reason};
use crate::event::{Event, Member};
use crate::held::Held;
use crate::message::Report;
use crate::route::{Route, Unavailability};
use crate::settings::Settings;
use crate::snapshot::{Home, Move, Snapshot};
use crate::view::{Change, View};
use crate::write::Pending;

use claim::Orphan;
use handover::{CededHome, Offer};
use table::{Read, Scan};

/// Shortest time between two polls for due work.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Longest time between two polls for due work.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two polls for due work while something is in progress.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State of an upstream, with the time at which its home reported it.
#[derive(Clone, Debug)]
struct Status {
    report: Report,
    at: Instant,
}

/// State machine that decides on ownership for one router.
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
    ceded: IndexMap<Upstream, CededHome>,
    offers: IndexMap<Upstream, Offer>,
    statuses: IndexMap<Upstream, Status>,
    leaving: IndexSet<Upstream>,
    /// Upstreams without a live home.
    orphans: IndexMap<Upstream, Orphan>,
    /// Routers that continue a term of this process, with that term. Until they end, this
    /// process can't tell that its authority has ended.
    delegates: IndexMap<Upstream, (Router, Term)>,
    /// Routers that declined an offer of this router, since they stop as well.
    declined_routers: IndexSet<Router>,
    /// Routers that were members earlier and no longer are.
    departed_routers: IndexSet<Router>,
    /// Services with shards that have no owner, and since when.
    unowned_since: IndexMap<Service, Instant>,
    pending: IndexMap<Operation, Pending>,
    scans: IndexMap<u64, Scan>,
    reads: IndexMap<u64, Read>,
    /// Time until which this router waits for all rows from another router.
    peer_rows_deadline: Option<Instant>,
    /// Time before which this router claims no upstream that has never had a home.
    first_claim_at: Instant,
    /// Number of failed exchanges with the table since its last answer.
    table_failures: u32,
    /// Time of the last offer of a home to a router that has fewer homes.
    homes_rebalanced_at: Instant,
    has_all_homes: bool,
    loaded_services: IndexSet<Service>,
    next_id: u64,
    table_retry_at: Instant,
    next_report: Instant,
    draining_since: Option<Instant>,
    is_drained: bool,
    rng: ChaCha8Rng,
    actions: Vec<Action>,
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
            declined_routers: IndexSet::new(),
            departed_routers: IndexSet::new(),
            unowned_since: IndexMap::new(),
            pending: IndexMap::new(),
            scans: IndexMap::new(),
            reads: IndexMap::new(),
            peer_rows_deadline: None,
            first_claim_at: Instant::default(),
            table_failures: 0,
            homes_rebalanced_at: Instant::default(),
            has_all_homes: false,
            loaded_services: IndexSet::new(),
            next_id: 1,
            table_retry_at: Instant::default(),
            next_report: Instant::default(),
            draining_since: None,
            is_drained: false,
            rng,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions for the caller. `now` never decreases.
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        self.dispatch(event);
        self.poll();
        std::mem::take(&mut self.actions)
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
            Event::Rows(rows) => self.apply_rows(rows),
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
            Event::Message { from, message } => self.on_message(&from, message),
            Event::Load(loads) => self.on_load(&loads),
            Event::Drain => self.on_drain(),
        }
    }

    /// Runs all work that is due.
    fn poll(&mut self) {
        self.poll_table();
        self.poll_claims();
        self.poll_leases();
        self.poll_releases();
        self.poll_placement();
        self.poll_reports();
        self.poll_earlier_homes();
        self.poll_handovers();
    }

    /// Returns the time by which the machine needs its next event.
    pub fn next_wake(&self) -> Option<Instant> {
        let heartbeats = self.held.values().map(|held| {
            let overdue = held
                .request
                .as_ref()
                .map(|request| request.sent_at + self.settings.heartbeat);
            overdue.unwrap_or(held.next_heartbeat)
        });
        let interval = if self.is_busy() {
            BUSY_POLL_INTERVAL
        } else {
            MAX_POLL_INTERVAL
        };
        let earliest = self.now + MIN_POLL_INTERVAL;
        let wake = heartbeats.chain([self.now + interval]).min();
        wake.map(|at| at.max(earliest))
    }

    fn is_busy(&self) -> bool {
        let in_progress = !self.pending.is_empty()
            || !self.orphans.is_empty()
            || !self.unowned_since.is_empty()
            || !self.scans.is_empty()
            || (self.draining_since.is_some() && !self.is_drained);
        in_progress || !self.has_all_homes
    }

    /// Returns the destination of a request for a shard. Takes constant time.
    pub fn route(&self, service: &Service, shard: Shard) -> Route {
        let Some(entry) = self.view.entry(service, shard) else {
            return Route::Unavailable(Unavailability::Unknown);
        };
        let Some(owner) = &entry.owner else {
            return Route::Unavailable(Unavailability::Unowned);
        };
        if let Some(held) = self.held.get(owner) {
            return self.local_route(owner, held, shard);
        }
        let Some(home) = self.view.home(owner) else {
            return Route::Unavailable(Unavailability::NoHome);
        };
        if home.router == self.settings.router {
            return Route::Unavailable(Unavailability::NoHome);
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
            _ => Route::Unavailable(Unavailability::NoGrant),
        }
    }

    /// Returns the upstreams whose home is this router, each with the time until which
    /// its grant is proven to be valid.
    pub fn leases(&self) -> impl Iterator<Item = (&Upstream, Option<Instant>)> {
        let until = |held: &Held| held.granted.as_ref().map(|granted| granted.valid_until);
        let leases = self.held.iter();
        leases.map(move |(upstream, held)| (upstream, until(held)))
    }

    /// Returns the state for the status command of the operator.
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

    /// Applies rows and handles the changes that they cause.
    fn apply_rows(&mut self, rows: Vec<Row>) {
        for row in rows {
            let change = self.view.apply(row);
            self.on_change(change);
        }
    }

    fn on_change(&mut self, change: Change) {
        match change {
            Change::Nothing => {}
            Change::Home(upstream) => {
                self.on_home_changed(&upstream);
                self.actions.push(Action::RoutesChanged);
            }
            Change::Block(service, affected) => {
                for upstream in &affected {
                    self.update_gained_at(&service, upstream);
                    self.check_home(upstream);
                }
                self.check_unowned(&service);
                self.actions.push(Action::RoutesChanged);
            }
            Change::Invalid(row, fault) => self.on_invalid_row(&row, &fault.to_string()),
        }
    }

    /// Updates when an upstream of this router gained its shards, and forgets those that
    /// it lost.
    fn update_gained_at(&mut self, service: &Service, upstream: &Upstream) {
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.has_stale_grants = true;
        let owner = |shard: Shard| self.view.entry(service, shard)?.owner.as_ref();
        held.gained_at
            .retain(|shard, _| owner(*shard) == Some(upstream));
        held.shard_utilization
            .retain(|shard, _| owner(*shard) == Some(upstream));
        let known = held.gained_at.len();
        for shard in self.view.owned(upstream) {
            held.gained_at.entry(shard).or_insert(self.now);
        }
        if held.gained_at.len() > known {
            held.next_release_request = self.now;
        }
    }

    fn on_invalid_row(&mut self, row: &Row, fault: &str) {
        for held in self.held.values_mut() {
            held.has_stale_grants = true;
        }
        if let Some(crate::row::Key::Home(upstream)) = crate::row::Key::parse(&row.key) {
            self.on_home_changed(&upstream);
        }
        let what = DecisionKind::BadRow {
            key: row.key.as_ref().to_owned(),
            fault: fault.to_owned(),
        };
        self.record_decision(what, Reason::Invalid);
        self.actions.push(Action::RoutesChanged);
    }

    fn record_decision(&mut self, what: DecisionKind, reason: Reason) {
        self.actions.push(Action::Decide(Decision { what, reason }));
    }

    fn allocate_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }
}
