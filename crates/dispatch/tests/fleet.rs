//! Many small routers in front of many small upstreams (see `support::fleet`).

mod support;

use std::sync::Arc;

use eelgrassrock_dispatch::place::{Place, home};
use eelgrassrock_dispatch::service::{Service, Step};
use rstest::rstest;
use support::fleet::{Fleet, SLOTS};
use support::{NEAR, at, limits, request, upstream};

/// A data centre of the largest deployment at two thirds of its capacity. Without subsets, all
/// routers would choose the same upstream first.
#[rstest]
#[case::many_upstreams(64, 61)]
#[case::more_routers_than_upstreams(60, 36)]
#[case::few_routers(8, 61)]
fn requests_find_free_slots_among_many_upstreams(#[case] routers: usize, #[case] upstreams: usize) {
    let tally = Fleet::new(routers, upstreams, 0.7..1.4, 7).run(0.66);
    let in_time = tally.share_in_time();
    assert!(in_time >= 0.97, "{in_time:.3} in time: {tally:?}");
    assert!(tally.rejected * 200 < tally.all, "{tally:?}");
}

/// A third of the routers are those of an evacuated data centre, and the other upstreams are used at
/// 0.9 of their capacity. Guards against upstreams that these routers overfill, since they know of
/// nobody else's requests there.
#[test]
fn routers_of_an_evacuated_data_centre_find_free_slots_elsewhere() {
    let guests = Fleet::new(60, 26, 0.5..1.5, 7).with_guests(20).run(0.9);
    let at_home = Fleet::new(60, 26, 0.5..1.5, 7).run(0.9);
    let in_time = at_home.share_in_time();
    assert!(in_time >= 0.93, "{in_time:.3} in time: {at_home:?}");
    assert!(guests.share_in_time() < in_time - 0.1, "{guests:?}");
}

/// Routers of an evacuated data centre divide themselves among the others, and stay where they are if
/// a router starts or stops.
#[test]
fn the_routers_of_an_evacuated_data_centre_are_spread_over_the_others() {
    let others: [Arc<str>; 2] = ["dc-b".into(), "dc-c".into()];
    let own = "dc-a".into();
    let names = (0..60).map(|n| format!("router-{n}"));
    let first = names.filter(|name| home(name, &own, &others) == &others[0]);
    let count = first.count();
    assert!((20..=40).contains(&count), "{count}");
}

/// Each upstream is in nearly as many subsets as any other, and one more router changes little.
#[test]
fn subsets_cover_all_upstreams_evenly() {
    let mut counts = vec![0_usize; 61];
    let first_choices = |routers: usize, index: usize| {
        let upstreams: Vec<_> = (0..61)
            .map(|n| upstream(&format!("up-{n}"), NEAR, SLOTS))
            .collect();
        let mut service = Service::new(NEAR.into(), limits());
        service.set_place(Place::new(index, routers, 61));
        service.set_upstreams(upstreams, at(0));
        let sent = (0..6).map(|ticket| service.admit(request(ticket, None, 0), at(0)));
        let number = |step: Step| match step {
            Step::Send { upstream, .. } => upstream.id[3..].parse::<usize>().unwrap(),
            step => panic!("{step:?}"),
        };
        let mut sent: Vec<usize> = sent.map(number).collect();
        sent.sort_unstable();
        sent.dedup();
        sent
    };
    for index in 0..64 {
        let sent = first_choices(64, index);
        sent.iter().for_each(|number| counts[*number] += 1);
        let fewer = first_choices(63, index.min(62));
        let kept = sent.iter().filter(|number| fewer.contains(number)).count();
        assert!(kept + 1 >= sent.len(), "{kept} of {} kept", sent.len());
    }
    let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
    assert!(*least > 0 && most - least <= 4, "{counts:?}");
}
