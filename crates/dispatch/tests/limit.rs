//! Upstreams that have set a limit to the requests from all routers together.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::limit::{Allowance, Limit, phase};
use eelgrassrock_dispatch::service::{Reason, Refusal, Report, Service, Step};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::{FAR, NEAR, at, keyed, request, sent_to, service, upstream};

/// Time over which an upstream counts the requests of all routers.
const WINDOW_MS: u64 = 4_000;
/// Length of a step of the fleet.
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;

fn limit(per_s: f64) -> Limit {
    Limit::per_s(per_s).unwrap()
}

/// Returns the requests that a window may contain.
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW_MS as f64 / 1e3 + 5.0
}

/// Returns the largest number of requests in a window.
fn most_in_a_window(sent_ms: &[u64]) -> usize {
    let ends = sent_ms.iter().enumerate();
    let counts = ends.map(|(index, end)| {
        let from = sent_ms.partition_point(|sent| sent + WINDOW_MS <= *end);
        index + 1 - from
    });
    counts.max().unwrap_or(0)
}

/// Traffic of all routers for one upstream.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    /// Every router always has a request.
    Pressing,
    /// Nothing for 20 s, then every router always has a request.
    Sudden,
    /// So many times the limit, at random.
    Times(f64),
    /// So many times the limit for two seconds in every six, at random.
    Bursts(f64),
}

impl Traffic {
    /// Returns whether a router has a request in this step.
    fn arrives(self, ms: u64, per_s: f64, routers: usize, random: &mut ChaCha8Rng) -> bool {
        let at_random = |times: f64, random: &mut ChaCha8Rng| {
            let per_step = times * per_s * STEP_MS as f64 / 1e3 / routers as f64;
            random.random_bool(per_step.min(1.0))
        };
        match self {
            Self::Pressing => true,
            Self::Sudden => ms >= 20_000,
            Self::Times(times) => at_random(times, random),
            Self::Bursts(times) => ms % 6_000 < 2_000 && at_random(times, random),
        }
    }
}

/// Returns when a fleet of routers, each with its own allowance, sends requests to an upstream.
/// `assumed` is the number of routers that each of them assumes.
fn fleet(
    per_s: f64,
    routers: usize,
    assumed: impl Fn(usize, u64) -> usize,
    traffic: Traffic,
    seed: u64,
) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut allowances: Vec<Allowance> = (0..routers)
        .map(|router| {
            let phase = phase(router, routers, &format!("up-{seed}"));
            Allowance::new(limit(per_s), assumed(router, 0), phase, at(0))
        })
        .collect();
    let mut sent = Vec::new();
    for ms in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        for (router, allowance) in allowances.iter_mut().enumerate() {
            allowance.update(limit(per_s), assumed(router, ms), at(ms));
            let arrives = traffic.arrives(ms, per_s, routers, &mut random);
            if arrives && allowance.is_ready(at(ms)) {
                allowance.take(at(ms));
                sent.push(ms);
            }
        }
    }
    sent
}

#[rstest]
fn a_fleet_keeps_to_the_limit_without_messages(
    #[values(1, 8, 12, 60, 295)] routers: usize,
    #[values(0.0, 0.5, 1.5, 6.2, 25.0)] per_s: f64,
    #[values(
        Traffic::Pressing,
        Traffic::Sudden,
        Traffic::Times(4.0),
        Traffic::Bursts(8.0)
    )]
    traffic: Traffic,
) {
    for seed in 0..4 {
        let sent = fleet(per_s, routers, |_, _| routers, traffic, seed);
        let most = most_in_a_window(&sent);
        assert!(most as f64 <= allowed(per_s), "seed {seed}: {most}");
        let mean = sent.len() as f64 / (LENGTH_MS as f64 / 1e3);
        assert!(mean <= per_s + 0.2, "seed {seed}: {mean}/s");
    }
}

