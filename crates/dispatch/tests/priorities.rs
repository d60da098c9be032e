//! Decisions on requests of several priorities for one service.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::place::Place;
use eelgrassrock_dispatch::service::{Detour, Reason, Report, Request, Service, Step};
use rstest::rstest;
use support::{FAR, NEAR, at, keyed, limits, request, sent_to, service, span, upstream};

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
    for ticket in 100..160 {
        let request = Request {
            priority: 0,
            ..request(ticket, None, 0)
        };
        service.admit(request, at(0));
        if ticket >= 104 {
            service.cancel(ticket);
        }
    }
    service
}

/// Less urgent requests aren't refused early for the sake of urgent ones that don't come.
#[test]
fn requests_wait_as_long_as_they_can_if_hardly_any_are_more_urgent() {
    let mut service = service(&[upstream("one", NEAR, 1)]);
    service.set_priorities(&[0, 2]);
    for ticket in 0..6 {
        let request = Request {
            priority: 2,
            ..request(ticket, None, 0)
        };
        service.admit(request, at(0));
    }
    for ticket in 10..40 {
        let request = Request {
            priority: 2,
            ..request(ticket, None, 300)
        };
        assert_eq!(service.admit(request, at(300)), Step::Wait);
        service.cancel(ticket);
    }
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

/// Lets an urgent request come and go.
fn see_urgent(service: &mut Service) {
    let request = Request {
        priority: 0,
        ..request(50, Some(7), 0)
    };
    let step = service.admit(request, at(0));
    let upstream = sent_to(&step).expect("a free slot");
    service.end(upstream, Some(7), at(0), Report::NotSent, at(0));
}

/// Less urgent requests for a key don't queue at its holder, where urgent ones would wait for them.
#[test]
fn less_urgent_requests_wait_until_a_slot_of_the_holder_is_free() {
    let mut service = keyed();
    service.set_priorities(&[0, 2]);
    see_urgent(&mut service);
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

/// A holder of four slots keeps one for urgent requests if there are any. Routers that aren't neighbours
/// use as many of its slots as those that are.
#[rstest]
#[case::two_taken(true, 1, 2, true)]
#[case::three_taken(true, 1, 3, false)]
#[case::one_taken_by_a_third_of_the_routers(true, 58, 1, false)]
#[case::none_taken(true, 58, 0, true)]
#[case::nothing_urgent(false, 1, 3, true)]
#[case::nothing_urgent_of_many_routers(false, 58, 1, true)]
fn less_urgent_requests_leave_a_slot_of_the_holder_free(
    #[case] is_urgent_seen: bool,
    #[case] routers: usize,
    #[case] told: u32,
    #[case] is_sent: bool,
) {
    let mut service = Service::new(NEAR.into(), limits());
    service.set_place(Place::new(0, routers.div_ceil(3), 7));
    service.set_upstreams(vec![upstream("one", NEAR, 4)], at(0));
    service.set_routers(routers, 0, at(0));
    service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
    service.set_priorities(&[0, 2]);
    if is_urgent_seen {
        see_urgent(&mut service);
    }
    let counts = [("one", told)].into_iter();
    service.record_peer_counts(&"router-2".into(), counts, at(0));
    let mut admit = |ticket, priority| {
        let request = Request {
            priority,
            ..request(ticket, Some(7), 0)
        };
        sent_to(&service.admit(request, at(0))).is_some()
    };
    assert_eq!(admit(1, 2), is_sent);
    assert!(admit(3, 0), "an urgent request is sent");
}
