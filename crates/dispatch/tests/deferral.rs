//! Upstreams that asked for no requests for a while.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::service::{Reason, Refusal, Report, Step};
use support::{FAR, NEAR, at, keyed, request, sent_to, service, upstream};

fn refusal(step: &Step) -> Refusal {
    match step {
        Step::Refuse(refusal) => *refusal,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_deferred_upstream_gets_nothing_until_its_pause_ends() {
    let one = upstream("one", NEAR, 4);
    let mut service = service(&[one.clone(), upstream("two", FAR, 4)]);
    service.defer(&one, Duration::from_millis(1_000), at(0));
    for n in 0..10 {
        let ms = n * 99;
        let step = service.admit(request(n, None, ms), at(ms));
        assert_eq!(sent_to(&step), Some("two"));
        service.end(
            "two",
            None,
            at(ms),
            Report::Answered { failed: false },
            at(ms + 50),
        );
    }
    let step = service.admit(request(20, None, 1_000), at(1_000));
    assert_eq!(sent_to(&step), Some("one"));
}

/// Requests that were queued before have not been sent, and must not be.
#[test]
fn waiting_requests_are_refused_with_the_remaining_time() {
    let mut service = keyed();
    let mut waiting = 0;
    for ticket in 0..8 {
        let step = service.admit(request(ticket, Some(7), 0), at(0));
        waiting += usize::from(step == Step::Wait);
    }
    assert!(waiting > 0);
    let one = upstream("one", NEAR, 2);
    service.defer(&one, Duration::from_millis(3_000), at(100));
    service.end("one", Some(7), at(0), Report::Refused, at(100));
    let done = service.poll(at(101));
    assert_eq!(done.len(), waiting);
    for (_, step) in &done {
        let refusal = refusal(step);
        assert_eq!(refusal.reason, Reason::Deferred);
        assert!(refusal.retry_after >= Duration::from_millis(2_899));
    }
}

/// Waiting for a pause that ends early costs a request less time than a refusal and a retry.
#[test]
fn a_request_waits_for_a_short_pause() {
    let mut service = keyed();
    let one = upstream("one", NEAR, 2);
    service.defer(&one, Duration::from_millis(300), at(0));
    assert_eq!(service.admit(request(1, Some(7), 0), at(0)), Step::Wait);
    assert!(service.poll(at(299)).is_empty());
    let done = service.poll(at(300));
    assert_eq!(sent_to(&done[0].1), Some("one"));
}

/// The registry entry of an upstream may expire and return. A new process has asked for no pause.
#[test]
fn a_pause_applies_to_one_process() {
    let one = upstream("one", NEAR, 2);
    let mut service = service(std::slice::from_ref(&one));
    service.defer(&one, Duration::from_millis(5_000), at(0));
    service.set_upstreams(Vec::new(), at(100));
    service.set_upstreams(vec![one.clone()], at(200));
    let step = service.admit(request(1, None, 300), at(300));
    assert_eq!(refusal(&step).reason, Reason::Deferred);
    let mut next = (*one).clone();
    next.incarnation += 1;
    service.set_upstreams(vec![next.into()], at(400));
    let step = service.admit(request(2, None, 500), at(500));
    assert_eq!(sent_to(&step), Some("one"));
}

#[test]
fn a_hedge_does_not_go_to_a_deferred_upstream() {
    let two = upstream("two", NEAR, 2);
    let mut service = service(&[upstream("one", NEAR, 2), two.clone()]);
    service.defer(&two, Duration::from_millis(500), at(0));
    let mut hedged = request(1, None, 0);
    assert_eq!(sent_to(&service.admit(hedged.clone(), at(0))), Some("one"));
    hedged.tried.push("one".into());
    assert_eq!(service.hedge(&hedged, at(200)), None);
}
