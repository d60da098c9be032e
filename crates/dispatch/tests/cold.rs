//! Limits of cold upstreams, kept by all routers together.
//!
//! A fleet of routers decides without a network. Permits take a few milliseconds, and lists of
//! routers reach each router with a delay of its own.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::directory::WarmUp;
use eelgrassrock_dispatch::evacuation::{Evacuations, Mark};
use eelgrassrock_dispatch::limit::{Bucket, Limit, Ownership, Tolerance};
use eelgrassrock_dispatch::roster::Roster;
use eelgrassrock_dispatch::service::cold::{Permit, Source};
use eelgrassrock_dispatch::service::{Reason, Refusal, Report, Request, Service, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::{FAR, NEAR, at, limits, request, sent_to, span, upstream};

const TOLERANCE: Tolerance = Tolerance {
    factor: 1.5,
    extra: 8.0,
};
const LIMIT_PER_S: f64 = 7.6;
/// Time over which a cold upstream counts requests.
const WINDOW_MS: u64 = 1_000;
const STEP_MS: u64 = 5;
/// Time that the upstream takes for a request.
const SERVICE_MS: u64 = 100;
/// Time of a question to an owner and its answer.
const PERMIT_MS: u64 = 10;
/// Time after the start of a fleet until its lists have settled.
const SETTLED_MS: u64 = 3_000;

fn warm_up(per_s: f64, time: Duration) -> WarmUp {
    WarmUp {
        time,
        limit: Limit::per_s(per_s).unwrap(),
    }
}

/// Returns the largest number of requests in a window.
fn most_in_a_window(sent_ms: &[u64]) -> usize {
    let ends = sent_ms.iter().enumerate();
    let counts = ends
        .map(|(index, end)| index + 1 - sent_ms.partition_point(|sent| sent + WINDOW_MS < *end));
    counts.max().unwrap_or(0)
}

fn router_name(index: usize) -> Arc<str> {
    format!("router-{index}").into()
}

fn place(index: usize) -> Arc<str> {
    [NEAR, FAR, "dc-c"][index % 3].into()
}

/// Router of the fleet.
struct Router {
    service: Service,
    roster: Arc<Roster>,
    /// Routers that it lists.
    listed: Vec<usize>,
    /// Requests that wait, by ticket.
    waiting: HashMap<u64, Request>,
}

/// Something that happens later.
enum Event {
    /// A router has the answer to its question.
    Told(usize, Arc<Upstream>, Permit),
    /// A router sends the request or not.
    Permitted(usize, Request, Arc<Upstream>, u64, Permit),
    Answered(usize, Arc<str>, u64),
}

struct Fleet {
    is_keyed: bool,
    /// Limit that the upstream names, if it isn't cold.
    named: Option<Limit>,
    upstreams: Vec<Arc<Upstream>>,
    routers: Vec<Option<Router>>,
    /// Routers in the store's list.
    listed: Vec<usize>,
    /// Routers whose lists no longer change.
    is_cut: Vec<bool>,
    events: Vec<(u64, Event)>,
    sent: Vec<u64>,
    refused: usize,
    next_ticket: u64,
    random: ChaCha8Rng,
}

impl Fleet {
    fn new(count: usize, is_keyed: bool, named: Option<Limit>, seed: u64) -> Self {
        let mut fleet = Self {
            is_keyed,
            named,
            upstreams: vec![upstream("one", NEAR, 6)],
            routers: Vec::new(),
            listed: (0..count).collect(),
            is_cut: vec![false; count],
            events: Vec::new(),
            sent: Vec::new(),
            refused: 0,
            next_ticket: 1,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            fleet.routers.push(None);
            fleet.start(index, 0);
        }
        fleet
    }

    /// Starts a router, which knows no list yet.
    fn start(&mut self, index: usize, ms: u64) {
        let mut service = Service::new(place(index), limits());
        let roster = Arc::new(Roster::new(router_name(index)));
        let warm_up = warm_up(LIMIT_PER_S, Duration::from_secs(3_600));
        service.set_roster(Arc::clone(&roster), at(ms));
        service.set_warm_up(Some((warm_up, TOLERANCE)), at(ms));
        service.set_upstreams(self.upstreams.clone(), at(ms));
        if self.is_keyed {
            service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
        }
        for upstream in &self.upstreams {
            let left = Duration::from_secs(3_600);
            match self.named {
                Some(limit) => {
                    service.set_routers(self.listed.len(), index, at(ms));
                    service.set_limit(upstream, limit, at(ms));
                }
                None => {
                    service.set_cold(upstream, left, Source::Entry, at(ms));
                }
            }
        }
        self.is_cut[index] = false;
        self.routers[index] = Some(Router {
            service,
            roster,
            listed: Vec::new(),
            waiting: HashMap::new(),
        });
    }

    /// Lets a router know the present list.
    fn learn(&mut self, index: usize, ms: u64) {
        let listed = self.listed.clone();
        let is_cut = self.is_cut[index];
        let Some(router) = self.routers[index].as_mut() else {
            return;
        };
        if is_cut || router.listed == listed {
            return;
        }
        let names: Vec<_> = listed
            .iter()
            .map(|other| (router_name(*other), place(*other)))
            .collect();
        let names = names.iter().map(|(name, place)| (name, place));
        Arc::make_mut(&mut router.roster).update(names, at(ms));
        router.listed = listed;
        let warm_up = warm_up(LIMIT_PER_S, Duration::from_secs(3_600));
        let roster = Arc::clone(&router.roster);
        let service = &mut router.service;
        service.set_roster(Arc::clone(&roster), at(ms));
        service.set_warm_up(Some((warm_up, TOLERANCE)), at(ms));
    }

    /// Asks the owners for a permit, one after the other.
    fn ask(&mut self, index: usize, upstream: &Upstream, ms: u64) -> Permit {
        let left = Duration::from_secs(60);
        let owners = {
            let service = &self.routers[index].as_ref().unwrap().service;
            service.owners(upstream, at(ms)).unwrap_or_default()
        };
        let mut least = Duration::from_millis(500);
        let own = router_name(index);
        for owner in std::iter::once(own).chain(owners) {
            let other: usize = owner["router-".len()..].parse().unwrap();
            let Some(router) = self.routers[other].as_mut() else {
                continue;
            };
            let permit = router
                .service
                .permit(&upstream.id, upstream.incarnation, left, at(ms));
            match permit {
                Permit::Granted(_) => return permit,
                Permit::Denied(wait) => least = least.min(wait),
            }
        }
        Permit::Denied(least)
    }

    fn follow(&mut self, index: usize, request: Request, step: Step, ms: u64) {
        match step {
            Step::Send {
                upstream,
                needs_permit: true,
                ..
            } => {
                let permit = self.ask(index, &upstream, ms);
                let event = Event::Permitted(index, request, Arc::clone(&upstream), ms, permit);
                let delay = match permit {
                    Permit::Granted(delay) => delay.as_millis() as u64,
                    Permit::Denied(_) => 0,
                };
                self.events
                    .push((ms + PERMIT_MS, Event::Told(index, upstream, permit)));
                self.events.push((ms + PERMIT_MS + delay, event));
            }
            Step::Send { upstream, .. } => self.send(index, &upstream, ms, ms),
            Step::Wait => {
                let router = self.routers[index].as_mut().unwrap();
                router.waiting.insert(request.ticket, request);
            }
            Step::Refuse(_) => self.refused += 1,
            Step::Detour => unreachable!(),
        }
    }

    fn send(&mut self, index: usize, upstream: &Upstream, started: u64, ms: u64) {
        self.sent.push(ms);
        let event = Event::Answered(index, Arc::clone(&upstream.id), started);
        self.events.push((ms + SERVICE_MS, event));
    }

    fn handle(&mut self, event: Event, ms: u64) {
        match event {
            Event::Answered(index, upstream, started) => {
                if let Some(router) = self.routers[index].as_mut() {
                    let report = Report::Answered { failed: false };
                    let service = &mut router.service;
                    service.end(&upstream, None, at(started), report, at(ms));
                }
            }
            Event::Told(index, upstream, permit) => {
                if let Some(router) = self.routers[index].as_mut() {
                    let service = &mut router.service;
                    service.record_permit(&upstream.id, permit, at(ms));
                }
            }
            Event::Permitted(index, request, upstream, started, permit) => {
                let Some(router) = self.routers[index].as_mut() else {
                    return;
                };
                let service = &mut router.service;
                if let Permit::Granted(_) = permit {
                    self.send(index, &upstream, started, ms);
                    return;
                }
                service.end(&upstream.id, None, at(started), Report::NotSent, at(ms));
                let step = service.resume(request.clone(), at(ms));
                self.follow(index, request, step, ms);
            }
        }
    }

    /// Runs one step, in which router `index` gets `per_s(index)` requests per second.
    fn step(&mut self, ms: u64, per_s: impl Fn(usize) -> f64) {
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(time, _)| *time <= ms);
        self.events = later;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            self.handle(event, ms);
        }
        for index in 0..self.routers.len() {
            let Some(router) = self.routers[index].as_mut() else {
                continue;
            };
            if ms.is_multiple_of(1_000) {
                router.service.sweep(at(ms));
            }
            for (ticket, step) in router.service.poll(at(ms)) {
                let router = self.routers[index].as_mut().unwrap();
                let request = router.waiting.remove(&ticket).unwrap();
                self.follow(index, request, step, ms);
            }
            let arrives = per_s(index) * STEP_MS as f64 / 1e3;
            if self.random.random_bool(arrives.min(1.0)) {
                self.next_ticket += 1;
                let key = self.is_keyed.then(|| self.random.random());
                let request = request(self.next_ticket, key, ms);
                let router = self.routers[index].as_mut().unwrap();
                let step = router.service.admit(request.clone(), at(ms));
                self.follow(index, request, step, ms);
            }
        }
    }
}

