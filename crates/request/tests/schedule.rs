//! Random schedules of arrivals and failures over two routers and one table, checked
//! against a model of the upstreams that counts runs.

mod cluster;
mod support;

use cluster::{Cluster, Op};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        max_shrink_iters: 4_000,
        failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn no_key_runs_twice_or_is_misreported(ops in prop::collection::vec(any::<Op>(), 20..300)) {
        let mut cluster = Cluster::new();
        for op in ops {
            cluster.apply(op);
        }
        cluster.run_to_completion();
    }
}
