//! Requests for keys go to the holder, and are handled when it doesn't hold the key.

mod support;

use std::sync::Arc;

use eelgrassrock_dispatch::service::{Reason, Report, Step};
use eelgrassrock_dispatch::upstream::Upstream;
use rstest::rstest;
use support::{NEAR, at, keyed, leaving, request, sent_to, service, span, upstream};

#[test]
fn a_request_goes_to_the_holder_of_its_key() {
    let mut service = service(&[upstream("one", NEAR, 2), upstream("two", NEAR, 2)]);
    service.set_spans(Some(vec![
        span(0, 99, Some("one")),
        span(100, u16::MAX, Some("two")),
    ]));
    let low = service.admit(request(1, Some(99), 0), at(0));
    let high = service.admit(request(2, Some(100), 0), at(0));
    assert_eq!((sent_to(&low), sent_to(&high)), (Some("one"), Some("two")));
}

#[test]
fn a_request_for_keys_in_transfer_waits_for_the_next_holder() {
    let mut service = service(&[upstream("one", NEAR, 2), upstream("two", NEAR, 2)]);
    service.set_spans(Some(vec![span(0, u16::MAX, None)]));
    assert_eq!(service.admit(request(1, Some(7), 0), at(0)), Step::Wait);
    assert!(service.poll(at(50)).is_empty());
    service.set_spans(Some(vec![span(0, u16::MAX, Some("two"))]));
    let done = service.poll(at(60));
    assert_eq!(done.len(), 1);
    assert_eq!(sent_to(&done[0].1), Some("two"));
}

/// Guards against a flood of repeats when an address is reused: every waiting request tried the
/// wrong process again every 40 ms, and the repeats of all routers exceeded their budget.
#[test]
fn after_a_holder_refuses_a_key_one_request_probes_it_for_all() {
    let mut service = keyed();
    let mut sends = 0;
    for ticket in 0..20 {
        if sent_to(&service.admit(request(ticket, Some(7), 0), at(0))).is_some() {
            sends += 1;
        }
    }
    assert!(sends <= 3, "two slots and a short queue, but {sends} sends");
    for ms in 1..=400 {
        service.end("one", Some(7), at(0), Report::Misdirected, at(ms));
        sends += service
            .poll(at(ms))
            .iter()
            .filter(|(_, step)| sent_to(step).is_some())
            .count();
    }
    assert!(
        sends <= 8,
        "{sends} sends of 20 requests to a holder that refuses them all"
    );
}

#[test]
fn a_blocked_range_is_unblocked_when_the_map_changes() {
    let mut service = service(&[upstream("one", NEAR, 2), upstream("two", NEAR, 2)]);
    service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
    let first = service.admit(request(1, Some(7), 0), at(0));
    assert_eq!(sent_to(&first), Some("one"));
    service.end("one", Some(7), at(0), Report::Misdirected, at(5));
    let mut again = request(1, Some(7), 0);
    again.is_repeat = true;
    assert_eq!(service.retry(again, at(5)), Step::Wait);
    service.set_spans(Some(vec![span(0, u16::MAX, Some("two"))]));
    let done = service.poll(at(6));
    assert_eq!(sent_to(&done[0].1), Some("two"));
}

/// Guards against the same flood: the budget was checked when a request entered the queue, but not
/// when it left it.
#[test]
fn the_queue_releases_no_more_repeats_than_the_budget_allows() {
    let mut service = keyed();
    service.set_spans(Some(vec![span(0, u16::MAX, None)]));
    for ticket in 0..14 {
        let mut again = request(ticket, Some(7), 0);
        again.is_repeat = true;
        assert_eq!(service.retry(again, at(0)), Step::Wait);
    }
    service.set_spans(Some(vec![span(0, u16::MAX, Some("one"))]));
    let mut repeats = 0;
    for ms in 1..=400 {
        for (_, step) in service.poll(at(ms)) {
            if let Step::Send { started, .. } = step {
                repeats += 1;
                let report = Report::Answered { failed: false };
                service.end("one", Some(7), started, report, at(ms));
            }
        }
    }
    assert!(repeats > 0);
    assert!(
        repeats <= 10,
        "{repeats} repeats without any first send, 10 are allowed"
    );
}

/// Guards against requests to a holder long after it said that it is leaving: its entry was lost with
/// a restore of the store, and its grace began anew when the entry was back.
#[rstest]
#[case::same_process(1, false)]
#[case::next_process(2, true)]
fn the_grace_of_a_leaving_holder_goes_on_while_its_entry_is_missing(
    #[case] incarnation: u64,
    #[case] is_served: bool,
) {
    let mut service = keyed();
    service.set_upstreams(vec![leaving("one")], at(0));
    service.set_upstreams(Vec::new(), at(200));
    let returned = Upstream {
        incarnation,
        ..(*leaving("one")).clone()
    };
    service.set_upstreams(vec![Arc::new(returned)], at(3_000));
    let step = service.admit(request(1, Some(5), 3_100), at(3_100));
    assert_eq!(matches!(step, Step::Send { .. }), is_served, "{step:?}");
}

