//! Which data centres are evacuated, and whom requests are sent to meanwhile.

mod support;

use std::time::Duration;

use eelgrassrock_dispatch::evacuation::{Change, Evacuations, Mark};
use eelgrassrock_dispatch::service::{Reason, Report, Service, Step};
use eelgrassrock_model::Revision;
use rstest::rstest;
use support::{FAR, NEAR, at, request, sent_to, service, span, upstream};

const BOUND: Duration = Duration::from_secs(5);

/// A row of one of two data centres at a version, given as its era and number.
fn mark(data_centre: &str, version: (u64, u64), is_present: bool) -> Mark {
    Mark {
        data_centre: data_centre.into(),
        version: Revision::new(version.0, version.1),
        is_present,
    }
}

/// News of a row of [`NEAR`].
#[derive(Clone, Copy, Debug)]
enum News {
    Written(u64, u64),
    Removed(u64, u64),
    /// A whole table complete to a version, with the version at which the row in it was written.
    Table(u64, u64, Option<(u64, u64)>),
}

use News::{Removed, Table, Written};

fn apply(evacuations: &mut Evacuations, news: News) {
    match news {
        Written(era, number) => drop(evacuations.record(&mark(NEAR, (era, number), true), at(0))),
        Removed(era, number) => drop(evacuations.record(&mark(NEAR, (era, number), false), at(0))),
        Table(era, number, row) => {
            let marks: Vec<Mark> = row
                .map(|version| mark(NEAR, version, true))
                .into_iter()
                .collect();
            evacuations.replace(&marks, Revision::new(era, number), at(0));
        }
    }
}

#[rstest]
#[case::nothing(&[], false)]
#[case::written(&[Written(0, 5)], true)]
#[case::removed(&[Written(0, 5), Removed(0, 7)], false)]
#[case::again(&[Written(0, 5), Removed(0, 7), Written(0, 9)], true)]
#[case::removed_again(&[Written(0, 5), Removed(0, 7), Written(0, 9), Removed(0, 11)], false)]
#[case::removal_overtakes(&[Removed(0, 7), Written(0, 5)], false)]
#[case::second_row_overtakes(&[Written(0, 9), Written(0, 5), Removed(0, 7)], true)]
#[case::late_repeat(&[Written(0, 5), Removed(0, 7), Written(0, 5)], false)]
#[case::in_a_table(&[Table(0, 6, Some((0, 5)))], true)]
#[case::gone_from_a_table(&[Written(0, 5), Table(0, 8, None)], false)]
#[case::older_table_without_it(&[Written(0, 5), Table(0, 4, None)], true)]
#[case::older_table_with_it(&[Written(0, 5), Removed(0, 7), Table(0, 6, Some((0, 5)))], false)]
#[case::row_older_than_a_table_without_it(&[Table(0, 8, None), Written(0, 5)], false)]
#[case::row_after_a_table(&[Table(0, 8, None), Written(0, 9)], true)]
#[case::restored_without_it(&[Written(0, 5), Table(1, 3, None)], true)]
#[case::restored_without_it_and_removed(&[Written(0, 5), Table(1, 3, None), Removed(1, 4)], false)]
#[case::restored_with_it(&[Written(0, 5), Table(1, 6, Some((1, 5)))], true)]
#[case::restored_with_it_and_removed(
    &[Written(0, 5), Table(1, 6, Some((1, 5))), Table(1, 9, None)], false
)]
#[case::restored_after_its_removal(&[Written(0, 5), Removed(0, 7), Table(1, 6, Some((1, 5)))], false)]
#[case::earlier_row_restored(
    &[Written(0, 5), Removed(0, 7), Written(0, 9), Removed(0, 11), Table(1, 6, Some((1, 5)))], false
)]
#[case::written_after_a_restore(
    &[Written(0, 5), Removed(0, 7), Table(1, 3, None), Written(1, 4)], true
)]
#[case::before_the_restore_from_a_slow_router(
    &[Written(0, 5), Table(1, 6, Some((1, 5))), Removed(1, 8), Written(0, 9)], false
)]
fn the_last_word_counts(#[case] news: &[News], #[case] is_evacuated: bool) {
    let mut evacuations = Evacuations::new(BOUND);
    for one in news {
        apply(&mut evacuations, *one);
    }
    assert_eq!(evacuations.is_evacuated(NEAR), is_evacuated);
}

