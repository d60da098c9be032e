//! The plan balances the load, moves few keys, and spreads runs of hot keys.

use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::load::Counts;
use eelgrassrock_ranges::map::{Instance, Map, Range};
use eelgrassrock_ranges::plan::{Candidate, rebalance};
use rstest::rstest;

fn instance(name: &str) -> Instance {
    Instance {
        upstream: name.into(),
        incarnation: 1,
    }
}

fn candidate(name: &str, capacity_per_s: f64) -> Candidate {
    Candidate {
        instance: instance(name),
        capacity_per_s,
        leaving: false,
    }
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|n| candidate(&format!("u{n:02}"), 40.0))
        .collect()
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Counts of `hot` requests for the run of 60 keys from 30,000 and `even` requests over all keys,
/// within one second.
fn counts(hot: usize, even: usize) -> Counts {
    let mut counts = Counts::new(at(0));
    counts.record((0..hot).map(|n| 30_000 + (n % 60) as u16));
    counts.record((0..even).map(|n| ((n * 40_503) % 65_536) as u16));
    counts
}

/// Plans until nothing changes, as if every move were carried out at once.
fn rebalance_fully(mut map: Map, counts: &mut Counts, candidates: &[Candidate]) -> (Map, usize) {
    let load = counts.load(at(1), candidates.len());
    for round in 0..50 {
        let Some(mut next) = rebalance(&map, &load, candidates, |_| false, 8) else {
            return (map, round);
        };
        next.ranges
            .iter_mut()
            .for_each(|range| range.sources.clear());
        next.check().unwrap();
        map = next;
    }
    panic!("the plan never settles: {map:?}");
}

/// Use of each upstream, where `carried` gives the load of a range.
fn usage_by(map: &Map, candidates: &[Candidate], carried: impl Fn(&Range) -> f64) -> Vec<f64> {
    let of = |candidate: &Candidate| {
        let own = map
            .ranges
            .iter()
            .filter(|range| range.holder.as_ref() == Some(&candidate.instance));
        own.map(&carried).sum::<f64>() / candidate.capacity_per_s
    };
    candidates.iter().map(of).collect()
}

fn usage(map: &Map, counts: &mut Counts, candidates: &[Candidate]) -> Vec<f64> {
    let load = counts.load(at(1), candidates.len());
    usage_by(map, candidates, |range| load.of(range))
}

#[test]
fn the_first_plan_gives_every_key_a_holder_and_every_upstream_keys() {
    let candidates = candidates(11);
    let mut counts = counts(0, 0);
    let load = counts.load(at(1), 11);
    let map = rebalance(&Map::unowned(), &load, &candidates, |_| false, 8).unwrap();
    map.check().unwrap();
    assert!(
        map.ranges
            .iter()
            .all(|range| range.holder.is_some() && range.sources.is_empty())
    );
    for candidate in &candidates {
        assert!(
            map.ranges
                .iter()
                .any(|range| range.holder.as_ref() == Some(&candidate.instance))
        );
    }
}

#[rstest]
#[case::four(4)]
#[case::fourteen(14)]
fn a_hot_run_of_sixty_keys_is_spread_over_several_upstreams(#[case] count: usize) {
    let candidates = candidates(count);
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts(0, 3_000), &candidates);
    let mut hot = counts(1_300, 1_700);
    let (map, rounds) = rebalance_fully(map, &mut hot, &candidates);
    let usage = usage(&map, &mut hot, &candidates);
    let mean = usage.iter().sum::<f64>() / usage.len() as f64;
    let most = usage.iter().copied().fold(0.0, f64::max);
    assert!(most <= 1.6 * mean, "after {rounds} rounds {usage:?}");
    let holders: std::collections::HashSet<_> = map
        .ranges
        .iter()
        .filter(|range| range.from < 30_060 && range.to >= 30_000)
        .map(|range| range.holder.clone())
        .collect();
    assert!(holders.len() >= 3.min(count / 2), "{holders:?}");
}

