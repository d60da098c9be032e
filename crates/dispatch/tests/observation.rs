//! Observations of limits that routers pass to each other, late and out of order.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use eelgrassrock_dispatch::limit::Limit;
use eelgrassrock_dispatch::observation::{Change, Observation, Observations};
use eelgrassrock_dispatch::service::Service;
use eelgrassrock_dispatch::upstream::Upstream;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{NEAR, at, service, upstream};

const PER_S: f64 = 6.4;

fn limit() -> Limit {
    Limit::per_s(PER_S).unwrap()
}

fn router(number: usize) -> Observations {
    Observations::new(format!("router-{number}").into(), 0)
}

/// Returns the only observation of a router.
fn only(router: &Observations, ms: u64) -> Observation {
    let [observation] = <[_; 1]>::try_from(router.all(at(ms))).unwrap();
    observation
}

#[test]
fn routers_learn_of_a_limit_and_of_its_end() {
    let up = upstream("up", NEAR, 2);
    let (mut one, mut two) = (router(1), router(2));
    one.observe(&up, limit(), at(0));
    assert_eq!(two.merge(&only(&one, 100), at(150)), Change::Set(limit()));
    assert_eq!(two.limit_per_s(&up, at(200)), Some(PER_S));
    two.observe_end(&up, at(300));
    assert_eq!(one.merge(&only(&two, 400), at(450)), Change::Lift);
    assert_eq!(one.limit_per_s(&up, at(500)), None);
}

/// The message was held up by a link, or its sender was frozen.
#[test]
fn a_late_end_does_not_lift_a_limit_that_was_set_again() {
    let up = upstream("up", NEAR, 2);
    let (mut one, mut two) = (router(1), router(2));
    one.observe(&up, limit(), at(0));
    two.merge(&only(&one, 0), at(10));
    two.observe_end(&up, at(20));
    let late = only(&two, 30);
    one.observe(&up, limit(), at(1_000));
    assert_eq!(one.merge(&late, at(5_000)), Change::None);
    assert_eq!(one.limit_per_s(&up, at(5_000)), Some(PER_S));
}

#[test]
fn a_late_limit_that_has_ended_is_not_set_again() {
    let up = upstream("up", NEAR, 2);
    let (mut one, mut two, mut three) = (router(1), router(2), router(3));
    one.observe(&up, limit(), at(0));
    let late = only(&one, 0);
    two.merge(&late, at(10));
    three.merge(&late, at(10));
    two.observe_end(&up, at(20));
    assert_eq!(three.merge(&only(&two, 30), at(40)), Change::Lift);
    assert_eq!(three.merge(&late, at(3_000)), Change::None);
    assert_eq!(two.merge(&late, at(3_000)), Change::None);
}

#[test]
fn an_observation_that_returns_changes_nothing() {
    let up = upstream("up", NEAR, 2);
    let (mut one, mut two) = (router(1), router(2));
    one.observe(&up, limit(), at(0));
    let sent = only(&one, 0);
    two.merge(&sent, at(10));
    assert_eq!(one.merge(&only(&two, 20), at(900)), Change::None);
    assert_eq!(two.merge(&sent, at(900)), Change::None);
}

#[test]
fn observations_of_a_router_count_after_its_restart() {
    let up = upstream("up", NEAR, 2);
    let mut two = router(2);
    let mut before = Observations::new("router-1".into(), 1_000);
    before.observe(&up, limit(), at(0));
    two.merge(&only(&before, 0), at(10));
    let mut after = Observations::new("router-1".into(), 2_000);
    after.observe_end(&up, at(500));
    assert_eq!(two.merge(&only(&after, 600), at(610)), Change::Lift);
}

#[test]
fn a_limit_that_no_answer_names_again_no_longer_counts() {
    let up = upstream("up", NEAR, 2);
    let mut one = router(1);
    one.observe(&up, limit(), at(0));
    assert_eq!(one.limit_per_s(&up, at(9_999)), Some(PER_S));
    assert_eq!(one.limit_per_s(&up, at(10_000)), None);
    assert!(one.all(at(10_000)).is_empty());
    let mut next = (*up).clone();
    next.incarnation += 1;
    assert_eq!(one.limit_per_s(&next, at(1)), None);
}

/// Router of a fleet, with the time at which each limit that it knows of was named.
struct Member {
    observations: Observations,
    service: Service,
    named_ms: Option<u64>,
}

/// Messages on their way, by the time of their arrival.
type Messages = BTreeMap<(u64, usize), (usize, Vec<Observation>, Option<u64>)>;

/// Plays routers that get answers from one upstream and send each other what they know, with
/// delays of up to `delay_ms`. Panics if a message lifts a limit at a router that knew of a naming
/// since which the upstream has named the limit without a break.
fn play(seed: u64, routers: usize, delay_ms: u64) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let up: Arc<Upstream> = upstream("up", NEAR, 2);
    let mut members: Vec<Member> = (0..routers)
        .map(|number| Member {
            observations: router(number),
            service: service(std::slice::from_ref(&up)),
            named_ms: None,
        })
        .collect();
    let mut messages = Messages::new();
    let (mut is_limited, mut last_free_ms) = (false, 0);
    let (mut lifted, mut set) = (0, 0);
    for ms in 1..20_000_u64 {
        if random.random_bool(0.001) {
            is_limited = !is_limited;
        }
        if !is_limited {
            last_free_ms = ms;
        }
        let number = random.random_range(0..routers);
        if random.random_bool(0.05) {
            let member = &mut members[number];
            if is_limited {
                member.service.set_limit(&up, limit(), at(ms));
                member.observations.observe(&up, limit(), at(ms));
                member.named_ms = Some(ms);
            } else if member.service.lift_limit(&up, at(ms), at(ms)) {
                member.observations.observe_end(&up, at(ms));
                member.named_ms = None;
            }
        }
        if random.random_bool(0.1) {
            let to = random.random_range(0..routers);
            let due = ms + random.random_range(1..=delay_ms);
            let known = members[number].observations.all(at(ms));
            let named_ms = members[number].named_ms;
            messages.insert((due, messages.len()), (to, known, named_ms));
        }
        let later = messages.split_off(&(ms + 1, 0));
        for (_, (to, observations, named_ms)) in std::mem::replace(&mut messages, later) {
            let member = &mut members[to];
            for observation in observations {
                match member.observations.merge(&observation, at(ms)) {
                    Change::None => {}
                    Change::Set(limit) => {
                        set += 1;
                        member.service.set_limit(&up, limit, at(ms));
                        member.named_ms = named_ms;
                    }
                    Change::Lift => {
                        lifted += 1;
                        let was_free = member.named_ms.is_none_or(|named| named <= last_free_ms);
                        assert!(was_free, "seed {seed}: router {to} at {ms} ms");
                        member.service.lift_limit(&up, at(ms), at(ms));
                        member.named_ms = None;
                    }
                }
            }
        }
    }
    (set, lifted)
}

#[test]
fn fleets_learn_of_limits_and_ends_from_each_other() {
    let (set, lifted) = play(1, 12, 400);
    assert!(set > 50 && lifted > 5, "{set} set, {lifted} lifted");
}

proptest! {
    #[test]
    fn no_late_message_lifts_a_limit_that_is_still_named(
        seed: u64,
        routers in 2_usize..20,
        delay_ms in 1_u64..9_000,
    ) {
        play(seed, routers, delay_ms);
    }
}