/// A change that arrives twice, from the store and from another router, is told once.
#[test]
fn each_change_is_told_once() {
    let mut evacuations = Evacuations::new(BOUND);
    let mut tell =
        |version, is_present| evacuations.record(&mark(NEAR, (0, version), is_present), at(0));
    assert!(matches!(tell(5, true), Some(Change::Began(_))));
    assert_eq!(tell(5, true), None);
    assert_eq!(tell(6, true), None, "written again while in force");
    assert!(matches!(tell(7, false), Some(Change::Ended(_))));
    assert_eq!(tell(7, false), None);
    assert!(matches!(tell(8, true), Some(Change::Began(_))));
}

#[test]
fn two_data_centres_are_evacuated_independently() {
    let mut evacuations = Evacuations::new(BOUND);
    evacuations.record(&mark(NEAR, (0, 5), true), at(0));
    let both = [mark(NEAR, (0, 5), true), mark(FAR, (0, 6), true)];
    let changes = evacuations.replace(&both, Revision::new(0, 6), at(0));
    assert_eq!(changes.len(), 1);
    assert_eq!(evacuations.all().count(), 2);
    evacuations.replace(&both[1..], Revision::new(0, 7), at(0));
    assert!(evacuations.is_evacuated(FAR) && !evacuations.is_evacuated(NEAR));
}

/// Evacuates data centres as from rows that arrive at `ms`.
fn evacuate(service: &mut Service, data_centres: &[&str], ms: u64) {
    let mut evacuations = Evacuations::new(BOUND);
    for data_centre in data_centres {
        evacuations.record(&mark(data_centre, (0, 5), true), at(ms));
    }
    service.set_evacuations(evacuations.all());
}

fn reason(step: &Step) -> Option<Reason> {
    match step {
        Step::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    }
}

fn two_data_centres() -> Service {
    service(&[upstream("near", NEAR, 2), upstream("far", FAR, 2)])
}

#[test]
fn an_evacuated_upstream_is_not_chosen_until_the_evacuation_ends() {
    let mut service = two_data_centres();
    evacuate(&mut service, &[NEAR], 0);
    let step = service.admit(request(1, None, 10), at(10));
    assert_eq!(sent_to(&step), Some("far"));
    assert!(!service.may_send("near", at(10)));
    assert!(service.may_send("far", at(10)));
    evacuate(&mut service, &[], 20);
    let step = service.admit(request(2, None, 20), at(20));
    assert_eq!(sent_to(&step), Some("near"));
}

/// The evacuation becomes known while requests are at work, wait in the queue or wait for a hedge.
#[test]
fn neither_queue_nor_hedge_nor_repeat_reaches_an_evacuated_upstream() {
    let mut service = two_data_centres();
    let mut first = request(0, None, 0);
    assert_eq!(sent_to(&service.admit(first.clone(), at(0))), Some("near"));
    for ticket in 1..6 {
        service.admit(request(ticket, None, 0), at(0));
    }
    let waiting = service.admit(request(6, None, 0), at(0));
    assert_eq!(waiting, Step::Wait);
    evacuate(&mut service, &[NEAR], 10);
    assert_eq!(service.in_flight_evacuated(), 3, "work under way goes on");
    let is_near = |step: &Step| sent_to(step) == Some("near");
    for ms in [20, 40] {
        service.end("near", None, at(0), Report::Refused, at(ms));
        assert!(!service.poll(at(ms)).iter().any(|(_, step)| is_near(step)));
    }
    for _ in 0..3 {
        service.end(
            "far",
            None,
            at(0),
            Report::Answered { failed: false },
            at(50),
        );
    }
    let done = service.poll(at(200));
    assert_eq!(done.len(), 1);
    assert_eq!(sent_to(&done[0].1), Some("far"));
    service.end(
        "far",
        None,
        at(200),
        Report::Answered { failed: false },
        at(210),
    );
    first.tried = vec!["far".into()];
    assert_eq!(service.hedge(&first, at(220)), None);
    let again = service.retry(first, at(220));
    assert!(!is_near(&again), "{again:?}");
}

