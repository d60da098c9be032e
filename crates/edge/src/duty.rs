//! The duty of granting keys: standing for it, carrying it out, giving it up.

mod drive;
mod leave;
mod retake;
mod stand;

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
use crate::seam::{Name, Platform, Row, Table};

/// Prefix of the rows that say who has a duty.
const DUTY: &str = "duty/";
/// Time between two looks of a keeper at what is due.
const KEEPER_TICK: Duration = Duration::from_millis(40);
/// Time between two reports to the keeper.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two questions to the store whether the duty is still ours.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a confirmation after which a keeper gives way to routers that hear
/// the store: two were missed. Without the store it can't change the map.
const GIVE_WAY_AFTER: Duration = Duration::from_secs(2);
/// Pause after a call to the store that failed.
const STORE_PAUSE: Duration = Duration::from_millis(150);
/// Keys that are kept for one report. More are sampled by leaving out the rest.
const MAX_REPORTED_KEYS: usize = 4_096;

/// Duties of all services whose keys are divided.
#[derive(Default)]
pub(crate) struct Duties {
    services: RefCell<IndexMap<Arc<str>, Seat>>,
    /// Services that had a keeper, and the latest era of the store in which one is known
    /// to have taken the duty.
    history: RefCell<IndexMap<Arc<str>, u64>>,
}

/// Answers of one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pace {
    pub(crate) upstream: Arc<str>,
    pub(crate) answers: u32,
    pub(crate) total_ms: u32,
}

/// What this router has to do with the duty of one service.
struct Seat {
    election: Election,
    keeper: Option<Leader>,
    /// Calls of the keeper that are under way.
    calls: Vec<AbortHandle>,
    keys: Vec<u16>,
    /// Answers that weren't told yet, or that the keeper has not used.
    paces: IndexMap<Arc<str>, (u32, u32)>,
    confirm_due: Instant,
    confirming: bool,
    standing: bool,
    wake: Rc<Notify>,
}

#[derive(Serialize)]
struct Term<'a> {
    service: &'a str,
    term: u64,
    router: &'a str,
    reason: &'a str,
}

#[derive(Serialize)]
struct Plan<'a> {
    service: &'a str,
    ranges: usize,
    moving: usize,
    version: u64,
    outcome: &'a str,
}

impl Duties {
    /// Counts a request for a key.
    pub(crate) fn record(&self, service: &Arc<str>, key: u16) {
        if let Some(seat) = self.services.borrow_mut().get_mut(service) {
            if let Some(keeper) = &mut seat.keeper {
                keeper.record([key]);
            } else if seat.keys.len() < MAX_REPORTED_KEYS {
                seat.keys.push(key);
            }
        }
    }

    /// Counts an answer of an upstream.
    pub(crate) fn record_pace(&self, service: &Arc<str>, upstream: &Arc<str>, span: Duration) {
        let pace = Pace {
            upstream: Arc::clone(upstream),
            answers: 1,
            total_ms: span.as_millis() as u32,
        };
        self.absorb_paces(service, &[pace]);
    }

    /// Counts answers that another router got.
    pub(crate) fn absorb_paces(&self, service: &Arc<str>, paces: &[Pace]) {
        let mut services = self.services.borrow_mut();
        let Some(seat) = services.get_mut(service) else {
            return;
        };
        for pace in paces {
            let sum = seat.paces.entry(Arc::clone(&pace.upstream)).or_default();
            sum.0 += pace.answers;
            sum.1 = sum.1.saturating_add(pace.total_ms);
        }
    }

    /// Takes the answers that were counted since the last time.
    pub(crate) fn take_paces(&self) -> Vec<(Arc<str>, Vec<Pace>)> {
        let mut services = self.services.borrow_mut();
        let asked = services
            .iter_mut()
            .filter(|(_, seat)| !seat.paces.is_empty());
        asked
            .map(|(name, seat)| (Arc::clone(name), seat.take_paces()))
            .collect()
    }

    /// Takes the keys that were asked for since the last time, with the keeper
    /// of each service.
    pub(crate) fn take_keys(&self) -> Vec<(Arc<str>, SocketAddr, Vec<u16>)> {
        let mut services = self.services.borrow_mut();
        let asked = services
            .iter_mut()
            .filter(|(_, seat)| !seat.keys.is_empty());
        let told = asked.filter_map(|(name, seat)| {
            let address = seat.election.leadership()?.0.address;
            Some((Arc::clone(name), address, std::mem::take(&mut seat.keys)))
        });
        told.collect()
    }