#[test]
fn a_hot_run_moves_few_keys() {
    let candidates = candidates(14);
    let (before, _) = rebalance_fully(Map::unowned(), &mut counts(0, 3_000), &candidates);
    let (after, _) = rebalance_fully(before.clone(), &mut counts(1_300, 1_700), &candidates);
    let moved = (0..=u16::MAX)
        .filter(|key| before.range(*key).holder != after.range(*key).holder)
        .count();
    assert!(moved < 65_536 / 2, "{moved} keys moved");
}

#[test]
fn a_faster_upstream_carries_more() {
    let candidates = vec![candidate("fast", 60.0), candidate("slow", 20.0)];
    let mut counts = counts(0, 4_000);
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts, &candidates);
    let usage = usage(&map, &mut counts, &candidates);
    assert!((usage[0] - usage[1]).abs() < 0.4 * usage[0], "{usage:?}");
}

#[test]
fn a_leaving_upstream_gives_up_all_keys_and_a_new_one_gets_some() {
    let mut all = candidates(4);
    let mut counts = counts(0, 2_000);
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts, &all);
    all[0].leaving = true;
    all.push(candidate("new", 40.0));
    let (map, _) = rebalance_fully(map, &mut counts, &all);
    let holds = |name: &str| {
        map.ranges
            .iter()
            .any(|range| range.holder == Some(instance(name)))
    };
    assert!(!holds("u00"));
    assert!(holds("new"));
}

#[test]
fn an_even_load_moves_nothing() {
    let candidates = candidates(8);
    let mut counts = counts(0, 4_000);
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts, &candidates);
    let load = counts.load(at(1), 8);
    assert_eq!(rebalance(&map, &load, &candidates, |_| false, 8), None);
}

#[test]
fn one_key_that_is_hotter_than_an_upstream_does_not_move() {
    let candidates = candidates(4);
    let mut counts = Counts::new(at(0));
    counts.record(std::iter::repeat_n(30_000, 2_000));
    counts.record((0..1_000).map(|n| (n * 60) as u16));
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts, &candidates);
    let load = counts.load(at(1), 4);
    assert_eq!(rebalance(&map, &load, &candidates, |_| false, 8), None);
}

/// One key gets more requests than its holder can serve while all upstreams are busy, so moving it
/// to the least used upstream helps nobody.
#[test]
fn a_key_hotter_than_its_holder_moves_to_the_fastest_upstream_and_stays() {
    let mut candidates = candidates(4);
    candidates.push(candidate("z-fast", 90.0));
    let mut map = Map::unowned();
    let starts = [0, 20_000, 20_001, 30_000, 45_000];
    let holders = ["u01", "u00", "u02", "u03", "z-fast"];
    for start in starts {
        map.split_before(start);
    }
    for (index, holder) in holders.iter().enumerate() {
        map.reassign(index, instance(holder));
    }
    // 60 a second for the one key. `z-fast` uses about as much of its capacity as the others use of
    // theirs.
    let mut counts = Counts::new(at(0));
    counts.record(std::iter::repeat_n(20_000, 104));
    counts.record((0..45).map(|n| (n * 440) as u16));
    counts.record((0..45).map(|n| (20_001 + n * 220) as u16));
    counts.record((0..45).map(|n| (30_000 + n * 330) as u16));
    counts.record((0..100).map(|n| (45_000 + n * 200) as u16));
    let (map, _) = rebalance_fully(map, &mut counts, &candidates);
    assert_eq!(map.range(20_000).holder, Some(instance("z-fast")));
}

/// Even load for all keys, and a single key with far more requests than any upstream can serve.
fn hot_key(key: u16, hot: usize, even: usize) -> Counts {
    let mut counts = counts(0, even);
    counts.record(std::iter::repeat_n(key, hot));
    counts
}

/// Use of each upstream by all keys but one.
fn usage_without(map: &Map, key: u16, counts: &mut Counts, candidates: &[Candidate]) -> Vec<f64> {
    let load = counts.load(at(1), candidates.len());
    usage_by(map, candidates, |range| {
        let is_in = (range.from..=range.to).contains(&key);
        load.of(range) - if is_in { load.between(key, key) } else { 0.0 }
    })
}

