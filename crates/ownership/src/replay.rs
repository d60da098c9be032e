//! Replay of recorded traces.
//!
//! A trace is text with one JSON object per line: the start of a router, an
//! event that reached it, the loss of it, a decision that it took, or what the
//! whole trace must come to. A replay feeds the events to machines, compares
//! the decisions with those stated, and measures imbalance, churn and
//! unavailable time.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router, Service, Upstream};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Action, Decision, Event, Machine, Reason, Route, Settings, What};

/// Start of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Name.
    pub router: Router,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Nonce of the process.
    pub nonce: String,
    /// Lease in milliseconds.
    pub lease_ms: u64,
    /// Heartbeat in milliseconds.
    pub heartbeat_ms: u64,
    /// Bound on the drift of clocks, in parts per million.
    pub drift_ppm: u32,
    /// Authority without the table in milliseconds.
    pub authority_ms: u64,
    /// Seed of random choices.
    pub seed: u64,
}

/// Event that reached a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Router.
    pub router: Router,
    /// Time in microseconds.
    pub at_us: u64,
    /// Event.
    pub event: Event,
}

/// Decision that a router takes on the event before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stated {
    /// Router.
    pub router: Router,
    /// Decision.
    pub decision: Decision,
}

/// Bounds that the whole trace keeps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Least number of shards that had to move.
    pub least_moves: u32,
    /// Largest imbalance, as a ratio of maximum to mean.
    pub imbalance: f64,
    /// Largest number of moved shards over the least number.
    pub churn: f64,
    /// Longest time that one shard was unavailable, in milliseconds, after all
    /// shards were available for the first time.
    pub worst_unavailable_ms: u64,
}

/// Line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// A router starts, or starts again.
    Start(Start),
    /// An event reaches a router.
    Event(Arrival),
    /// A router is lost.
    Stop(Router),
    /// The event before leads to a decision.
    Decided(Stated),
    /// The whole trace keeps these bounds.
    Bounds(Bounds),
}

/// Measures of a trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Maximum over mean of the busy time of upstreams, the worst of all
    /// services. Without recorded load, of the number of shards at the end.
    pub imbalance: f64,
    /// Shards that moved, not counting first assignments.
    pub moves: u32,
    /// Moved shards over the least number that had to move.
    pub churn: f64,
    /// Sum of the unavailable times of all shards.
    pub unavailable: Duration,
    /// Longest time that one shard was unavailable.
    pub worst_unavailable: Duration,
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Decisions in order.
    pub decisions: Vec<Stated>,
    /// Measures.
    pub measures: Measures,
}

/// Error of a replay.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {reason}")]
pub struct Fault {
    line: usize,
    reason: String,
}

/// Replays a trace.
///
/// # Errors
///
/// Fails if a line can't be read, a decision differs from the one stated, or a
/// bound isn't kept. The error names the line, the value and the remedy.
///
/// ```
/// use eelgrassrock_ownership::replay;
///
/// let outcome = replay::run("")?;
/// assert!(outcome.decisions.is_empty());
/// # Ok::<(), replay::Fault>(())
/// ```
pub fn run(trace: &str) -> Result<Outcome, Fault> {
    let mut replay = Replay::default();
    for (index, text) in trace.lines().enumerate() {
        let fault = |reason| Fault {
            line: index + 1,
            reason,
        };
        let line = serde_json::from_str(text).map_err(|error| {
            fault(format!(
                "`{text}` isn't a line of a trace: {error}; record the trace again"
            ))
        })?;
        replay.take(line).map_err(fault)?;
    }
    let lines = trace.lines().count();
    let fault = |reason| Fault {
        line: lines,
        reason,
    };
    replay.expect_none_due().map_err(fault)?;
    Ok(Outcome {
        measures: replay.measures(),
        decisions: replay.decisions,
    })
}

#[derive(Default)]
struct Replay {
    machines: IndexMap<Router, Machine>,
    fleet: Fleet,
    now: Instant,
    due: VecDeque<Stated>,
    decisions: Vec<Stated>,
    states_decisions: bool,
    busy: HashMap<Upstream, Duration>,
    moves: u32,
    least_moves: u32,
    /// Shards without upstream, and since when. `None` before all were served.
    absent: Option<HashMap<(Service, Shard), Instant>>,
    unavailable: Duration,
    worst_unavailable: Duration,
}

impl Replay {
    fn take(&mut self, line: Line) -> Result<(), String> {
        match line {
            Line::Start(start) => {
                self.expect_none_due()?;
                let machine = Machine::new(Settings::from(&start));
                self.machines.insert(start.router, machine);
            }
            Line::Stop(router) => {
                self.expect_none_due()?;
                self.machines.swap_remove(&router);
            }
            Line::Event(arrival) => {
                self.expect_none_due()?;
                self.arrive(arrival)?;
            }
            Line::Decided(stated) => self.compare(&stated)?,
            Line::Bounds(bounds) => {
                self.expect_none_due()?;
                self.check(&bounds)?;
            }
        }
        Ok(())
    }

    /// Fails if a decision was taken that the trace doesn't state.
    fn expect_none_due(&mut self) -> Result<(), String> {
        match self.due.pop_front() {
            Some(decided) if self.states_decisions => Err(format!(
                "{} decided {:?}, which the trace doesn't state; \
                 check the change, or record the trace again",
                decided.router, decided.decision
            )),
            _ => {
                self.due.clear();
                Ok(())
            }
        }
    }