/// One router in five gets five times as many requests as the others.
fn uneven(times: f64, routers: usize) -> impl Fn(usize) -> f64 {
    let total = times * LIMIT_PER_S;
    let share = total / (routers as f64 * 1.8);
    move |index| {
        if index.is_multiple_of(5) {
            5.0 * share
        } else {
            share
        }
    }
}

/// The load: callers want three times what a cold upstream takes, most of them from a fifth of the
/// routers.
#[rstest]
fn uneven_callers_use_most_of_the_limit(
    #[values(false, true)] is_keyed: bool,
    #[values(3, 12, 58)] routers: usize,
    #[values(1.5, 3.0, 10.0)] times: f64,
) {
    const LENGTH_MS: u64 = 20_000;
    let mut fleet = Fleet::new(routers, is_keyed, None, 7);
    (0..routers).for_each(|index| fleet.learn(index, 0));
    let per_s = uneven(times, routers);
    for ms in (0..SETTLED_MS + LENGTH_MS).step_by(STEP_MS as usize) {
        fleet.step(ms, &per_s);
    }
    let most = most_in_a_window(&fleet.sent);
    assert!(most as f64 <= 19.4, "{most}");
    let counted = fleet.sent.iter().filter(|ms| **ms >= SETTLED_MS).count();
    let mean = counted as f64 / (LENGTH_MS as f64 / 1e3);
    assert!(mean >= 0.8 * LIMIT_PER_S, "{mean}/s");
    assert!(mean <= LIMIT_PER_S, "{mean}/s");
}

