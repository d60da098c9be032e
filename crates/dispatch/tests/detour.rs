//! Which router handles a request in place of one that is cut off from the upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::detour::{Detours, End, Peer};
use eelgrassrock_model::time::Instant;
use rstest::rstest;

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(20);

fn peers(count: usize) -> Vec<Peer> {
    let peer = |number: usize| Peer {
        name: format!("router-{number}").into(),
        is_near: number.is_multiple_of(4),
        size: 200,
    };
    (1..=count).map(peer).collect()
}

fn number(name: &str) -> usize {
    name.trim_start_matches("router-").parse().unwrap()
}

/// Plays requests for some seconds. Returns how many were handled from the second one on, how many
/// calls were made in all, and the number of requests by router.
fn play(
    count: usize,
    reaches: impl Fn(usize) -> bool,
    seconds: u64,
) -> (usize, usize, BTreeMap<usize, usize>) {
    let peers = peers(count);
    let mut detours = Detours::default();
    let (mut handled, mut calls, mut by_router) = (0, 0, BTreeMap::new());
    let steps = seconds * 1_000 / INTERVAL.as_millis() as u64;
    for step in 0..steps {
        let now = Instant::from_millis(step * INTERVAL.as_millis() as u64);
        let mut tried: Vec<Arc<str>> = Vec::new();
        while let Some(name) = detours.choose(&peers, &tried, now) {
            calls += 1;
            if reaches(number(&name)) {
                detours.end(&name, End::Handled, now);
                *by_router.entry(number(&name)).or_default() += 1;
                handled += usize::from(now >= Instant::from_millis(1_000));
                break;
            }
            detours.end(&name, End::Unsuited, now);
            tried.push(name);
        }
    }
    (handled, calls, by_router)
}

#[rstest]
#[case::one_of_eight_reaches(7, 7)]
#[case::most_of_a_small_fleet(11, 4)]
#[case::a_third_of_a_large_fleet(294, 3)]
fn requests_find_the_routers_that_reach_the_upstreams(#[case] count: usize, #[case] every: usize) {
    let (handled, calls, _) = play(count, |number| number.is_multiple_of(every), 6);
    assert_eq!(handled, 250);
    assert!(calls < 2 * 300, "{calls}");
}

#[rstest]
#[case::two(2)]
#[case::small(11)]
#[case::large(294)]
fn while_no_router_reaches_the_upstreams_few_are_asked(#[case] count: usize) {
    let (handled, calls, _) = play(count, |_| false, 10);
    assert_eq!(handled, 0);
    // At most eight within a second.
    assert!(calls <= 8 * 11, "{calls}");
}

#[test]
fn requests_are_spread_over_the_routers_that_serve_them() {
    let peers = peers(8);
    let mut detours = Detours::default();
    let mut by_router: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut open = Vec::new();
    for step in 0..400 {
        let now = Instant::from_millis(step * 10);
        let name = detours.choose(&peers, &[], now).unwrap();
        *by_router.entry(Arc::clone(&name)).or_default() += 1;
        open.push(name);
        if open.len() > 20 {
            detours.end(&open.remove(0), End::Handled, now);
        }
    }
    let most = by_router.values().max().unwrap();
    assert_eq!(by_router.len(), 8);
    assert!(*most < 150, "{by_router:?}");
}

#[test]
fn a_router_that_recovers_is_used_again() {
    let peers = peers(1);
    let mut detours = Detours::default();
    let start = Instant::from_millis(0);
    let name = detours.choose(&peers, &[], start).unwrap();
    detours.end(&name, End::Unsuited, start);
    assert_eq!(detours.choose(&peers, &[], start + INTERVAL), None);
    let later = start + Duration::from_millis(1_000);
    assert_eq!(detours.choose(&peers, &[], later), Some(name));
}

#[test]
fn one_router_that_turns_many_requests_away_together_does_not_end_the_search() {
    let peers = peers(4);
    let mut detours = Detours::default();
    let now = Instant::from_millis(0);
    let under_way: Vec<Arc<str>> = (0..40)
        .filter_map(|_| detours.choose(&peers, &[], now))
        .collect();
    assert_eq!(under_way.len(), 40);
    for name in &under_way {
        detours.end(name, End::Unsuited, now);
    }
    let next = detours.choose(&peers, &[], now);
    assert!(next.is_some_and(|name| !under_way.contains(&name)));
}