#[test]
fn a_leaving_holder_serves_until_its_keys_have_moved() {
    let mut service = keyed();
    service.set_upstreams(vec![leaving("one")], at(0));
    let step = service.admit(request(1, Some(7), 100), at(100));
    assert_eq!(sent_to(&step), Some("one"));
    let step = service.admit(request(2, Some(7), 1_100), at(1_100));
    assert_eq!(step, Step::Wait);
}

#[test]
fn a_request_without_key_to_a_keyed_service_is_refused_at_once() {
    let step = keyed().admit(request(1, None, 0), at(0));
    let Step::Refuse(refusal) = step else {
        panic!("{step:?}");
    };
    assert_eq!(refusal.reason, Reason::NoUpstream);
}

/// A holder stops responding. Requests for its keys must not pile up behind those that it will
/// never answer.
#[test]
fn an_unresponsive_holder_gets_no_more_requests() {
    let mut service = keyed();
    for n in 0..10 {
        let now = at(n * 100);
        let step = service.admit(request(n, Some(7), n * 100), now);
        assert_eq!(sent_to(&step), Some("one"));
        service.end(
            "one",
            Some(7),
            now,
            Report::Answered { failed: false },
            at(n * 100 + 40),
        );
    }
    let sent = (0..2).filter(|n| {
        let step = service.admit(request(100 + n, Some(7), 2_000), at(2_000));
        sent_to(&step).is_some()
    });
    assert_eq!(sent.count(), 2);
    let step = service.admit(request(200, Some(7), 2_400), at(2_400));
    assert_eq!(
        sent_to(&step),
        None,
        "400 ms without an answer that takes 40 ms"
    );
}

/// A transfer of a range takes longer than usual. Callers are refused early enough to try again in
/// their time.
#[test]
fn a_request_without_holder_is_refused_while_its_caller_can_still_retry() {
    let mut service = service(&[upstream("one", NEAR, 2)]);
    service.set_spans(Some(vec![span(0, u16::MAX, None)]));
    assert_eq!(service.admit(request(1, Some(7), 0), at(0)), Step::Wait);
    assert!(service.poll(at(700)).is_empty());
    let done = service.poll(at(900));
    assert!(matches!(done[0].1, Step::Refuse(refusal) if refusal.reason == Reason::NoHolder));
}

/// A holder gets more requests than it can serve, over all routers. Each router sends the share
/// that the leader has set, and refuses the rest at once.
#[test]
fn an_overloaded_holder_is_sent_only_what_it_can_serve() {
    let mut service = keyed();
    service.set_shares(vec![("one".into(), 0.25)]);
    let mut sent = 0;
    for n in 0..100 {
        let now = at(n * 50);
        match service.admit(request(n, Some(7), n * 50), now) {
            Step::Send { started, .. } => {
                sent += 1;
                service.end(
                    "one",
                    Some(7),
                    started,
                    Report::Answered { failed: false },
                    at(n * 50 + 20),
                );
            }
            Step::Refuse(refusal) => assert_eq!(refusal.reason, Reason::Overload),
            Step::Wait | Step::Detour => panic!("the holder has room"),
        }
    }
    assert_eq!(sent, 25);
}

/// With 80 routers and 107 holders, each router sees so few requests for each holder that a
/// separate credit for each pair refused nearly all of them, whatever the share.
#[test]
fn shares_hold_when_each_holder_gets_few_requests() {
    let names: Vec<String> = (0..100).map(|n| format!("up-{n:03}")).collect();
    let upstreams: Vec<_> = names.iter().map(|name| upstream(name, NEAR, 9)).collect();
    let mut service = service(&upstreams);
    let spans = names.iter().enumerate().map(|(n, name)| {
        let from = n as u16 * 600;
        let to = if n == 99 { u16::MAX } else { from + 599 };
        span(from, to, Some(name))
    });
    service.set_spans(Some(spans.collect()));
    let shares = names.iter().map(|name| (name.as_str().into(), 0.8));
    service.set_shares(shares.collect());
    let admitted = (0..200)
        .filter(|n| {
            let key = (n % 100) as u16 * 600;
            let step = service.admit(request(*n, Some(key), *n), at(*n));
            sent_to(&step).is_some()
        })
        .count();
    assert!(
        (150..=170).contains(&admitted),
        "{admitted} of 200 at a share of 0.8"
    );
}
