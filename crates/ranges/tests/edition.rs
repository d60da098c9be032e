//! Changes between two versions of a map lead from one to the other, whatever a
//! follower has missed.

use eelgrassrock_ranges::edition::Edition;
use eelgrassrock_ranges::map::{Life, Map};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn change(map: &mut Map, random: &mut ChaCha8Rng) {
    for _ in 0..random.random_range(1..5) {
        match random.random_range(0..3) {
            0 => map.cut_before(random.random_range(1..=u16::MAX)),
            1 => {
                let index = random.random_range(0..map.ranges.len());
                let life = Life {
                    upstream: format!("u{}", random.random_range(0..9)).into(),
                    incarnation: 1,
                };
                map.reassign(index, life);
            }
            _ => {
                let index = random.random_range(0..map.ranges.len());
                map.ranges[index].sources.clear();
            }
        }
    }
    // Merged under a new token, as a plan does.
    if map.ranges.len() > 12 {
        let to = map.ranges[4].to;
        map.ranges[3].to = to;
        map.ranges[3].fence = map.take_fence();
        map.ranges.remove(4);
    }
}

/// A follower asks now and then, so it misses versions; another one hears of each.
#[rstest]
fn a_follower_has_the_relays_map(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut relay = Edition::new(Map::unowned(), 1);
    let mut often = relay.clone();
    let mut rarely = relay.since(0).into_whole().unwrap();
    let mut version = 1;
    for _ in 0..200 {
        let before = version;
        version += random.random_range(1..4);
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
fn changes_of_a_map_that_is_not_known_are_not_taken() {
    let mut relay = Edition::new(Map::unowned(), 1);
    let mut behind = relay.clone();
    for version in [2, 3] {
        let mut map = relay.map().clone();
        map.cut_before(1_000 * version as u16);
        relay.advance(map, version);
    }
    let last = relay.since(2);
    assert_eq!(behind.apply(last), Ok(false));
    assert_eq!(behind.version(), 1);
    assert_eq!(relay.apply(behind.since(0)), Ok(false), "it is older");
    assert!(relay.since(2).into_whole().is_err());
}