/// A tenth of the routers starts or stops, and each router learns of it within two seconds.
#[rstest]
fn a_fleet_keeps_to_the_limit_while_routers_start_and_stop(
    #[values(8, 12, 60, 295)] routers: usize,
    #[values(0.5, 6.2, 25.0)] per_s: f64,
) {
    let fewer = routers - routers.div_ceil(10);
    let assumed = |router: usize, ms: u64| {
        let lag = 2_000 * router as u64 / routers as u64;
        let is_changed = (ms + 10_000 - lag) / 5_000 % 2 == 1;
        if is_changed { fewer } else { routers }
    };
    for seed in 0..4 {
        let sent = fleet(per_s, routers, assumed, Traffic::Pressing, seed);
        let most = most_in_a_window(&sent);
        assert!(most as f64 <= allowed(per_s), "seed {seed}: {most}");
    }
}

#[rstest]
fn a_pressing_fleet_uses_most_of_the_limit(
    #[values(1, 8, 12, 60, 295)] routers: usize,
    #[values(0.5, 1.5, 6.2, 25.0)] per_s: f64,
) {
    let sent = fleet(per_s, routers, |_, _| routers, Traffic::Pressing, 1);
    let mean = sent.len() as f64 / (LENGTH_MS as f64 / 1e3);
    assert!(mean >= 0.5 * per_s, "{mean}/s");
}

/// Requests for the keys that a leader leaves to an upstream in need.
#[rstest]
fn a_small_fleet_serves_what_is_planned_for_the_limit(#[values(1, 8, 12)] routers: usize) {
    let per_s = 6.2;
    let sent = fleet(per_s, routers, |_, _| routers, Traffic::Times(0.3), 1);
    let served = sent.len() as f64 / (0.3 * per_s * LENGTH_MS as f64 / 1e3);
    assert!(served >= 0.5, "{served}");
}

proptest! {
    #[test]
    fn no_fleet_exceeds_the_limit(
        routers in 1_usize..=300,
        per_s in 0.0..30.0_f64,
        times in 0.1..20.0_f64,
        is_in_bursts: bool,
        seed: u64,
    ) {
        let traffic = if is_in_bursts { Traffic::Bursts(times) } else { Traffic::Times(times) };
        let sent = fleet(per_s, routers, |_, _| routers, traffic, seed);
        let most = most_in_a_window(&sent);
        prop_assert!(most as f64 <= allowed(per_s), "{most} of {}", allowed(per_s));
    }

    #[test]
    fn a_request_is_allowed_when_its_delay_has_passed(
        routers in 1_usize..=300,
        per_s in 0.0..1_000.0_f64,
        phase in 0.0..1.0_f64,
    ) {
        let allowance = Allowance::new(limit(per_s), routers, phase, at(0));
        let delay = allowance.delay(at(0));
        prop_assert!(allowance.is_ready(at(0) + delay + Duration::from_millis(1)));
        if !delay.is_zero() {
            prop_assert!(!allowance.is_ready(at(0)));
        }
    }
}

fn refusal(step: &Step) -> Refusal {
    match step {
        Step::Refuse(refusal) => *refusal,
        other => panic!("{other:?}"),
    }
}

/// Sends a request each 10 ms that is answered after 5 ms, and returns how many `one` got.
fn sent_to_one(service: &mut Service, from_ms: u64, to_ms: u64) -> usize {
    let mut count = 0;
    for ms in (from_ms..to_ms).step_by(10) {
        let step = service.admit(request(ms, None, ms), at(ms));
        let upstream = sent_to(&step).unwrap().to_owned();
        count += usize::from(upstream == "one");
        let answered = Report::Answered { failed: false };
        service.end(&upstream, None, at(ms), answered, at(ms + 5));
    }
    count
}

#[test]
fn requests_beyond_the_limit_go_to_another_upstream() {
    let one = upstream("one", NEAR, 4);
    let mut service = service(&[one.clone(), upstream("two", FAR, 4)]);
    service.set_routers(4, 0, at(0));
    assert!(service.set_limit(&one, limit(5.0), at(0)));
    assert!(sent_to_one(&mut service, 0, 10_000) <= 12);
    assert!(service.lift_limit(&one, at(10_000), at(10_000 + 100)));
    assert!(sent_to_one(&mut service, 10_000, 11_000) >= 90);
}