/// A key that overloads its holder must not keep the other keys from being balanced. With 107
/// upstreams, three hot keys once stopped all moves, and for 20 s the requests for the hot run
/// beside them were refused.
#[test]
fn a_key_that_no_upstream_can_serve_does_not_stop_the_balancing_of_the_others() {
    let candidates = candidates(14);
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts(0, 3_000), &candidates);
    let mut both = counts(1_300, 1_700);
    both.record(std::iter::repeat_n(10_000, 2_000));
    let (map, _) = rebalance_fully(map, &mut both, &candidates);
    let usage = usage_without(&map, 10_000, &mut both, &candidates);
    let mean = usage.iter().sum::<f64>() / usage.len() as f64;
    let most = usage.iter().copied().fold(0.0, f64::max);
    assert!(most <= 1.6 * mean, "{usage:?}");
}

/// The keys beside a key that overloads its holder can be served elsewhere.
#[test]
fn the_neighbours_of_a_key_that_overloads_its_holder_move_away() {
    let candidates = candidates(14);
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts(0, 3_000), &candidates);
    let mut hot = hot_key(30_000, 2_000, 2_000);
    let (map, _) = rebalance_fully(map, &mut hot, &candidates);
    let holder = map.range(30_000).holder.clone();
    let load = hot.load(at(1), candidates.len());
    let beside: f64 = map
        .ranges
        .iter()
        .filter(|range| range.holder == holder && range.from != 30_000)
        .map(|range| load.of(range))
        .sum();
    assert_eq!(map.range(30_000).to, 30_000, "{map:?}");
    assert!(
        beside < 0.1 * 40.0,
        "{beside} requests/s beside the hot key"
    );
}

#[test]
fn hot_keys_of_several_holders_each_move_to_a_fast_upstream() {
    let mut candidates = candidates(14);
    for fast in [3, 7, 11] {
        candidates[fast].capacity_per_s = 90.0;
    }
    let (map, _) = rebalance_fully(Map::unowned(), &mut counts(0, 3_000), &candidates);
    let mut hot = counts(0, 2_000);
    for key in [10_000, 30_000, 50_000] {
        hot.record(std::iter::repeat_n(key, 500));
    }
    let (map, _) = rebalance_fully(map, &mut hot, &candidates);
    let mut holders: Vec<_> = [10_000, 30_000, 50_000]
        .map(|key| map.range(key).holder.clone().unwrap().upstream)
        .to_vec();
    holders.sort();
    assert_eq!(holders, ["u03".into(), "u07".into(), "u11".into()]);
}

/// Runs of hot keys that move on, on hundreds of upstreams, are each split into single keys. A map
/// that exceeds the size of a row could never be written again.
#[test]
fn a_map_with_many_splits_still_fits_in_a_row() {
    const ROW_BYTES: usize = 64 << 10;
    let candidates: Vec<Candidate> = (0..394)
        .map(|n| candidate(&format!("i-{:08x}", n * 7_919), 3.0 + f64::from(n % 5)))
        .collect();
    let mut map = Map::unowned();
    for run in 0..60_u16 {
        let mut counts = Counts::new(at(0));
        counts.record((0..1_500_u32).map(|n| ((n * 40_503) % 65_536) as u16));
        counts.record((0..1_500).map(|n| run * 1_000 + (n % 200)));
        let load = counts.load(at(1), candidates.len());
        if let Some(next) = rebalance(&map, &load, &candidates, |_| false, 134) {
            map = next;
            map.check().unwrap();
        }
        let bytes: usize = map.ranges.iter().map(encoded_bytes).sum();
        assert!(
            bytes < ROW_BYTES,
            "{bytes} bytes, {} ranges",
            map.ranges.len()
        );
        map.ranges
            .iter_mut()
            .for_each(|range| range.sources.clear());
    }
}

/// Encoded size of a range in a row: integers of variable length, and names with their length.
fn encoded_bytes(range: &Range) -> usize {
    const INCARNATION_BYTES: usize = 6;
    let instance = |instance: &Instance| 1 + instance.upstream.len() + INCARNATION_BYTES;
    let holder = range.holder.as_ref().map_or(0, instance);
    3 + 3 + 4 + 1 + holder + 1 + range.sources.iter().map(instance).sum::<usize>()
}
