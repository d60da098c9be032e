//! Leadership of a service: election, granting of keys, and resignation. The leader of a service
//! grants its keys to upstreams.

mod campaign;
mod lead;
mod reclaim;
mod resign;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::election::{Contact, Election, Leadership};
use eelgrassrock_ranges::leader::Leader;
use eelgrassrock_ranges::map::Map;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::clock;
use crate::node::Node;
use crate::peer::Report;
use crate::platform::{Name, Platform, Row, Table};
use crate::settings::Settings;

/// Prefix of the keys of leadership rows.
const LEADERSHIP_PREFIX: &str = "duty/";
/// Interval at which a leader checks for due actions.
const LEADER_TICK: Duration = Duration::from_millis(40);
/// Interval between reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which a leader confirms at the store that it still leads.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a confirmation after which a leader lets routers with store contact take over. It
/// amounts to two missed confirmations. Without the store, a leader can't change the map.
const MAX_UNCONFIRMED_TIME: Duration = Duration::from_secs(2);
/// Pause after a failed call to the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of keys in one report. Further keys are left out, so that the report becomes a
/// sample.
const MAX_REPORTED_KEYS: usize = 4_096;

/// This router's part in the leadership of all services with divided keys.
#[derive(Default)]
pub(crate) struct Leaderships {
    services: RefCell<IndexMap<Arc<str>, Participant>>,
    /// Services that have had a leader, and the highest era of the store in which one is known to
    /// have taken leadership.
    history: RefCell<IndexMap<Arc<str>, u64>>,
}

/// Number and total duration of the answers of one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ServiceTime {
    pub(crate) upstream: Arc<str>,
    pub(crate) answers: u32,
    pub(crate) total_ms: u32,
}

/// This router's part in the leadership of one service, as the leader or as a possible candidate.
struct Participant {
    election: Election,
    leader: Option<Leader>,
    /// Calls of the leader that are under way.
    calls: Vec<AbortHandle>,
    keys: Vec<u16>,
    /// Counts and total durations in milliseconds of answers that were not yet reported, or not yet
    /// used by the leader.
    service_times: IndexMap<Arc<str>, (u32, u32)>,
    confirm_due: Instant,
    is_confirming: bool,
    is_campaigning: bool,
    /// When another router last reported answers of upstreams.
    answered_elsewhere_at: Option<Instant>,
    /// Time until which this router doesn't run, because it resigned without a path to upstreams.
    barred_until: Option<Instant>,
    wake: Rc<Notify>,
}

#[derive(Serialize)]
struct LeaderLine<'a> {
    service: &'a str,
    term: u64,
    router: &'a str,
    reason: &'a str,
}

#[derive(Serialize)]
struct MapLine<'a> {
    service: &'a str,
    ranges: usize,
    moving: usize,
    version: u64,
    outcome: &'a str,
}

impl Leaderships {
    /// Records a request for a key.
    pub(crate) fn record_key(&self, service: &Arc<str>, key: u16) {
        if let Some(participant) = self.services.borrow_mut().get_mut(service) {
            if let Some(leader) = &mut participant.leader {
                leader.record([key]);
            } else if participant.keys.len() < MAX_REPORTED_KEYS {
                participant.keys.push(key);
            }
        }
    }

    /// Records an answer of an upstream.
    pub(crate) fn record_service_time(
        &self,
        service: &Arc<str>,
        upstream: &Arc<str>,
        span: Duration,
    ) {
        let service_time = ServiceTime {
            upstream: Arc::clone(upstream),
            answers: 1,
            total_ms: span.as_millis() as u32,
        };
        self.merge_service_times(service, &[service_time]);
    }

    /// Merges service times that another router has reported.
    pub(crate) fn merge_reported_times(&self, service: &Arc<str>, service_times: &[ServiceTime]) {
        if let Some(participant) = self.services.borrow_mut().get_mut(service)
            && service_times.iter().any(|time| time.answers > 0)
        {
            participant.answered_elsewhere_at = Some(clock::now());
        }
        self.merge_service_times(service, service_times);
    }