#[test]
fn a_request_waits_if_the_limit_allows_it_soon_and_is_refused_at_once_otherwise() {
    let one = upstream("one", NEAR, 2);
    let mut service = keyed();
    service.set_limit(&one, limit(2.5), at(0));
    assert_eq!(service.admit(request(1, Some(7), 0), at(0)), Step::Wait);
    let next = refusal(&service.admit(request(2, Some(7), 0), at(0)));
    assert_eq!(next.reason, Reason::Limited);
    assert!(service.poll(at(430)).is_empty());
    let done = service.poll(at(460));
    assert_eq!(sent_to(&done[0].1), Some("one"));
    // The keys of the upstream move to others within about half a second.
    assert!(next.retry_after <= Duration::from_millis(1_000), "{next:?}");
}

#[test]
fn a_request_that_no_upstream_accepts_is_refused_with_the_time_until_the_first_does() {
    let (one, two) = (upstream("one", NEAR, 2), upstream("two", NEAR, 2));
    let mut service = service(&[one.clone(), two.clone()]);
    service.set_limit(&one, limit(0.2), at(0));
    service.defer(&two, Duration::from_millis(1_500), at(0));
    let deferred = refusal(&service.admit(request(8, None, 0), at(0)));
    assert_eq!(deferred.reason, Reason::Deferred);
    assert_eq!(deferred.retry_after, Duration::from_millis(1_500));
    service.defer(&two, Duration::from_secs(60), at(0));
    let limited = refusal(&service.admit(request(8, None, 0), at(0)));
    assert_eq!(limited.reason, Reason::Limited);
    assert_eq!(limited.retry_after, Duration::from_secs(5));
}

#[test]
fn a_limit_applies_to_one_process_even_if_its_entry_disappears_meanwhile() {
    let one = upstream("one", NEAR, 2);
    let mut service = service(std::slice::from_ref(&one));
    service.set_routers(100, 0, at(0));
    service.set_limit(&one, limit(1.0), at(0));
    service.set_upstreams(Vec::new(), at(100));
    service.sweep(at(5_000));
    service.set_upstreams(vec![one.clone()], at(10_000));
    let step = service.admit(request(1, None, 10_000), at(10_000));
    assert_eq!(refusal(&step).reason, Reason::Limited);
    let mut next = (*one).clone();
    next.incarnation += 1;
    service.set_upstreams(vec![next.into()], at(10_400));
    let step = service.admit(request(2, None, 10_500), at(10_500));
    assert_eq!(sent_to(&step), Some("one"));
}

/// Answers on different connections overtake each other.
#[test]
fn an_answer_to_a_request_from_before_the_limit_does_not_end_it() {
    let one = upstream("one", NEAR, 2);
    let mut service = service(std::slice::from_ref(&one));
    assert!(service.set_limit(&one, limit(1.0), at(100)));
    assert!(!service.set_limit(&one, limit(1.0), at(200)));
    assert!(!service.lift_limit(&one, at(150), at(150 + 100)));
    assert_eq!(service.limit_of(&one), Some(limit(1.0)));
    assert!(service.lift_limit(&one, at(201), at(201 + 100)));
    assert_eq!(service.limit_of(&one), None);
}

#[test]
fn a_hedge_does_not_exceed_the_limit() {
    let two = upstream("two", NEAR, 2);
    let mut service = service(&[upstream("one", NEAR, 2), two.clone()]);
    service.set_routers(100, 0, at(0));
    service.set_limit(&two, limit(1.0), at(0));
    let mut hedged = request(1, None, 0);
    assert_eq!(sent_to(&service.admit(hedged.clone(), at(0))), Some("one"));
    hedged.tried.push("one".into());
    assert_eq!(service.hedge(&hedged, at(200)), None);
}

/// The answer was on its way while the upstream restarted under its name.
#[test]
fn a_limit_of_an_earlier_process_does_not_bind_the_listed_one() {
    let mut earlier = (*upstream("one", NEAR, 2)).clone();
    let listed = upstream("one", NEAR, 2);
    earlier.incarnation = 0;
    let mut service = service(std::slice::from_ref(&listed));
    service.set_limit(&listed, limit(5.0), at(0));
    assert!(!service.set_limit(&earlier, limit(1.0), at(100)));
    assert_eq!(service.limit_of(&listed), Some(limit(5.0)));
}