/// The same load for an upstream that names a limit itself. It counts over four seconds.
#[rstest]
fn a_large_fleet_with_uneven_callers_uses_most_of_a_limit_that_an_upstream_names(
    #[values(false, true)] is_keyed: bool,
    #[values(1.5, 3.0)] times: f64,
) {
    const LENGTH_MS: u64 = 40_000;
    const NAMED_PER_S: f64 = 6.4;
    let named = Limit::per_s(NAMED_PER_S);
    let mut fleet = Fleet::new(58, is_keyed, named, 7);
    (0..58).for_each(|index| fleet.learn(index, 0));
    let per_s = uneven(times * NAMED_PER_S / LIMIT_PER_S, 58);
    for ms in (0..SETTLED_MS + LENGTH_MS).step_by(STEP_MS as usize) {
        fleet.step(ms, &per_s);
    }
    let in_window = |end: &u64| {
        let sent = fleet.sent.iter();
        sent.filter(|ms| (**ms..=**ms + 4_000).contains(end))
            .count()
    };
    let most = fleet.sent.iter().map(in_window).max().unwrap_or(0);
    assert!(most as f64 <= 1.5 * 4.0 * NAMED_PER_S + 5.0, "{most}");
    let counted = fleet.sent.iter().filter(|ms| **ms >= SETTLED_MS).count();
    let mean = counted as f64 / (LENGTH_MS as f64 / 1e3);
    assert!(mean >= 0.7 * NAMED_PER_S, "{mean}/s");
    assert!(mean <= NAMED_PER_S, "{mean}/s");
}