    /// Whether this router grants the keys of a service.
    pub(crate) fn is_keeper(&self, service: &str) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|seat| seat.keeper.is_some())
    }

    /// Whether this router tries to take the duty, or prepares to carry it out.
    pub(crate) fn is_standing(&self, service: &str) -> bool {
        let services = self.services.borrow();
        services.get(service).is_some_and(|seat| seat.standing)
    }

    /// Counts keys that another router was asked for.
    pub(crate) fn hear(&self, service: &Arc<str>, keys: &[u16]) {
        let mut services = self.services.borrow_mut();
        if let Some(keeper) = services
            .get_mut(service)
            .and_then(|seat| seat.keeper.as_mut())
        {
            keeper.record(keys.iter().copied());
        }
    }

    /// Whether this router is the keeper, and is to stay it.
    pub(crate) fn acts(&self, service: &Arc<str>) -> bool {
        let services = self.services.borrow();
        let keeper = services.get(service).and_then(|seat| seat.keeper.as_ref());
        let now = clock::now();
        keeper.is_some_and(|keeper| {
            keeper.has_authority(now) && keeper.since_confirmed(now) < GIVE_WAY_AFTER
        })
    }

    /// Lets all duties go on in a new era of the store.
    pub(crate) fn enter_era(&self, era: u64) {
        let now = clock::now();
        for seat in self.services.borrow_mut().values_mut() {
            seat.election.enter_era(era);
            seat.confirm_due = now;
            seat.wake.notify_one();
        }
    }

    /// Services whose keys this router grants.
    pub(crate) fn own(&self) -> Vec<Arc<str>> {
        let services = self.services.borrow();
        let own = services.iter().filter(|(_, seat)| seat.keeper.is_some());
        own.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Returns the services that have had a keeper, and in which era of the store.
    pub(crate) fn history(&self) -> Vec<(Arc<str>, u64)> {
        let history = self.history.borrow();
        history
            .iter()
            .map(|(name, era)| (Arc::clone(name), *era))
            .collect()
    }

    /// Gives the duty up to a later term. Returns whether this process certainly
    /// doesn't act on it any more.
    pub(crate) fn give_up(&self, service: &Arc<str>, term: u64) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(seat) = services.get_mut(service) else {
            return false;
        };
        let own = seat
            .election
            .leadership()
            .is_some_and(|(duty, _)| duty.term >= term);
        if seat.keeper.is_some() && seat.election.is_own() && own {
            return false;
        }
        seat.drop_keeper();
        true
    }
}

impl Seat {
    fn new(router: Arc<str>, incarnation: u64, now: Instant) -> Self {
        Self {
            election: Election::new(router, incarnation, now),
            keeper: None,
            calls: Vec::new(),
            keys: Vec::new(),
            paces: IndexMap::new(),
            confirm_due: now,
            confirming: false,
            standing: false,
            wake: Rc::new(Notify::new()),
        }
    }

    fn take_paces(&mut self) -> Vec<Pace> {
        let paces = std::mem::take(&mut self.paces).into_iter();
        let pace = |(upstream, (answers, total_ms))| Pace {
            upstream,
            answers,
            total_ms,
        };
        paces.map(pace).collect()
    }

    fn drop_keeper(&mut self) {
        if self.keeper.take().is_some() {
            self.calls.drain(..).for_each(|call| call.abort());
        }
    }
}

impl<P: Platform> Node<P> {
    /// Begins to tend the duty of a service, unless that is done already.
    pub(crate) fn tend(self: &Rc<Self>, service: &Arc<str>) {
        let mut services = self.duties.services.borrow_mut();
        if services.contains_key(service) {
            return;
        }
        let settings = &self.settings;
        let now = clock::now();
        let mut seat = Seat::new(Arc::clone(&settings.router), settings.incarnation, now);
        seat.election.enter_era(self.era.get());
        if let Some(era) = self.duties.history.borrow().get(service) {
            seat.election.record_history(*era);
        }
        services.insert(Arc::clone(service), seat);
        let node = Rc::clone(self);
        let service = Arc::clone(service);
        tokio::task::spawn_local(async move {
            // A relay brings the map with its news.
            if node.relay_to_follow().is_none()
                && let Some(Some((map, version))) = node.read_map(&service).await
            {
                node.learn_map(&service, map, version);
            }
            node.tend_forever(service).await;
        });
    }

