//! Plays a burst of a less urgent kind at a service that is nearly full, and checks what callers get.

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::place::Place;
use eelgrassrock_dispatch::service::{Detour, Reason, Refusal, Report, Request, Service, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::{FAR, NEAR, at, keyed, limits, request, sent_to, service, span, upstream};

const ROUTERS: usize = 58;
const SERVERS: usize = 21;
const SLOTS: usize = 4;
/// Requests that wait at an upstream before it turns others away.
const QUEUE: usize = 16;
const STEP_MS: u64 = 5;
const END_MS: u64 = 14_000;
const BURST_MS: std::ops::Range<u64> = 4_000..10_000;

/// Kind of requests.
struct Kind {
    priority: u8,
    work_ms: f64,
    target_ms: u64,
    limit_ms: u64,
    /// Share of the slots that it uses outside the burst.
    used: f64,
}

const KINDS: [Kind; 2] = [
    Kind {
        priority: 0,
        work_ms: 65.0,
        target_ms: 500,
        limit_ms: 1_000,
        used: 0.35,
    },
    Kind {
        priority: 2,
        work_ms: 190.0,
        target_ms: 3_000,
        limit_ms: 6_000,
        used: 0.45,
    },
];

/// What the callers of one kind got during the burst.
#[derive(Clone, Debug, Default)]
struct Tally {
    asked: f64,
    served: f64,
    in_time: f64,
    /// Refused after an eighth of the time to the target.
    late_refusals: f64,
    /// Times at which refused callers were asked back.
    returns: Vec<u64>,
}

impl Tally {
    fn served(&self) -> f64 {
        self.served / self.asked
    }

    fn in_time(&self) -> f64 {
        self.in_time / self.asked
    }
}

struct Job {
    kind: usize,
    request: Request,
    router: usize,
    first_ms: u64,
    started: Instant,
}

#[derive(Default)]
struct Server {
    speed: f64,
    running: Vec<(u64, usize)>,
    queue: VecDeque<usize>,
}

struct Play {
    random: ChaCha8Rng,
    routers: Vec<Service>,
    places: Vec<Place>,
    upstreams: Vec<Arc<Upstream>>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    /// Second tries: time, kind and time of the first try.
    returning: Vec<(u64, usize, u64)>,
    tallies: [Tally; 2],
    changes: usize,
    burst: f64,
}

impl Play {
    fn new(priorities: &[u8]) -> Self {
        let upstreams: Vec<_> = (0..SERVERS)
            .map(|n| upstream(&format!("up-{n:02}"), NEAR, SLOTS as u32))
            .collect();
        let places: Vec<_> = (0..ROUTERS)
            .map(|index| Place::new(index, ROUTERS, SERVERS))
            .collect();
        let router = |(index, place): (usize, &Place)| {
            let mut service = Service::new(NEAR.into(), limits());
            service.set_place(*place);
            service.set_upstreams(upstreams.clone(), at(0));
            service.set_routers(ROUTERS, index, at(0));
            service.set_priorities(priorities);
            service
        };
        let speed = |n| 0.5 + n as f64 / (SERVERS - 1) as f64;
        Self {
            random: ChaCha8Rng::seed_from_u64(7),
            routers: places.iter().enumerate().map(router).collect(),
            places,
            servers: (0..SERVERS)
                .map(|n| Server {
                    speed: speed(n),
                    ..Server::default()
                })
                .collect(),
            upstreams,
            jobs: Vec::new(),
            returning: Vec::new(),
            tallies: Default::default(),
            changes: 0,
            burst: 2.4,
        }
    }

    fn run(mut self) -> Self {
        for ms in (0..END_MS).step_by(STEP_MS as usize) {
            self.arrivals(ms);
            for router in 0..ROUTERS {
                for (ticket, step) in self.routers[router].poll(at(ms)) {
                    self.perform(ticket as usize, step, ms);
                }
            }
            (0..SERVERS).for_each(|server| self.work(server, ms));
            if ms.is_multiple_of(50) {
                self.tell(ms);
            }
        }
        self
    }

    fn arrivals(&mut self, ms: u64) {
        for (kind, Kind { work_ms, used, .. }) in KINDS.iter().enumerate() {
            let is_bursting = kind == 1 && BURST_MS.contains(&ms);
            let x = if is_bursting { self.burst } else { 1.0 };
            let capacity: f64 = self.servers.iter().map(|server| server.speed).sum();
            let rate = x * used * capacity * SLOTS as f64 / work_ms * STEP_MS as f64;
            let chance = rate / 8.0;
            for _ in 0..8 {
                if self.random.random_range(0.0..1.0) < chance {
                    self.arrive(kind, ms, ms);
                }
            }
        }
        let due: Vec<_> = self
            .returning
            .extract_if(.., |(due, _, _)| *due <= ms)
            .collect();
        for (_, kind, first_ms) in due {
            self.arrive(kind, ms, first_ms);
        }
    }

    fn arrive(&mut self, kind: usize, ms: u64, first_ms: u64) {
        let ticket = self.jobs.len();
        // Some routers have four times as many callers as others.
        let router = self.random.random_range(0..ROUTERS);
        let router = if self.random.random_range(0..4) > router % 4 {
            router
        } else {
            router | 3
        }
        .min(ROUTERS - 1);
        let Kind {
            priority,
            target_ms,
            limit_ms,
            ..
        } = KINDS[kind];
        let request = Request {
            priority,
            target: at(first_ms + target_ms).max(at(ms)),
            give_up: at(first_ms + limit_ms),
            ..request(ticket as u64, None, ms)
        };
        self.tallies[kind].asked += counted(first_ms) * f64::from(u8::from(ms == first_ms));
        let started = at(ms);
        self.jobs.push(Job {
            kind,
            request: request.clone(),
            router,
            first_ms,
            started,
        });
        let step = self.routers[router].admit(request, at(ms));
        self.perform(ticket, step, ms);
    }

    fn perform(&mut self, ticket: usize, step: Step, ms: u64) {
        let job = &mut self.jobs[ticket];
        match step {
            Step::Send { upstream, started } => {
                let server: usize = upstream.id[3..].parse().unwrap();
                job.started = started;
                if self.servers[server].queue.len() < QUEUE {
                    self.servers[server].queue.push_back(ticket);
                    return;
                }
                let router = &mut self.routers[job.router];
                router.end(&upstream.id, None, started, Report::Refused, at(ms));
                let step = router.retry(job.request.clone(), at(ms));
                self.perform(ticket, step, ms);
            }
            Step::Wait => {}
            Step::Refuse(refusal) => self.refuse(ticket, refusal, ms),
            Step::Detour => panic!("all upstreams can be reached"),
        }
    }

    fn refuse(&mut self, ticket: usize, refusal: Refusal, ms: u64) {
        let Job {
            kind,
            request,
            first_ms,
            ..
        } = &self.jobs[ticket];
        let tally = &mut self.tallies[*kind];
        let held = at(ms) - request.arrived;
        let patience = Duration::from_millis(KINDS[*kind].target_ms) / 8;
        tally.late_refusals += counted(*first_ms) * f64::from(u8::from(held > patience));
        let back_ms = ms + refusal.retry_after.as_millis() as u64;
        if refusal.reason == Reason::Pressure {
            tally.returns.push(back_ms);
        }
        if request.arrived == at(*first_ms) && at(back_ms) < request.give_up {
            self.returning.push((back_ms, *kind, *first_ms));
        }
    }

    fn work(&mut self, server: usize, ms: u64) {
        let ended: Vec<_> = self.servers[server]
            .running
            .extract_if(.., |(end, _)| *end <= ms)
            .collect();
        for (_, ticket) in ended {
            let job = &self.jobs[ticket];
            let router = &mut self.routers[job.router];
            let answered = Report::Answered { failed: false };
            router.end(
                &self.upstreams[server].id,
                None,
                job.started,
                answered,
                at(ms),
            );
            let tally = &mut self.tallies[job.kind];
            let weight = counted(job.first_ms);
            tally.served += weight * f64::from(u8::from(at(ms) <= job.request.give_up));
            tally.in_time += weight * f64::from(u8::from(at(ms) <= job.request.target));
        }
        while self.servers[server].running.len() < SLOTS
            && let Some(ticket) = self.servers[server].queue.pop_front()
        {
            let varied = self.random.random_range(0.5..1.5);
            let work_ms =
                KINDS[self.jobs[ticket].kind].work_ms * varied / self.servers[server].speed;
            self.servers[server]
                .running
                .push((ms + work_ms as u64, ticket));
        }
    }

    /// Tells the neighbours the requests under way.
    fn tell(&mut self, ms: u64) {
        for from in 0..ROUTERS {
            let name: Arc<str> = format!("router-{from}").into();
            let counts: Vec<(Arc<str>, u32)> = self.routers[from]
                .in_flight()
                .map(|(id, count)| (Arc::clone(id), count))
                .collect();
            for to in (0..ROUTERS).filter(|to| *to != from && self.places[from].is_neighbour(*to)) {
                let counts = counts.iter().map(|(id, count)| (&**id, *count));
                self.routers[to].record_peer_counts(&name, counts, at(ms));
            }
            self.changes += usize::from(self.routers[from].take_pressure_change().is_some());
        }
    }
}

/// Weight of a request that first arrived at an instant: 1 during the burst.
fn counted(first_ms: u64) -> f64 {
    f64::from(u8::from(BURST_MS.contains(&first_ms)))
}

#[test]
fn a_burst_of_a_less_urgent_kind_costs_urgent_callers_little() {
    let play = Play::new(&[0, 2]).run();
    let [urgent, other] = &play.tallies;
    // Untouched, 0.89 of the urgent requests were served, and 0.48 in time.
    assert!(urgent.served() >= 0.99, "{}", urgent.served());
    assert!(urgent.in_time() >= 0.95, "{}", urgent.in_time());
    assert!(urgent.served() >= other.served() && urgent.in_time() >= other.in_time());
    let asked = urgent.asked + other.asked;
    let all = (urgent.served + other.served) / asked;
    assert!(other.served() >= all / 3.0, "{} of {all}", other.served());
    // The slots that the urgent requests leave are used: they suffice for 0.6 of the others.
    assert!(other.served() >= 0.6, "{}", other.served());
    // Each router becomes tight and relaxed again.
    assert!(play.changes <= 2 * ROUTERS, "{} changes", play.changes);
}

/// Callers who can't be served learn it at once, and don't all come back together.
#[test]
fn refused_callers_learn_it_at_once_and_return_spread() {
    let play = Play::new(&[0, 2]).run();
    let [urgent, other] = &play.tallies;
    assert_eq!(urgent.late_refusals, 0.0);
    assert!(
        other.late_refusals < 0.02 * other.asked,
        "{}",
        other.late_refusals
    );
    let returns = &other.returns;
    assert!(returns.len() > 1_000 && urgent.returns.is_empty());
    let mut per_100_ms = vec![0; 200];
    let steady = returns.iter().filter(|ms| (6_000..10_000).contains(*ms));
    steady.for_each(|ms| per_100_ms[*ms as usize / 100] += 1);
    let steady = &per_100_ms[60..100];
    let mean = steady.iter().sum::<usize>() / steady.len();
    assert!(steady.iter().all(|count| *count < 2 * mean), "{steady:?}");
}

#[test]
fn nobody_is_refused_while_there_is_room() {
    let mut play = Play::new(&[0, 2]);
    play.burst = 1.0;
    let play = play.run();
    for tally in &play.tallies {
        assert!(
            tally.returns.is_empty() && tally.in_time() > 0.99,
            "{}",
            tally.in_time()
        );
    }
}

/// A configuration that lets one kind only go to a service changes nothing there.
#[test]
fn a_single_priority_is_served_as_without_pressure() {
    let [plain, single] = [&[][..], &[2][..]].map(|priorities| Play::new(priorities).run());
    for (plain, single) in plain.tallies.iter().zip(&single.tallies) {
        assert_eq!(
            (plain.served, plain.in_time),
            (single.served, single.in_time)
        );
        assert!(single.returns.is_empty());
    }
}

/// Three kinds compete, and requests wait for half of the time to their target. No kind is admitted
/// more often than a more urgent one, and the least urgent one keeps a third.
#[test]
fn admission_follows_the_priority() {
    let mut service = service(&[upstream("one", NEAR, 1)]);
    service.set_priorities(&[5, 0, 1]);
    let mut refused = [0; 3];
    for ticket in 0..900 {
        let kind = ticket as usize % 3;
        let request = Request {
            priority: [0, 1, 5][kind],
            ..request(ticket, None, 0)
        };
        let ms = if ticket < 9 { 0 } else { 301 };
        let request = Request {
            arrived: at(ms),
            target: at(ms + 600),
            ..request
        };
        if let Step::Refuse(refusal) = service.admit(request, at(ms)) {
            refused[kind] += u32::from(refusal.reason == Reason::Pressure);
        }
        if ticket >= 9 {
            service.cancel(ticket);
        }
    }
    assert_eq!(refused[0], 0);
    assert!(refused[1] <= refused[2], "{refused:?}");
    assert!((190..=200).contains(&refused[2]), "{refused:?}");
}

/// A router that was paused or cut off has counts of others that are seconds old.
#[rstest]
#[case::fresh(500, false)]
#[case::lapsed(2_000, true)]
fn old_counts_of_other_routers_lapse(#[case] ms: u64, #[case] is_sent: bool) {
    let mut service = service(&[upstream("one", NEAR, 4)]);
    service.set_priorities(&[0, 2]);
    let counts = [("one", 4)].into_iter();
    service.record_peer_counts(&"router-2".into(), counts, at(0));
    let request = Request {
        priority: 2,
        ..request(1, None, ms)
    };
    assert_eq!(sent_to(&service.admit(request, at(ms))).is_some(), is_sent);
}

/// An overloaded holder can serve half of its requests, of which a third are urgent. They are served,
/// and the others get the rest.
#[test]
fn the_share_of_a_holder_is_taken_from_the_less_urgent_first() {
    let mut service = service(&[upstream("one", NEAR, 9_000)]);
    service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
    service.set_priorities(&[0, 2]);
    service.set_shares(vec![("one".into(), 0.5)]);
    let mut admitted = [0; 2];
    for ticket in 0..900 {
        let kind = usize::from(ticket % 3 != 0);
        let request = Request {
            priority: [0, 2][kind],
            ..request(ticket, Some(7), 0)
        };
        match service.admit(request, at(0)) {
            Step::Refuse(refusal) => assert_eq!(refusal.reason, Reason::Overload),
            _ => admitted[kind] += 1,
        }
    }
    assert!(admitted[0] >= 290, "{admitted:?}");
    assert!((100..=170).contains(&admitted[1]), "{admitted:?}");
}

/// The share of an overloaded holder and the pressure on it together would leave the least urgent less
/// than a third of the share.
#[test]
fn the_floor_holds_at_a_holder_that_is_overloaded_and_tight() {
    let mut service = service(&[upstream("one", NEAR, 1)]);
    service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
    service.set_priorities(&[0, 2]);
    for ticket in 900..904 {
        let request = Request {
            priority: 0,
            ..request(ticket, Some(7), 0)
        };
        service.admit(request, at(0));
    }
    service.set_shares(vec![("one".into(), 0.5)]);
    let mut admitted = 0;
    for ticket in 0..600 {
        let priority = if ticket % 2 == 0 { 0 } else { 2 };
        let request = Request {
            priority,
            ..request(ticket, Some(7), 300)
        };
        let is_admitted = service.admit(request, at(300)) == Step::Wait;
        admitted += u32::from(is_admitted && priority == 2);
        service.cancel(ticket);
    }
    assert!(admitted >= 45, "{admitted} of 300");
}

/// Returns a service whose only slot is taken and for which requests have waited for half of the time to
/// their target at `at(300)`.
fn tight(rank: usize) -> Service {
    let mut service = service(&[upstream("one", NEAR, 1)]);
    service.set_routers(4, rank, at(0));
    service.set_priorities(&[0, 2]);
    for ticket in 100..104 {
        let request = Request {
            priority: 0,
            ..request(ticket, None, 0)
        };
        service.admit(request, at(0));
    }
    service
}

/// The router that took a request has decided whether it is admitted.
#[test]
fn a_request_that_was_passed_on_is_not_refused_under_pressure() {
    let mut service = tight(0);
    for n in 0..30 {
        let request = Request {
            priority: 2,
            detour: Detour::Forbidden,
            ..request(n, None, 300)
        };
        assert_eq!(service.admit(request, at(300)), Step::Wait);
        service.cancel(n);
    }
}

/// Less urgent requests for a key don't queue at its holder, where urgent ones would wait for them.
#[test]
fn less_urgent_requests_wait_until_a_slot_of_the_holder_is_free() {
    let mut service = keyed();
    service.set_priorities(&[0, 2]);
    let mut admit = |ticket, priority| {
        let request = Request {
            priority,
            ..request(ticket, Some(7), 0)
        };
        sent_to(&service.admit(request, at(0))).is_some()
    };
    assert!(admit(1, 2) && admit(3, 2), "two slots are free");
    assert!(!admit(4, 2), "no slot is free");
    assert!(admit(6, 0), "one request may queue at the holder");
    assert!(!admit(8, 0));
    for _ in 0..2 {
        let answered = Report::Answered { failed: false };
        service.end("one", Some(7), at(0), answered, at(100));
    }
    let done = service.poll(at(100));
    let tickets: Vec<u64> = done.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(tickets, [8], "the urgent one has taken the free slot");
}

/// Callers that are refused at the same moment, by one router or by several.
#[test]
fn callers_that_are_refused_together_are_asked_back_at_different_times() {
    let mut returns = Vec::new();
    for rank in 0..4 {
        let mut service = tight(rank);
        for n in 0..30 {
            let request = Request {
                priority: 2,
                ..request(n, None, 300)
            };
            if let Step::Refuse(refusal) = service.admit(request, at(300)) {
                returns.push(refusal.retry_after.as_millis());
            }
            service.cancel(n);
        }
    }
    // Half of the time to the target, less the shortest delay.
    let per_50_ms = |n| returns.iter().filter(|ms| **ms / 50 == n).count();
    let counts: Vec<usize> = (1..6).map(per_50_ms).collect();
    assert!(
        returns.iter().all(|ms| (50..=300).contains(ms)),
        "{returns:?}"
    );
    assert!(
        counts.iter().all(|count| count * 12 > returns.len()),
        "{counts:?}"
    );
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() > 40, "{returns:?}");
}