/// A change among the routers of a fleet.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A process ends, and another one starts under its name at once.
    Restart(usize),
    /// A router ends and leaves the list.
    End(usize),
    /// A router that had ended starts and joins the list.
    Start(usize),
    /// A router no longer learns of changes to the list.
    Cut(usize),
    /// All processes start anew.
    RestartAll,
}

fn fault() -> impl Strategy<Value = Fault> {
    let index = 0..58_usize;
    prop_oneof![
        4 => index.clone().prop_map(Fault::Restart),
        4 => index.clone().prop_map(Fault::End),
        4 => index.clone().prop_map(Fault::Start),
        1 => index.prop_map(Fault::Cut),
        1 => Just(Fault::RestartAll),
    ]
}

impl Fleet {
    fn apply(&mut self, fault: Fault, ms: u64) {
        let count = self.routers.len();
        match fault {
            Fault::Restart(index) => {
                if self.routers[index % count].is_some() {
                    self.start(index % count, ms);
                }
            }
            Fault::End(index) => {
                self.routers[index % count] = None;
                self.listed.retain(|other| *other != index % count);
            }
            Fault::Start(index) => {
                if self.routers[index % count].is_none() {
                    self.start(index % count, ms);
                    self.listed.push(index % count);
                    self.listed.sort_unstable();
                }
            }
            Fault::Cut(index) => self.is_cut[index % count] = true,
            Fault::RestartAll => {
                let running = (0..count).filter(|index| self.routers[*index].is_some());
                running
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|index| self.start(index, ms));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_bound_while_routers_start_end_and_are_cut_off(
        routers in prop_oneof![Just(2_usize), Just(8), Just(58)],
        faults in prop::collection::vec((0..12_000_u64, fault()), 0..30),
        is_keyed: bool,
        is_cut_together: bool,
        times in 2.0..12.0_f64,
        seed: u64,
    ) {
        let mut fleet = Fleet::new(routers, is_keyed, None, seed);
        let per_s = uneven(times, routers);
        for ms in (0..14_000).step_by(STEP_MS as usize) {
            for (_, fault) in faults.iter().filter(|(at, _)| (ms..ms + STEP_MS).contains(at)) {
                fleet.apply(*fault, ms);
            }
            if is_cut_together && ms == 4_000 {
                (0..routers / 2).for_each(|index| fleet.apply(Fault::Cut(index), ms));
            }
            for index in 0..routers {
                // Each router reads the list at times of its own.
                if ms % 1_500 == (index as u64 * 385) % 1_500 / STEP_MS * STEP_MS {
                    fleet.learn(index, ms);
                }
            }
            fleet.step(ms, &per_s);
        }
        let most = most_in_a_window(&fleet.sent);
        prop_assert!(most as f64 <= 19.4, "{most}");
    }

    /// As many owners as two lists of routers name, each under full load.
    #[test]
    fn owners_by_two_lists_stay_within_any_tolerance(
        per_s in 0.0..200.0_f64,
        factor in 0.0..4.0_f64,
        extra in 0.0..40.0_f64,
        delays in prop::collection::vec(0..100_u64, 64),
    ) {
        let limit = Limit::per_s(per_s).unwrap();
        let ownership = Ownership::new(limit, Tolerance { factor, extra });
        let mut sent = Vec::new();
        let mut delays = delays.iter().cycle();
        for _ in 0..2 * ownership.owners() {
            let mut bucket = Bucket::new(ownership.rate_per_s(), at(0));
            // It fills up while nobody asks.
            for ms in 5_000..9_000 {
                if bucket.take(at(ms)) {
                    sent.push(ms + delays.next().unwrap());
                }
            }
        }
        sent.sort_unstable();
        let most = most_in_a_window(&sent);
        prop_assert!(most as f64 <= per_s * factor + extra, "{most} by {ownership:?}");
        prop_assert!(ownership.total_per_s() <= per_s);
    }
}

#[test]
fn the_owners_use_most_of_a_limit_that_is_tolerated_one_and_a_half_times() {
    for per_s in [1.0, 4.0, 7.6, 20.0, 100.0] {
        let ownership = Ownership::new(Limit::per_s(per_s).unwrap(), TOLERANCE);
        assert!(
            ownership.total_per_s() >= 0.8 * per_s.min(15.0),
            "{per_s}: {ownership:?}"
        );
    }
}

fn listed(roster: &mut Roster, names: &[&str], ms: u64) {
    let names: Vec<(Arc<str>, Arc<str>)> = names
        .iter()
        .map(|name| ((*name).into(), NEAR.into()))
        .collect();
    roster.update(names.iter().map(|(name, place)| (name, place)), at(ms));
}

#[test]
fn nobody_takes_the_part_of_a_lost_owner_before_all_know_of_its_loss() {
    let one = upstream("one", NEAR, 4);
    let mut rosters: Vec<Roster> = ["a", "b", "c"].map(|name| Roster::new(name.into())).into();
    for roster in &mut rosters {
        listed(roster, &["a", "b", "c"], 0);
    }
    let owners = |rosters: &[Roster], ms: u64| -> Vec<usize> {
        let is_owner = |index: &usize| rosters[*index].is_owner(&one, 2, at(ms));
        (0..3).filter(is_owner).collect()
    };
    assert!(
        owners(&rosters, 1_000).is_empty(),
        "it may be a new process"
    );
    let before = owners(&rosters, 2_000);
    assert_eq!(before.len(), 2);
    let lost = ["a", "b", "c"][before[0]];
    let rest: Vec<&str> = ["a", "b", "c"]
        .into_iter()
        .filter(|name| *name != lost)
        .collect();
    for roster in &mut rosters {
        listed(roster, &rest, 5_000);
    }
    assert_eq!(owners(&rosters, 6_500), [before[1]]);
    let last = owners(&rosters, 7_100);
    assert_eq!(last.len(), 2);
    assert!(!last.contains(&before[0]));
}

#[test]
fn owners_run_in_the_data_centre_of_the_upstream_if_it_has_routers() {
    let mut roster = Roster::new("router-0".into());
    let names: Vec<_> = (0..12)
        .map(|index| (router_name(index), place(index)))
        .collect();
    roster.update(names.iter().map(|(name, place)| (name, place)), at(0));
    for n in 0..20 {
        let up = upstream(&format!("up-{n}"), FAR, 4);
        for owner in roster.others(&up, 2, at(5_000)) {
            let index: usize = owner["router-".len()..].parse().unwrap();
            assert_eq!(&*place(index), FAR);
        }
    }
}

/// Returns a service whose router owns a part of each limit, and its roster.
fn owning(upstreams: &[Arc<Upstream>]) -> Service {
    let mut roster = Roster::new("own".into());
    listed(&mut roster, &["own"], 0);
    let mut service = support::service(upstreams);
    let rule = warm_up(LIMIT_PER_S, Duration::from_secs(3));
    service.set_roster(Arc::new(roster), at(2_500));
    service.set_warm_up(Some((rule, TOLERANCE)), at(2_500));
    service
}

fn cold(id: &str, sequence: u64, left_ms: u64) -> Arc<Upstream> {
    Arc::new(Upstream {
        sequence,
        warm_up: Duration::from_millis(left_ms),
        ..(*upstream(id, NEAR, 4)).clone()
    })
}

#[test]
fn an_entry_counts_from_its_arrival_and_an_older_one_only_makes_the_time_longer() {
    let mut service = owning(&[]);
    service.set_upstreams(vec![cold("one", 2, 1_000)], at(3_000));
    assert_eq!(
        service.cold_left(&cold("one", 1, 0), at(3_400)),
        Duration::from_millis(600)
    );
    service.set_upstreams(vec![cold("one", 3, 200)], at(3_500));
    assert_eq!(
        service.cold_left(&cold("one", 1, 0), at(3_500)),
        Duration::from_millis(500)
    );
    service.set_upstreams(vec![cold("one", 3, 200)], at(3_900));
    assert_eq!(
        service.cold_left(&cold("one", 1, 0), at(3_900)),
        Duration::from_millis(100)
    );
    service.set_upstreams(vec![cold("one", 4, 3_000)], at(4_100));
    assert_eq!(
        service.cold_left(&cold("one", 1, 0), at(4_100)),
        Duration::from_secs(3)
    );
    // A figure beyond the configured time is absurd.
    service.set_upstreams(vec![cold("one", 5, 600_000)], at(5_000));
    assert_eq!(
        service.cold_left(&cold("one", 1, 0), at(5_000)),
        Duration::from_secs(3)
    );
}

#[test]
fn a_cold_upstream_stays_cold_if_its_entry_disappears_meanwhile_but_not_as_a_new_process() {
    let mut service = owning(&[cold("one", 1, 3_000)]);
    service.set_upstreams(vec![cold("one", 2, 3_000)], at(3_000));
    service.set_upstreams(vec![cold("one", 3, 100)], at(3_050));
    service.set_upstreams(Vec::new(), at(3_100));
    service.set_upstreams(vec![cold("one", 4, 0)], at(3_200));
    assert_eq!(
        service.cold_left(&cold("one", 1, 0), at(3_200)),
        Duration::from_millis(2_800)
    );
    let mut next = (*cold("one", 1, 0)).clone();
    next.incarnation += 1;
    service.set_upstreams(vec![next.clone().into()], at(3_300));
    assert_eq!(service.cold_left(&next, at(3_300)), Duration::ZERO);
}

#[test]
fn without_a_rate_in_the_configuration_cold_upstreams_are_served_as_others() {
    let mut service = support::service(&[cold("one", 1, 3_000)]);
    assert_eq!(service.cold(at(0)), 0);
    for n in 0..4 {
        let step = service.admit(request(n, None, 0), at(0));
        assert_eq!(sent_to(&step), Some("one"));
    }
    let up = cold("one", 1, 3_000);
    assert!(!service.set_cold(&up, Duration::from_secs(3), Source::Evacuation, at(0)));
}

#[test]
fn requests_beyond_the_limit_of_a_cold_upstream_go_to_a_warm_one() {
    let one = cold("one", 1, 0);
    let mut service = owning(&[one.clone(), upstream("two", FAR, 8)]);
    service.set_cold(&one, Duration::from_secs(3), Source::Evacuation, at(2_500));
    let mut counts: HashMap<String, usize> = HashMap::new();
    for ms in (2_500..5_400).step_by(20) {
        let step = service.admit(request(ms, None, ms), at(ms));
        let Step::Send {
            upstream, started, ..
        } = step
        else {
            panic!("{step:?}");
        };
        *counts.entry(upstream.id.to_string()).or_default() += 1;
        let report = Report::Answered { failed: false };
        service.end(&upstream.id, None, started, report, at(ms + 5));
    }
    assert!((8..=11).contains(&counts["one"]), "{counts:?}");
    // It is warm again.
    let step = service.admit(request(9_000, None, 5_600), at(5_600));
    assert_eq!(sent_to(&step), Some("one"));
}

#[test]
fn a_request_for_a_cold_holder_waits_or_is_refused_with_the_time_until_it_takes_one() {
    let one = cold("one", 1, 0);
    let mut service = owning(std::slice::from_ref(&one));
    service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
    service.set_cold(&one, Duration::from_secs(3), Source::Evacuation, at(2_500));
    let admit =
        |service: &mut Service, n: u64| service.admit(request(n, Some(7), 2_500), at(2_500));
    let Step::Send { needs_permit, .. } = admit(&mut service, 1) else {
        panic!("an opening can be reserved");
    };
    assert!(needs_permit);
    let left = Duration::from_secs(2);
    let permit = service.permit("one", 1, left, at(2_500));
    assert!(matches!(permit, Permit::Granted(_)), "{permit:?}");
    service.record_permit("one", permit, at(2_500));
    assert_eq!(admit(&mut service, 2), Step::Wait);
    let mut refused: Vec<Refusal> = Vec::new();
    for n in 3..12 {
        if let Step::Refuse(refusal) = admit(&mut service, n) {
            refused.push(refusal);
        }
    }
    assert!(!refused.is_empty());
    for refusal in refused {
        assert_eq!(refusal.reason, Reason::Limited);
        assert!(refusal.retry_after <= Duration::from_secs(1), "{refusal:?}");
    }
    let done = service.poll(at(2_800));
    assert_eq!(sent_to(&done[0].1), Some("one"));
}

#[test]
fn a_hedge_never_asks_for_a_permit() {
    let two = upstream("two", NEAR, 2);
    let mut roster = Roster::new("own".into());
    listed(&mut roster, &["own", "a", "b", "c", "d", "e", "f", "g"], 0);
    let mut service = support::service(&[upstream("one", NEAR, 2), two.clone()]);
    let rule = warm_up(LIMIT_PER_S, Duration::from_secs(3));
    // The lists have not settled, so this router owns nothing.
    service.set_roster(Arc::new(roster), at(100));
    service.set_warm_up(Some((rule, TOLERANCE)), at(100));
    service.set_cold(&two, Duration::from_secs(3), Source::Entry, at(100));
    let mut hedged = request(1, None, 100);
    assert_eq!(
        sent_to(&service.admit(hedged.clone(), at(100))),
        Some("one")
    );
    hedged.tried.push("one".into());
    assert_eq!(service.hedge(&hedged, at(400)), None);
}

#[test]
fn an_owner_learns_from_a_question_that_an_upstream_is_cold() {
    let one = cold("one", 1, 0);
    let mut service = owning(&[one]);
    let left = Duration::from_secs(2);
    let permit = service.permit("one", 1, left, at(2_500));
    assert!(matches!(permit, Permit::Granted(wait) if wait > Duration::from_millis(200)));
    assert_eq!(service.cold_left(&cold("one", 1, 0), at(2_500)), left);
    // Later questions took some time to arrive, and would lengthen the time without end.
    service.permit("one", 1, left, at(2_600));
    assert_eq!(
        service.cold_left(&cold("one", 1, 0), at(2_600)),
        Duration::from_millis(1_900)
    );
    let mut waits = Vec::new();
    for _ in 0..3 {
        match service.permit("one", 1, left, at(2_600)) {
            Permit::Denied(wait) => waits.push(wait),
            granted @ Permit::Granted(_) => panic!("{granted:?}"),
        }
    }
    assert!(waits.is_sorted_by(|one, other| one < other), "{waits:?}");
    let granted = service.permit("one", 1, left, at(3_000));
    assert!(matches!(granted, Permit::Granted(_)), "{granted:?}");
    let other = service.permit("one", 2, left, at(3_500));
    assert!(
        matches!(other, Permit::Denied(_)),
        "another process: {other:?}"
    );
}

/// Guards against permits for upstreams that get nothing: the search for one that an owner may permit
/// a request to passed over the evacuation.
#[test]
fn no_permit_is_asked_for_a_cold_upstream_of_an_evacuated_data_centre() {
    let one = cold("one", 1, 0);
    let mut service = owning(std::slice::from_ref(&one));
    let mut evacuations = Evacuations::new(Duration::from_secs(5));
    let mark = Mark {
        data_centre: Arc::clone(&one.data_centre),
        version: Revision::new(0, 5),
        is_present: true,
    };
    evacuations.record(&mark, at(2_500));
    service.set_evacuations(evacuations.all());
    service.set_cold(&one, Duration::from_secs(3), Source::Evacuation, at(2_500));
    let step = service.admit(request(1, None, 3_200), at(3_200));
    let Step::Refuse(refusal) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, Reason::Evacuated);
}