    fn seat<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut Seat) -> T) -> Option<T> {
        self.duties.services.borrow_mut().get_mut(service).map(work)
    }

    fn keeper<T>(&self, service: &Arc<str>, work: impl FnOnce(&mut Leader) -> T) -> Option<T> {
        self.seat(service, |seat| seat.keeper.as_mut().map(work))
            .flatten()
    }

    /// Lets the task of a duty look at what is due.
    pub(crate) fn wake(&self, service: &Arc<str>) {
        self.seat(service, |seat| seat.wake.notify_one());
    }

    /// Takes what the store says of a duty.
    pub(crate) fn learn_duty(
        self: &Rc<Self>,
        service: &Arc<str>,
        duty: Option<(Leadership, Revision)>,
    ) {
        self.tend(service);
        if duty.is_some() {
            self.note_history(service, self.era.get());
        }
        let rank = self.rank(service);
        let line = duty
            .as_ref()
            .map(|(duty, _)| (duty.term, Arc::clone(&duty.router)));
        let lost = self.seat(service, |seat| {
            seat.election.learn(duty, rank, clock::now());
            let lost = seat.keeper.is_some() && !seat.election.is_own();
            if lost {
                seat.drop_keeper();
            }
            seat.wake.notify_one();
            lost
        });
        if let (Some(true), Some((term, router))) = (lost, line) {
            self.note_term(service, term, &router, "taken over by another router");
        }
    }

    /// Notes that a service had a keeper in an era of the store.
    pub(crate) fn note_history(&self, service: &Arc<str>, era: u64) {
        let mut history = self.duties.history.borrow_mut();
        let latest = history.entry(Arc::clone(service)).or_insert(era);
        *latest = era.max(*latest);
        self.seat(service, |seat| seat.election.record_history(era));
    }

    fn note_term(&self, service: &str, term: u64, router: &str, reason: &str) {
        let line = Term {
            service,
            term,
            router,
            reason,
        };
        self.log.note("keeper", &line);
    }

    async fn tend_forever(self: Rc<Self>, service: Arc<str>) {
        let Some(wake) = self.seat(&service, |seat| Rc::clone(&seat.wake)) else {
            return;
        };
        let mut report_due = clock::now();
        loop {
            let now = clock::now();
            let is_keeper = self.keeper(&service, |_| ()).is_some();
            let pause = if is_keeper {
                self.drive(&service, now);
                KEEPER_TICK
            } else {
                if now >= report_due {
                    report_due = now + REPORT_INTERVAL;
                    if self.relay_to_follow().is_none() {
                        tokio::task::spawn_local(Rc::clone(&self).report(Arc::clone(&service)));
                    }
                }
                self.stand_if_due(&service, now);
                (report_due - now).min(self.next_stand(&service, now))
            };
            // Whichever comes first, there is something to look at.
            let _ = timeout(pause, wake.notified()).await;
        }
    }

    /// Reads the map of a service; the inner `None` says that there is none.
    async fn read_map(self: &Rc<Self>, service: &Arc<str>) -> Option<Option<(Map, Revision)>> {
        let name = map_row(self.era.get(), service);
        let row = self.read_row(&name).await.ok()?;
        let Some(row) = row else {
            return Some(None);
        };
        let map = read_map(&row);
        if map.is_none() {
            self.log.warn(
                "map unreadable",
                &Plan {
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

    /// Tells the keeper which keys were asked for, and hears from it.
    pub(crate) async fn report(self: Rc<Self>, service: Arc<str>) {
        let taken = self.seat(&service, |seat| {
            let duty = seat.election.leadership().map(|(duty, _)| duty.clone());
            (duty, seat.take_paces())
        });
        let Some((Some(duty), paces)) = taken else {
            // Nobody has had the duty: a look at the store tells.
            self.find_duty(&service).await;
            return;
        };
        if duty.is_released || duty.router == self.settings.router {
            self.find_duty(&service).await;
            return;
        }
        let map_version = self.map_version(&service);
        let report = Report {
            service: Arc::clone(&service),
            paces,
            map_version,
            notices: self.relayed_notices(),
        };
        let (contact, heard) = self.peers.report(&duty, &report).await;
        if let Some(changes) = heard.changes {
            self.learn_changes(&service, changes);
        }
        if contact == Contact::Serving {
            self.learn_shares(&service, heard.admitted);
        }
        self.hear_departures(heard.departures);
        let rank = self.rank(&service);
        self.seat(&service, |seat| {
            let still = seat
                .election
                .leadership()
                .is_some_and(|(now, _)| now.term == duty.term);
            if still {
                seat.election.record_contact(contact, rank, clock::now());
            }
            seat.wake.notify_one();
        });
    }

    async fn find_duty(self: &Rc<Self>, service: &Arc<str>) {
        let era = self.era.get();
        if let Ok(row) = self.read_row(&duty_row(era, service)).await
            && era == self.era.get()
        {
            self.learn_duty(service, row.as_ref().and_then(read_duty));
        }
    }
}

/// Name of the row of a duty in an era of the store.
fn duty_row(era: u64, service: &str) -> Name {
    Name::new(Table::Routers, format!("{DUTY}{era}/{service}"))
}

/// Returns the era and the service of the row of a duty.
pub(crate) fn of_row(key: &str) -> Option<(u64, &str)> {
    let (era, service) = key.strip_prefix(DUTY)?.split_once('/')?;
    Some((era.parse().ok()?, service))
}

/// Name of the row of a map in an era of the store.
fn map_row(era: u64, service: &str) -> Name {
    Name::new(Table::Maps, format!("{era}/{service}"))
}

fn read_duty(row: &Row) -> Option<(Leadership, Revision)> {
    let duty = postcard::from_bytes(row.value.as_ref()?).ok()?;
    Some((duty, row.version))
}

fn read_map(row: &Row) -> Option<(Map, Revision)> {
    let map: Map = postcard::from_bytes(row.value.as_ref()?).ok()?;
    map.check().is_ok().then_some((map, row.version))
}
