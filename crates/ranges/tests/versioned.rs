//! Deltas lead from one version of a map to another, whichever versions a follower has missed.

use eelgrassrock_model::Revision;
use eelgrassrock_ranges::map::{Instance, Map};
use eelgrassrock_ranges::versioned::VersionedMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn change(map: &mut Map, random: &mut ChaCha8Rng) {
    for _ in 0..random.random_range(1..5) {
        match random.random_range(0..3) {
            0 => map.split_before(random.random_range(1..=u16::MAX)),
            1 => {
                let index = random.random_range(0..map.ranges.len());
                let instance = Instance {
                    upstream: format!("u{}", random.random_range(0..9)).into(),
                    incarnation: 1,
                };
                map.reassign(index, instance);
            }
            _ => {
                let index = random.random_range(0..map.ranges.len());
                map.ranges[index].sources.clear();
            }
        }
    }
    // Merges two ranges under a new token, as a plan does.
    if map.ranges.len() > 12 {
        let to = map.ranges[4].to;
        map.ranges[3].to = to;
        map.ranges[3].fence = map.take_fence();
        map.ranges.remove(4);
    }
}

/// One follower asks now and then, so it misses versions; another one receives each.
#[rstest]
fn followers_have_the_same_map_as_the_relay(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut relay = VersionedMap::new(Map::unowned(), Revision::new(0, 1));
    let mut often = relay.clone();
    let mut rarely = relay.since(Revision::default()).into_whole().unwrap();
    let mut version = Revision::new(0, 1);
    for _ in 0..200 {
        let before = version;
        version.number += random.random_range(1..4);
        let mut map = relay.map().clone();
        change(&mut map, &mut random);
        relay.advance(map, version);
        assert_eq!(often.apply(relay.since(before)), Ok(true));
        assert_eq!(often.map(), relay.map());
        if random.random_bool(0.2) {
            let delta = relay.since(rarely.version());
            assert_eq!(rarely.apply(delta), Ok(true));
            assert_eq!(rarely.map(), relay.map());
        }
    }
}

#[test]
fn deltas_to_an_unknown_version_are_not_applied() {
    let mut relay = VersionedMap::new(Map::unowned(), Revision::new(0, 1));
    let mut behind = relay.clone();
    for version in [2, 3] {
        let mut map = relay.map().clone();
        map.split_before(1_000 * version as u16);
        relay.advance(map, Revision::new(0, version));
    }
    let last = relay.since(Revision::new(0, 2));
    assert_eq!(behind.apply(last), Ok(false));
    assert_eq!(behind.version(), Revision::new(0, 1));
    assert_eq!(
        relay.apply(behind.since(Revision::default())),
        Ok(false),
        "it is older"
    );
    assert!(relay.since(Revision::new(0, 2)).into_whole().is_err());
}

/// The store has lost the version that a follower has, and the leader continues from an earlier
/// one.
#[test]
fn a_follower_gets_the_whole_map_in_a_new_era() {
    let mut leader = VersionedMap::new(Map::unowned(), Revision::new(1, 90));
    let mut follower = leader.clone();
    let mut lost = leader.map().clone();
    lost.split_before(4_096);
    follower.advance(lost, Revision::new(1, 95));
    leader.advance(leader.map().clone(), Revision::new(2, 85));
    assert_eq!(follower.apply(leader.since(follower.version())), Ok(true));
    assert_eq!(follower.map(), leader.map());
    assert_eq!(follower.version(), Revision::new(2, 85));
}