/// Requests for a key on its way, and those that were sent before, don't wait for a slot.
#[rstest]
#[case::key_on_its_way(None, false, false)]
#[case::sent_before(Some("one"), true, false)]
#[case::no_slot(Some("one"), false, true)]
fn only_waits_for_a_slot_count(
    #[case] holder: Option<&str>,
    #[case] is_repeat: bool,
    #[case] is_tight: bool,
) {
    let mut service = service(&[upstream("one", NEAR, 1)]);
    service.set_spans(Some(vec![span(0, u16::MAX, holder)]));
    service.set_priorities(&[0, 2]);
    for ticket in 0..4 {
        let request = Request {
            priority: 0,
            is_repeat,
            ..request(ticket, Some(7), 0)
        };
        service.admit(request, at(0));
    }
    service.poll(at(300));
    assert!(service.waiting() > 0);
    assert_eq!(
        service.pressure(at(300)),
        Some(f64::from(u8::from(is_tight)) / 2.0)
    );
    assert_eq!(service.take_pressure_change().is_some(), is_tight);
}

/// A less urgent request doesn't wait where there is nothing to leave to others: no upstream near, or
/// none that accepts requests.
#[rstest]
#[case::none_near(&[("far", FAR)], None, Some("far"))]
#[case::near_one_deferred(&[("far", FAR), ("near", NEAR)], Some("near"), Some("far"))]
#[case::near_one_full(&[("far", FAR), ("near", NEAR)], None, None)]
fn slots_elsewhere_are_used_if_there_are_none_near(
    #[case] upstreams: &[(&str, &str)],
    #[case] deferred: Option<&str>,
    #[case] expected: Option<&str>,
) {
    let upstreams: Vec<_> = upstreams
        .iter()
        .map(|(id, data_centre)| upstream(id, data_centre, 4))
        .collect();
    let mut service = service(&upstreams);
    service.set_priorities(&[0, 2]);
    let counts = [("near", 4)].into_iter();
    service.record_peer_counts(&"router-2".into(), counts, at(0));
    for upstream in upstreams
        .iter()
        .filter(|other| Some(&*other.id) == deferred)
    {
        service.defer(upstream, Duration::from_secs(9), at(0));
    }
    let request = Request {
        priority: 2,
        ..request(1, None, 0)
    };
    assert_eq!(sent_to(&service.admit(request, at(0))), expected);
    if expected.is_none() {
        // It has waited for a twentieth of the time to the target.
        let done = service.poll(at(31));
        assert_eq!(done.iter().find_map(|(_, step)| sent_to(step)), Some("far"));
    }
}
