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
fn it_gets_nothing_until_its_time_is_over() {
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

/// What queued before has not been sent, and isn't.
#[test]
fn requests_that_wait_are_refused_with_the_time_that_is_left() {
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

/// A pause that ends early in the time of a request costs it less than a way back.
#[test]
fn a_short_pause_is_waited_for() {
    let mut service = keyed();
    let one = upstream("one", NEAR, 2);
    service.defer(&one, Duration::from_millis(300), at(0));
    assert_eq!(service.admit(request(1, Some(7), 0), at(0)), Step::Wait);
    assert!(service.poll(at(299)).is_empty());
    let done = service.poll(at(300));
    assert_eq!(sent_to(&done[0].1), Some("one"));
}

/// The entry of an upstream may lapse and come back; its next life has asked nothing.
#[test]
fn a_pause_belongs_to_one_life() {
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
fn a_second_question_goes_to_none_that_wants_nothing() {
    let two = upstream("two", NEAR, 2);
    let mut service = service(&[upstream("one", NEAR, 2), two.clone()]);
    service.defer(&two, Duration::from_millis(500), at(0));
    let mut asked = request(1, None, 0);
    assert_eq!(sent_to(&service.admit(asked.clone(), at(0))), Some("one"));
    asked.tried.push("one".into());
    assert_eq!(service.hedge(&asked, at(200)), None);
}
