//! Replay of recorded traces.
//!
//! A trace is text with one JSON object per line: the start of a router, an event that a
//! router received, the loss of a router, a decision, or the bounds of the whole trace. A
//! replay passes the events to machines, compares the decisions with those in the trace,
//! and measures imbalance, churn and unavailable time.

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

use crate::{Action, Decision, DecisionKind, Event, Machine, Reason, Route, Settings};

/// Start of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Name of the router.
    pub router: Router,
    /// Address at which other routers reach it.
    pub address: SocketAddr,
    /// Data centre of the router.
    pub data_centre: DataCentre,
    /// Nonce of the process, unique for each start.
    pub nonce: String,
    /// Duration of a lease in milliseconds.
    pub lease_ms: u64,
    /// Interval of heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// Bound on the drift of clocks, in parts per million.
    pub drift_ppm: u32,
    /// Time for which a home may give orders without contact to the table, in
    /// milliseconds.
    pub authority_ms: u64,
    /// Seed of random choices.
    pub seed: u64,
}

/// Event that a router received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Router that received the event.
    pub router: Router,
    /// Time on the clock of the router, in microseconds.
    pub at_us: u64,
    /// Event that was received.
    pub event: Event,
}

/// Decision of a router on the preceding event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stated {
    /// Router that decided.
    pub router: Router,
    /// Decision with its reason.
    pub decision: Decision,
}

/// Bounds on the measures of the whole trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bounds {
    /// Least number of shards that had to move.
    pub least_moves: u32,
    /// Largest allowed imbalance, as a ratio of maximum to mean.
    pub imbalance: f64,
    /// Largest allowed ratio of moved shards to `least_moves`.
    pub churn: f64,
    /// Longest allowed time for which one shard is unavailable, in milliseconds. Counts
    /// from the time when all shards were available for the first time.
    pub worst_unavailable_ms: u64,
}

/// Line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// A router starts or restarts.
    Start(Start),
    /// A router receives an event.
    Event(Arrival),
    /// A router is lost.
    Stop(Router),
    /// The preceding event leads to a decision.
    Decided(Stated),
    /// The measures of the trace up to this line are within these bounds.
    Bounds(Bounds),
}

/// Measures of a trace.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Ratio of maximum to mean busy time of the upstreams of a service, for the service
    /// where it is largest. Without recorded load, the ratio of the numbers of shards at
    /// the end.
    pub imbalance: f64,
    /// Number of moved shards, without first assignments.
    pub moves: u32,
    /// Ratio of moved shards to the least number that had to move.
    pub churn: f64,
    /// Sum of the unavailable times of all shards.
    pub unavailable: Duration,
    /// Longest time for which one shard was unavailable.
    pub worst_unavailable: Duration,
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// All decisions, in order.
    pub decisions: Vec<Stated>,
    /// Measures of the whole trace.
    pub measures: Measures,
}

/// Error of a replay, with the line of the trace that caused it.
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
/// Fails if a line can't be parsed, a decision differs from the one in the trace, or a measure
/// exceeds its bound. The error names the line, the value and what to do.
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
        replay.process_line(line).map_err(fault)?;
    }
    let lines = trace.lines().count();
    let fault = |reason| Fault {
        line: lines,
        reason,
    };
    replay.expect_none_unmatched().map_err(fault)?;
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
    unmatched: VecDeque<Stated>,
    decisions: Vec<Stated>,
    has_stated_decisions: bool,
    busy: HashMap<Upstream, Duration>,
    moves: u32,
    least_moves: u32,
    /// Shards that no upstream serves, and since when. `None` until all shards were
    /// served for the first time.
    unavailable_since: Option<HashMap<(Service, Shard), Instant>>,
    unavailable: Duration,
    worst_unavailable: Duration,
}

impl Replay {
    fn process_line(&mut self, line: Line) -> Result<(), String> {
        match line {
            Line::Start(start) => {
                self.expect_none_unmatched()?;
                let machine = Machine::new(Settings::from(&start));
                self.machines.insert(start.router, machine);
            }
            Line::Stop(router) => {
                self.expect_none_unmatched()?;
                self.machines.swap_remove(&router);
            }
            Line::Event(arrival) => {
                self.expect_none_unmatched()?;
                self.process_event(arrival)?;
            }
            Line::Decided(stated) => self.compare_stated(&stated)?,
            Line::Bounds(bounds) => {
                self.expect_none_unmatched()?;
                self.check_bounds(&bounds)?;
            }
        }
        Ok(())
    }

    /// Fails if a machine took a decision that the trace doesn't state.
    fn expect_none_unmatched(&mut self) -> Result<(), String> {
        match self.unmatched.pop_front() {
            Some(decided) if self.has_stated_decisions => Err(format!(
                "{} decided {:?}, which the trace doesn't state; \
                 check the change, or record the trace again",
                decided.router, decided.decision
            )),
            _ => {
                self.unmatched.clear();
                Ok(())
            }
        }
    }

    fn compare_stated(&mut self, stated: &Stated) -> Result<(), String> {
        self.has_stated_decisions = true;
        match self.unmatched.pop_front() {
            Some(decided) if decided == *stated => Ok(()),
            decided => Err(format!(
                "the trace states {stated:?}, the machine decided {decided:?}; \
                 check the change, or record the trace again"
            )),
        }
    }

    fn process_event(&mut self, arrival: Arrival) -> Result<(), String> {
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
                self.count_moves(&decision);
                let router = arrival.router.clone();
                let stated = Stated { router, decision };
                self.decisions.push(stated.clone());
                self.unmatched.push_back(stated);
            }
        }
        self.update_unavailable();
        Ok(())
    }

    fn count_moves(&mut self, decision: &Decision) {
        if let DecisionKind::Assigned { count, .. } = &decision.what
            && decision.reason != Reason::Unowned
        {
            self.moves += count;
        }
    }

    /// Updates the set of shards that no router can route to an upstream.
    fn update_unavailable(&mut self) {
        let shards = self.fleet.services.iter().flat_map(|(name, service)| {
            let shards = service.shards.shards();
            shards.map(|shard| (name.clone(), shard))
        });
        let unserved = shards.filter(|(service, shard)| !self.is_served(service, *shard));
        let unserved: Vec<_> = unserved.collect();
        if self.unavailable_since.is_none()
            && unserved.is_empty()
            && !self.fleet.services.is_empty()
        {
            self.unavailable_since = Some(HashMap::new());
        }
        let Some(known) = &mut self.unavailable_since else {
            return;
        };
        for (key, since) in std::mem::take(known) {
            if unserved.contains(&key) {
                known.insert(key, since);
            } else {
                self.unavailable += self.now - since;
                self.worst_unavailable = self.worst_unavailable.max(self.now - since);
            }
        }
        for key in unserved {
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
        let open = self.unavailable_since.iter().flatten();
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
            let loads: Vec<f64> = members.map(|(name, _)| self.load_of(name)).collect();
            let sum: f64 = loads.iter().sum();
            let most = loads.iter().copied().fold(0.0, f64::max);
            most * loads.len() as f64 / sum
        });
        ratios.filter(|it| it.is_finite()).fold(1.0, f64::max)
    }

    fn load_of(&self, upstream: &Upstream) -> f64 {
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

    fn check_bounds(&mut self, bounds: &Bounds) -> Result<(), String> {
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