    fn merge_service_times(&self, service: &Arc<str>, service_times: &[ServiceTime]) {
        let mut services = self.services.borrow_mut();
        let Some(participant) = services.get_mut(service) else {
            return;
        };
        for service_time in service_times {
            let sum = participant
                .service_times
                .entry(Arc::clone(&service_time.upstream))
                .or_default();
            sum.0 += service_time.answers;
            sum.1 = sum.1.saturating_add(service_time.total_ms);
        }
    }

    /// Takes the service times recorded since the last call.
    pub(crate) fn take_service_times(&self) -> Vec<(Arc<str>, Vec<ServiceTime>)> {
        let mut services = self.services.borrow_mut();
        let requested = services
            .iter_mut()
            .filter(|(_, participant)| !participant.service_times.is_empty());
        requested
            .map(|(name, participant)| (Arc::clone(name), participant.take_service_times()))
            .collect()
    }

    /// Takes the keys requested since the last call, with the leader's address for each service.
    pub(crate) fn take_keys(&self) -> Vec<(Arc<str>, SocketAddr, Vec<u16>)> {
        let mut services = self.services.borrow_mut();
        let requested = services
            .iter_mut()
            .filter(|(_, participant)| !participant.keys.is_empty());
        let taken = requested.filter_map(|(name, participant)| {
            let address = participant.election.leadership()?.0.address;
            Some((
                Arc::clone(name),
                address,
                std::mem::take(&mut participant.keys),
            ))
        });
        taken.collect()
    }

    /// Whether this router leads a service.
    pub(crate) fn is_leader(&self, service: &str) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|participant| participant.leader.is_some())
    }

    /// Whether this router is trying to take leadership, or preparing to lead.
    pub(crate) fn is_campaigning(&self, service: &str) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|participant| participant.is_campaigning)
    }

    /// Records keys that were requested at another router.
    pub(crate) fn record_remote_keys(&self, service: &Arc<str>, keys: &[u16]) {
        let mut services = self.services.borrow_mut();
        if let Some(leader) = services
            .get_mut(service)
            .and_then(|participant| participant.leader.as_mut())
        {
            leader.record(keys.iter().copied());
        }
    }

    /// Whether this router leads, has authority, and has recently confirmed its leadership.
    pub(crate) fn is_active_leader(&self, service: &Arc<str>) -> bool {
        let services = self.services.borrow();
        let leader = services
            .get(service)
            .and_then(|participant| participant.leader.as_ref());
        let now = clock::now();
        leader.is_some_and(|leader| {
            leader.has_authority(now) && leader.since_confirmed(now) < MAX_UNCONFIRMED_TIME
        })
    }

    /// Continues the leadership of all services in a new era of the store.
    pub(crate) fn enter_era(&self, era: u64) {
        let now = clock::now();
        for participant in self.services.borrow_mut().values_mut() {
            participant.election.enter_era(era);
            participant.confirm_due = now;
            participant.wake.notify_one();
        }
    }

    /// Returns the services that this router leads.
    pub(crate) fn led_services(&self) -> Vec<Arc<str>> {
        let services = self.services.borrow();
        let own = services
            .iter()
            .filter(|(_, participant)| participant.leader.is_some());
        own.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Returns the services that have had a leader, and in which era of the store.
    pub(crate) fn history(&self) -> Vec<(Arc<str>, u64)> {
        let history = self.history.borrow();
        history
            .iter()
            .map(|(name, era)| (Arc::clone(name), *era))
            .collect()
    }

    /// Steps down in favour of a later term. Returns whether this process has certainly stopped
    /// acting as the leader.
    pub(crate) fn step_down(&self, service: &Arc<str>, term: u64) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(participant) = services.get_mut(service) else {
            return false;
        };
        let own = participant
            .election
            .leadership()
            .is_some_and(|(leadership, _)| leadership.term >= term);
        if participant.leader.is_some() && participant.election.is_own() && own {
            return false;
        }
        participant.drop_leader();
        true
    }
}

impl Participant {
    fn new(settings: &Settings, now: Instant) -> Self {
        let router = Arc::clone(&settings.router);
        let is_first_start = settings.is_first_start;
        Self {
            election: Election::new(router, settings.incarnation, is_first_start, now),
            leader: None,
            calls: Vec::new(),
            keys: Vec::new(),
            service_times: IndexMap::new(),
            confirm_due: now,
            is_confirming: false,
            is_campaigning: false,
            answered_elsewhere_at: None,
            barred_until: None,
            wake: Rc::new(Notify::new()),
        }
    }

