//! Seeded schedules of arrivals and failures over two routers and one table,
//! checked against a model of the upstreams that counts runs.

mod support;
mod world;

use proptest::prelude::*;
use world::{Op, World};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        max_shrink_iters: 4_000,
        failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_runs_a_key_twice_or_lies(ops in prop::collection::vec(any::<Op>(), 20..300)) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        world.settle();
    }
}
