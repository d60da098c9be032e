//! What a router does that can't open connections to the upstreams.

mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::service::{Detour, Reason, Report, Service, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use rstest::rstest;
use support::{NEAR, at, request, service, upstream};

fn upstreams(names: &[String]) -> Vec<Arc<Upstream>> {
    names.iter().map(|name| upstream(name, NEAR, 2)).collect()
}

/// Lets a request try an upstream, which can't be reached.
fn fail(service: &mut Service, ticket: u64, now: Instant) -> bool {
    let Step::Send {
        upstream, started, ..
    } = service.admit(request(ticket, None, 0), now)
    else {
        return false;
    };
    service.record_connect(&upstream.id, false, now);
    service.end(&upstream.id, None, started, Report::Unreachable, now);
    true
}

fn cut_off(count: usize) -> Service {
    let names: Vec<String> = (0..count).map(|number| format!("up-{number}")).collect();
    let mut service = service(&upstreams(&names));
    for (number, name) in names.iter().enumerate() {
        service.record_connect(name, false, at(number as u64));
    }
    service
}

#[rstest]
#[case::all_of_many(8, 8, true)]
#[case::all_of_two(2, 2, true)]
#[case::the_only_one(1, 1, true)]
#[case::two_of_many(8, 2, false)]
#[case::three_of_four(4, 3, true)]
#[case::three_of_eight(8, 3, false)]
fn a_router_suspects_itself_only_if_it_reaches_few(
    #[case] count: usize,
    #[case] failed: usize,
    #[case] expected: bool,
) {
    let names: Vec<String> = (0..count).map(|number| format!("up-{number}")).collect();
    let mut service = service(&upstreams(&names));
    for (number, name) in names.iter().enumerate() {
        service.record_connect(name, number >= failed, at(0));
    }
    assert_eq!(service.is_cut_off(at(100)), expected);
    assert!(!service.is_cut_off(at(5_000)));
}

#[test]
fn requests_take_a_detour_but_for_a_few_that_try_an_upstream() {
    let mut service = cut_off(8);
    let mut probes = 0;
    for step in 0..100 {
        let now = at(100 + step * 40);
        probes += usize::from(fail(&mut service, step, now));
    }
    // One each half a second.
    assert!((4..=10).contains(&probes), "{probes}");
}

#[test]
fn a_request_from_another_router_is_refused_at_once() {
    let mut service = cut_off(8);
    assert!(fail(&mut service, 1, at(100)));
    let mut passed_on = request(2, None, 110);
    passed_on.detour = Detour::Forbidden;
    let Step::Refuse(refusal) = service.admit(passed_on, at(110)) else {
        panic!("it can't be served");
    };
    assert_eq!(refusal.reason, Reason::OutOfReach);
}

#[test]
fn upstreams_that_can_be_reached_again_are_used_at_once() {
    let mut service = cut_off(8);
    service.record_connect("up-3", true, at(100));
    assert!(service.is_cut_off(at(110)));
    // The first ones find out about others.
    let chosen = |service: &mut Service, ticket: u64, now: Instant| match service
        .admit(request(ticket, None, 110), now)
    {
        Step::Send { upstream, .. } => Some(upstream.id.to_string()),
        _ => None,
    };
    let names: Vec<_> = (0..4)
        .filter_map(|ticket| chosen(&mut service, ticket, at(110 + ticket)))
        .collect();
    assert!(names.iter().any(|name| name == "up-3"), "{names:?}");
    let start = at(200);
    for number in 0..8 {
        let now = start + Duration::from_millis(number);
        service.record_connect(&format!("up-{number}"), true, now);
    }
    assert!(!service.is_cut_off(at(300)));
}

#[test]
fn requests_wait_for_the_only_upstream_that_survives() {
    let mut service = cut_off(5);
    let names: Vec<String> = (0..6).map(|number| format!("up-{number}")).collect();
    service.set_upstreams(upstreams(&names), at(100));
    // One of them is sent to an upstream that may be back.
    fail(&mut service, 100, at(100));
    assert!(service.is_cut_off(at(110)));
    let (mut sent, mut waiting) = (0, 0);
    for ticket in 0..20 {
        match service.admit(request(ticket, None, 110), at(110)) {
            Step::Send { upstream, .. } => {
                assert_eq!(&*upstream.id, "up-5");
                sent += 1;
            }
            Step::Wait => waiting += 1,
            step => panic!("{step:?}"),
        }
    }
    assert!(sent > 0 && waiting > 0, "{sent} {waiting}");
}