    fn take_service_times(&mut self) -> Vec<ServiceTime> {
        let service_times = std::mem::take(&mut self.service_times).into_iter();
        let service_time = |(upstream, (answers, total_ms))| ServiceTime {
            upstream,
            answers,
            total_ms,
        };
        service_times.map(service_time).collect()
    }

    fn drop_leader(&mut self) {
        if self.leader.take().is_some() {
            self.calls.drain(..).for_each(|call| call.abort());
        }
    }
}

impl<P: Platform> Node<P> {
    /// Takes part in the leadership of a service, unless it does already.
    pub(crate) fn join_election(self: &Rc<Self>, service: &Arc<str>) {
        let mut services = self.leaderships.services.borrow_mut();
        if services.contains_key(service) {
            return;
        }
        let mut participant = Participant::new(&self.settings, clock::now());
        participant.election.enter_era(self.first_era.get());
        participant.election.enter_era(self.era.get());
        if let Some(era) = self.leaderships.history.borrow().get(service) {
            participant.election.record_history(*era);
        }
        services.insert(Arc::clone(service), participant);
        let node = Rc::clone(self);
        let service = Arc::clone(service);
        tokio::task::spawn_local(async move {
            // A relay supplies the map with its updates.
            if node.relay_to_follow().is_none()
                && let Some(Some((map, version))) = node.read_map(&service).await
            {
                node.learn_map(&service, map, version);
            }
            node.run_participant(service).await;
        });
    }

    fn participant<T>(
        &self,
        service: &Arc<str>,
        work: impl FnOnce(&mut Participant) -> T,
    ) -> Option<T> {
        self.leaderships
            .services
            .borrow_mut()
            .get_mut(service)
            .map(work)
    }

