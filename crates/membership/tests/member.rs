//! Failure detection finds the dead, spares the living and heals.

mod bag;

use std::time::Duration;

use bag::Bag;
use rstest::rstest;

#[rstest]
#[case::pair(2)]
#[case::fleet(12)]
#[case::data_centre(40)]
fn learns_all_listed_routers(#[case] count: usize) {
    let mut bag = Bag::new(count, 1, 11);
    bag.run(Duration::from_secs(5));
    for router in 0..count {
        assert_eq!(bag.live(router), bag.names(0..count));
    }
}

#[test]
fn ignores_listed_router_that_never_answers() {
    let mut bag = Bag::new(12, 3, 12);
    bag.stop(5);
    bag.run(Duration::from_secs(4));
    let expected = bag.names((0..12).filter(|index| *index != 5));
    assert_eq!(bag.live(0), expected);
}