/// A request that waits while the last upstreams are evacuated must not wait until its caller gives
/// up.
#[test]
fn requests_are_refused_at_once_while_all_upstreams_are_evacuated() {
    let mut service = two_data_centres();
    for ticket in 0..6 {
        service.admit(request(ticket, None, 0), at(0));
    }
    assert_eq!(service.admit(request(6, None, 0), at(0)), Step::Wait);
    evacuate(&mut service, &[NEAR, FAR], 10);
    let done = service.poll(at(10));
    assert_eq!(done.len(), 1);
    assert_eq!(reason(&done[0].1), Some(Reason::Evacuated));
    let delays: Vec<Duration> = (8..16)
        .map(
            |ticket| match service.admit(request(ticket, None, 20), at(20)) {
                Step::Refuse(refusal) => {
                    assert_eq!(refusal.reason, Reason::Evacuated);
                    refusal.retry_after
                }
                step => panic!("{step:?}"),
            },
        )
        .collect();
    assert!(delays.iter().all(|delay| *delay >= Duration::from_secs(1)));
    assert!(delays[0] < delays[7], "callers return spread");
}

fn keyed_in_two_data_centres() -> Service {
    let mut service = two_data_centres();
    service.set_spans(Some(vec![
        span(0, 99, Some("near")),
        span(100, u16::MAX, Some("far")),
    ]));
    service
}

/// The holder alone may serve its keys until they have moved, but it must get nothing any more well
/// before the bound, since a request takes a while to arrive.
#[test]
fn an_evacuated_holder_serves_its_keys_for_a_share_of_the_bound() {
    let mut service = keyed_in_two_data_centres();
    evacuate(&mut service, &[NEAR], 0);
    let step = service.admit(request(1, Some(7), 1_900), at(1_900));
    assert_eq!(sent_to(&step), Some("near"));
    assert!(service.may_send("near", at(1_900)));
    let step = service.admit(request(2, Some(7), 2_000), at(2_000));
    assert_eq!(step, Step::Wait);
    assert!(!service.may_send("near", at(2_000)));
    service.set_spans(Some(vec![span(0, u16::MAX, Some("far"))]));
    let done = service.poll(at(2_010));
    assert_eq!(sent_to(&done[0].1), Some("far"));
}

/// A router that starts finds the row in the table. It may have stood there for long.
#[test]
fn a_holder_gets_nothing_if_the_age_of_the_evacuation_is_unknown() {
    let mut service = keyed_in_two_data_centres();
    let mut evacuations = Evacuations::new(BOUND);
    evacuations.replace(&[mark(NEAR, (0, 5), true)], Revision::new(0, 9), at(0));
    service.set_evacuations(evacuations.all());
    assert_eq!(service.admit(request(1, Some(7), 0), at(0)), Step::Wait);
    assert!(!service.may_send("near", at(0)));
}

#[rstest]
#[case::held(Some("near"))]
#[case::released(None)]
fn requests_for_keys_are_refused_at_once_while_all_upstreams_are_evacuated(
    #[case] holder: Option<&str>,
) {
    let mut service = keyed_in_two_data_centres();
    service.set_spans(Some(vec![span(0, u16::MAX, holder)]));
    evacuate(&mut service, &[NEAR, FAR], 0);
    let step = service.admit(request(1, Some(7), 2_500), at(2_500));
    assert_eq!(reason(&step), Some(Reason::Evacuated));
}

/// A new list of upstreams must not open an evacuated one, and applies to upstreams that start in the
/// data centre.
#[test]
fn an_evacuation_applies_to_upstreams_that_start_there() {
    let mut service = service(&[upstream("far", FAR, 2)]);
    evacuate(&mut service, &[NEAR], 0);
    let all = vec![upstream("far", FAR, 2), upstream("near", NEAR, 2)];
    service.set_upstreams(all, at(10));
    for ticket in 0..4 {
        let step = service.admit(request(ticket, None, 10), at(10));
        assert_ne!(sent_to(&step), Some("near"));
    }
}