    fn leader<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut Leader) -> T) -> Option<T> {
        self.participant(service, |participant| participant.leader.as_mut().map(work))
            .flatten()
    }

    /// Wakes the leadership task of a service to check for due actions.
    pub(crate) fn wake(&self, service: &Arc<str>) {
        self.participant(service, |participant| participant.wake.notify_one());
    }

    /// Applies the leadership row of a service from the store.
    pub(crate) fn learn_leadership(
        self: &Rc<Self>,
        service: &Arc<str>,
        leadership: Option<(Leadership, Revision)>,
    ) {
        self.join_election(service);
        if leadership.is_some() {
            self.record_history(service, self.era.get());
        }
        let rank = self.rank(service);
        let line = leadership
            .as_ref()
            .map(|(leadership, _)| (leadership.term, Arc::clone(&leadership.router)));
        let lost = self.participant(service, |participant| {
            participant.election.learn(leadership, rank, clock::now());
            let lost = participant.leader.is_some() && !participant.election.is_own();
            if lost {
                participant.drop_leader();
            }
            participant.wake.notify_one();
            lost
        });
        if let (Some(true), Some((term, router))) = (lost, line) {
            self.log_term(service, term, &router, "taken over by another router");
        }
    }

    /// Records that a service had a leader in an era of the store.
    pub(crate) fn record_history(&self, service: &Arc<str>, era: u64) {
        let mut history = self.leaderships.history.borrow_mut();
        let latest = history.entry(Arc::clone(service)).or_insert(era);
        *latest = era.max(*latest);
        self.participant(service, |participant| {
            participant.election.record_history(era)
        });
    }

    fn log_term(&self, service: &str, term: u64, router: &str, reason: &str) {
        let line = LeaderLine {
            service,
            term,
            router,
            reason,
        };
        self.log.info("keeper", &line);
    }

    async fn run_participant(self: Rc<Self>, service: Arc<str>) {
        let Some(wake) = self.participant(&service, |participant| Rc::clone(&participant.wake))
        else {
            return;
        };
        let mut report_due = clock::now();
        loop {
            let now = clock::now();
            let is_leader = self.leader(&service, |_| ()).is_some();
            let pause = if is_leader {
                self.lead(&service, now);
                LEADER_TICK
            } else {
                if now >= report_due {
                    report_due = now + REPORT_INTERVAL;
                    if self.relay_to_follow().is_none() {
                        tokio::task::spawn_local(Rc::clone(&self).report(Arc::clone(&service)));
                    }
                }
                self.campaign_if_due(&service, now);
                (report_due - now).min(self.campaign_delay(&service, now))
            };
            // A timeout and a notification are handled in the same way.
            let _ = timeout(pause, wake.notified()).await;
        }
    }

    /// Reads the map of a service. The outer `None` means that it can't be read, the inner one that
    /// there is no map.
    async fn read_map(self: &Rc<Self>, service: &Arc<str>) -> Option<Option<(Map, Revision)>> {
        let name = map_row(self.era.get(), service);
        let row = self.read_row(&name).await.ok()?;
        let Some(row) = row else {
            return Some(None);
        };
        let map = decode_map(&row);
        if map.is_none() {
            self.log.warn(
                "map unreadable",
                &MapLine {
                    service,
                    ranges: 0,
                    moving: 0,
                    version: row.version.number,
                    outcome: "unreadable",
                },
            );
        }
        map.map(Some)
    }

    /// Reports service times and notices to the leader, and applies its response.
    pub(crate) async fn report(self: Rc<Self>, service: Arc<str>) {
        let taken = self.participant(&service, |participant| {
            let leadership = participant
                .election
                .leadership()
                .map(|(leadership, _)| leadership.clone());
            (leadership, participant.take_service_times())
        });
        let Some((Some(leadership), service_times)) = taken else {
            // No leader is known, so it is looked up in the store.
            self.refresh_leadership(&service).await;
            return;
        };
        if leadership.is_released || leadership.router == self.settings.router {
            self.refresh_leadership(&service).await;
            return;
        }
        let map_version = self.map_version(&service);
        let report = Report {
            service: Arc::clone(&service),
            service_times,
            map_version,
            notices: self.relayed_notices(),
        };
        let (contact, response) = self.peers.report(&leadership, &report).await;
        if let Some(changes) = response.changes {
            self.learn_changes(&service, changes);
        }
        if contact == Contact::Serving {
            self.set_admitted_shares(&service, response.admitted);
        }
        self.merge_departures(response.departures);
        self.merge_observations(&response.observations);
        let rank = self.rank(&service);
        self.participant(&service, |participant| {
            let is_same_term = participant
                .election
                .leadership()
                .is_some_and(|(now, _)| now.term == leadership.term);
            if is_same_term {
                participant
                    .election
                    .record_contact(contact, rank, clock::now());
            }
            participant.wake.notify_one();
        });
    }

    async fn refresh_leadership(self: &Rc<Self>, service: &Arc<str>) {
        let era = self.era.get();
        if let Ok(row) = self.read_row(&leadership_row(era, service)).await
            && era == self.era.get()
        {
            self.learn_leadership(service, row.as_ref().and_then(decode_leadership));
        }
    }
}

/// Returns the name of the leadership row of a service in an era of the store.
fn leadership_row(era: u64, service: &str) -> Name {
    Name::new(
        Table::Routers,
        format!("{LEADERSHIP_PREFIX}{era}/{service}"),
    )
}

/// Returns the era and the service from the key of a leadership row.
pub(crate) fn parse_row_key(key: &str) -> Option<(u64, &str)> {
    let (era, service) = key.strip_prefix(LEADERSHIP_PREFIX)?.split_once('/')?;
    Some((era.parse().ok()?, service))
}

/// Returns the name of the row of a map in an era of the store.
fn map_row(era: u64, service: &str) -> Name {
    Name::new(Table::Maps, format!("{era}/{service}"))
}

fn decode_leadership(row: &Row) -> Option<(Leadership, Revision)> {
    let leadership = postcard::from_bytes(row.value.as_ref()?).ok()?;
    Some((leadership, row.version))
}

fn decode_map(row: &Row) -> Option<(Map, Revision)> {
    let map: Map = postcard::from_bytes(row.value.as_ref()?).ok()?;
    map.check().is_ok().then_some((map, row.version))
}
