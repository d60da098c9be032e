//! Choice of the upstream for a request that any upstream may take.

mod support;

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::service::{Reason, Report, Service, Step};
use support::{FAR, NEAR, at, leaving, request, sent_to, service, upstream};

/// Admits a request, answers it after `elapsed_ms`, and returns the upstream that took it.
fn serve(service: &mut Service, ticket: u64, ms: u64, elapsed_ms: u64) -> Option<String> {
    let step = service.admit(request(ticket, None, ms), at(ms));
    let Step::Send {
        upstream, started, ..
    } = step
    else {
        return None;
    };
    let report = Report::Answered { failed: false };
    service.end(&upstream.id, None, started, report, at(ms + elapsed_ms));
    Some(upstream.id.to_string())
}

#[test]
fn the_own_data_centre_is_preferred_while_it_answers_in_time() {
    let mut service = service(&[upstream("far", FAR, 2), upstream("near", NEAR, 2)]);
    for ticket in 0..10 {
        let taken = serve(&mut service, ticket, ticket * 200, 100);
        assert_eq!(taken.as_deref(), Some("near"));
    }
}

#[test]
fn another_data_centre_is_used_when_the_own_one_is_full() {
    let mut service = service(&[upstream("far", FAR, 2), upstream("near", NEAR, 2)]);
    let steps: Vec<Step> = (0..6)
        .map(|n| service.admit(request(n, None, 0), at(0)))
        .collect();
    let far = steps
        .iter()
        .filter(|step| sent_to(step) == Some("far"))
        .count();
    assert!(far >= 2, "{steps:?}");
}

#[test]
fn requests_under_way_from_neighbours_count() {
    let mut service = service(&[upstream("one", NEAR, 2), upstream("two", NEAR, 2)]);
    service.record_peer_counts(&"router-2".into(), [("one", 2)].into_iter(), at(0));
    let step = service.admit(request(1, None, 1), at(1));
    assert_eq!(sent_to(&step), Some("two"));
}

#[test]
fn a_leaving_upstream_gets_nothing() {
    let mut service = service(&[leaving("one")]);
    let step = service.admit(request(1, None, 0), at(0));
    assert!(matches!(step, Step::Refuse(refusal) if refusal.reason == Reason::NoUpstream));
}

#[test]
fn an_unreachable_upstream_is_skipped_and_tried_again_later() {
    let mut service = service(&[upstream("dead", NEAR, 2), upstream("live", FAR, 2)]);
    for n in 0..2 {
        let step = service.admit(request(n, None, n), at(n));
        assert_eq!(sent_to(&step), Some("dead"));
        service.end("dead", None, at(n), Report::Unreachable, at(n));
    }
    assert_eq!(serve(&mut service, 3, 10, 50).as_deref(), Some("live"));
    assert_eq!(serve(&mut service, 4, 5_000, 50).as_deref(), Some("dead"));
}

#[test]
fn an_upstream_that_stopped_answering_is_avoided_before_any_request_fails() {
    let mut service = service(&[upstream("stuck", NEAR, 2), upstream("fine", NEAR, 2)]);
    for n in 0..20 {
        serve(&mut service, n, n * 100, 50);
    }
    let step = service.admit(request(50, None, 3_000), at(3_000));
    let stuck = sent_to(&step).unwrap().to_owned();
    for n in 0..10 {
        let taken = serve(&mut service, 60 + n, 3_400 + n * 100, 50);
        assert_ne!(taken.as_deref(), Some(&*stuck));
    }
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_on_arrival() {
    let mut service = service(&[upstream("one", NEAR, 1)]);
    for n in 0..10 {
        serve(&mut service, n, n * 1_000, 900);
    }
    let steps: Vec<Step> = (0..8)
        .map(|n| service.admit(request(100 + n, None, 10_000), at(10_000)))
        .collect();
    let refused = steps
        .iter()
        .filter(|step| matches!(step, Step::Refuse(_)))
        .count();
    assert!(
        refused >= 5,
        "one slot and 900 ms each, two seconds left: {steps:?}"
    );
    for step in steps {
        if let Step::Refuse(refusal) = step {
            assert!(
                refusal.retry_after >= Duration::from_millis(500),
                "{refusal:?}"
            );
        }
    }
}

#[test]
fn the_request_with_higher_priority_leaves_the_queue_first() {
    let mut service = service(&[upstream("one", NEAR, 1)]);
    let mut started = Vec::new();
    for n in 0..2 {
        if let Step::Send { started: at, .. } = service.admit(request(n, None, 0), at(0)) {
            started.push(at);
        }
    }
    let mut low = request(10, None, 1);
    low.priority = 2;
    let mut high = request(11, None, 2);
    high.priority = 0;
    assert_eq!(service.admit(low, at(1)), Step::Wait);
    assert_eq!(service.admit(high, at(2)), Step::Wait);
    let report = Report::Answered { failed: false };
    service.end("one", None, started[0], report, at(50));
    let tickets: Vec<u64> = service
        .poll(at(50))
        .into_iter()
        .map(|(ticket, _)| ticket)
        .collect();
    assert_eq!(tickets, [11]);
}

#[test]
fn a_request_is_hedged_only_to_an_idle_upstream_within_its_attempts() {
    let mut service = service(&[upstream("one", NEAR, 1), upstream("two", NEAR, 1)]);
    let first = request(1, None, 0);
    let step = service.admit(first.clone(), at(0));
    let mut again = first;
    again.tried.push(sent_to(&step).unwrap().into());
    let other = service.admit(request(2, None, 0), at(0));
    assert!(
        service.hedge(&again, at(300)).is_none(),
        "the other has no free slot"
    );
    let report = Report::Answered { failed: false };
    service.end(sent_to(&other).unwrap(), None, at(0), report, at(300));
    assert!(sent_to(&service.hedge(&again, at(300)).unwrap()).is_some());
    again.runs = 1;
    assert!(
        service.hedge(&again, at(300)).is_none(),
        "its route allows two runs"
    );
}

/// Each message names all upstreams at which its sender has requests under way, so an upstream that
/// it no longer names has none.
#[test]
fn an_upstream_that_another_router_no_longer_names_has_room_again() {
    let mut service = service(&[upstream("one", NEAR, 2), upstream("two", NEAR, 2)]);
    let router = "router-2".into();
    service.record_peer_counts(&router, [("one", 9), ("two", 9)].into_iter(), at(0));
    assert_eq!(service.admit(request(1, None, 1), at(1)), Step::Wait);
    service.record_peer_counts(&router, [("two", 9)].into_iter(), at(50));
    let done = service.poll(at(51));
    assert_eq!(sent_to(&done[0].1), Some("one"));
}

/// A new process of an upstream starts without the requests of the old one.
#[test]
fn counts_for_an_earlier_process_are_dropped() {
    let mut service = service(&[upstream("one", NEAR, 2)]);
    let router = "router-2".into();
    service.record_peer_counts(&router, [("one", 2)].into_iter(), at(0));
    let mut again = Arc::unwrap_or_clone(upstream("one", NEAR, 2));
    again.incarnation += 1;
    service.set_upstreams(vec![Arc::new(again)], at(10));
    let step = service.admit(request(1, None, 11), at(11));
    assert_eq!(sent_to(&step), Some("one"));
    service.record_peer_counts(&router, std::iter::empty(), at(50));
    let step = service.admit(request(2, None, 51), at(51));
    assert_eq!(sent_to(&step), Some("one"));
}