    fn compare(&mut self, stated: &Stated) -> Result<(), String> {
        self.states_decisions = true;
        match self.due.pop_front() {
            Some(decided) if decided == *stated => Ok(()),
            decided => Err(format!(
                "the trace states {stated:?}, the machine decided {decided:?}; \
                 check the change, or record the trace again"
            )),
        }
    }

    fn arrive(&mut self, arrival: Arrival) -> Result<(), String> {
        let Some(machine) = self.machines.get_mut(&arrival.router) else {
            return Err(format!(
                "router `{}` wasn't started; add its start",
                arrival.router
            ));
        };
        let now = Instant::from_micros(arrival.at_us);
        self.now = self.now.max(now);
        match &arrival.event {
            Event::Fleet(fleet) => self.fleet = fleet.clone(),
            Event::Load(loads) => {
                for load in loads {
                    let busy: Duration = load.shards.iter().map(|(_, busy)| *busy).sum();
                    *self.busy.entry(load.upstream.clone()).or_default() += busy;
                }
            }
            _ => {}
        }
        for action in machine.step(now, arrival.event) {
            if let Action::Decide(decision) = action {
                self.count(&decision);
                let router = arrival.router.clone();
                let stated = Stated { router, decision };
                self.decisions.push(stated.clone());
                self.due.push_back(stated);
            }
        }
        self.watch();
        Ok(())
    }

    fn count(&mut self, decision: &Decision) {
        if let What::Assigned { count, .. } = &decision.what
            && decision.reason != Reason::Unowned
        {
            self.moves += count;
        }
    }

    /// Notes which shards no router can route to an upstream.
    fn watch(&mut self) {
        let shards = self.fleet.services.iter().flat_map(|(name, service)| {
            let shards = service.shards.shards();
            shards.map(|shard| (name.clone(), shard))
        });
        let absent = shards.filter(|(service, shard)| !self.is_served(service, *shard));
        let absent: Vec<_> = absent.collect();
        if self.absent.is_none() && absent.is_empty() && !self.fleet.services.is_empty() {
            self.absent = Some(HashMap::new());
        }
        let Some(known) = &mut self.absent else {
            return;
        };
        for (key, since) in std::mem::take(known) {
            if absent.contains(&key) {
                known.insert(key, since);
            } else {
                self.unavailable += self.now - since;
                self.worst_unavailable = self.worst_unavailable.max(self.now - since);
            }
        }
        for key in absent {
            known.entry(key).or_insert(self.now);
        }
    }

    fn is_served(&self, service: &Service, shard: Shard) -> bool {
        let routes = self.machines.values().map(|it| it.route(service, shard));
        let mut valid = routes.filter(|route| match route {
            Route::Local { valid_until, .. } => *valid_until > self.now,
            _ => false,
        });
        valid.next().is_some()
    }

    fn measures(&self) -> Measures {
        let open = self.absent.iter().flatten();
        let open: Vec<Duration> = open.map(|(_, since)| self.now - *since).collect();
        let worst = open.iter().copied().max().unwrap_or_default();
        Measures {
            imbalance: self.imbalance(),
            moves: self.moves,
            churn: f64::from(self.moves) / f64::from(self.least_moves.max(1)),
            unavailable: self.unavailable + open.iter().sum::<Duration>(),
            worst_unavailable: self.worst_unavailable.max(worst),
        }
    }

    fn imbalance(&self) -> f64 {
        let services = self.fleet.services.keys();
        let ratios = services.map(|service| {
            let upstreams = self.fleet.upstreams.iter();
            let members = upstreams.filter(|(_, it)| it.service == *service);
            let loads: Vec<f64> = members.map(|(name, _)| self.load(name)).collect();
            let sum: f64 = loads.iter().sum();
            let most = loads.iter().copied().fold(0.0, f64::max);
            most * loads.len() as f64 / sum
        });
        ratios.filter(|it| it.is_finite()).fold(1.0, f64::max)
    }

    fn load(&self, upstream: &Upstream) -> f64 {
        if let Some(busy) = self.busy.get(upstream) {
            return busy.as_secs_f64();
        }
        if !self.busy.is_empty() {
            return 0.0;
        }
        let counts = self.machines.values().map(|it| {
            let assignments = it.snapshot().assignments;
            assignments.get(upstream).copied().unwrap_or(0)
        });
        counts.max().unwrap_or(0) as f64
    }

    fn check(&mut self, bounds: &Bounds) -> Result<(), String> {
        self.least_moves = bounds.least_moves;
        let measures = self.measures();
        let worst_ms = measures.worst_unavailable.as_millis();
        let kept = measures.imbalance <= bounds.imbalance
            && measures.churn <= bounds.churn
            && worst_ms <= u128::from(bounds.worst_unavailable_ms);
        if kept {
            return Ok(());
        }
        Err(format!(
            "{measures:?} exceed {bounds:?}; check the change that raised them"
        ))
    }
}

impl From<&Start> for Settings {
    fn from(start: &Start) -> Self {
        let router = start.router.clone();
        let data_centre = start.data_centre.clone();
        Settings::builder(router, start.address, data_centre, &start.nonce)
            .lease(Duration::from_millis(start.lease_ms))
            .heartbeat(Duration::from_millis(start.heartbeat_ms))
            .drift_ppm(start.drift_ppm)
            .authority(Duration::from_millis(start.authority_ms))
            .seed(start.seed)
            .build()
    }
}
