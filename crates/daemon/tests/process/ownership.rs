//! Checks that no two upstreams considered themselves owner of a shard at the same time.

use std::time::SystemTime;

use eelgrassrock_standin::upstream::Tenure;
use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;

use super::{Fleet, Upstream};

/// JSON report of an upstream about its tenures.
#[derive(Deserialize)]
struct Report {
    tenures: Vec<Tenure>,
}

/// Tenure of a shard with the name of its upstream.
#[derive(Clone, Debug)]
struct UpstreamTenure {
    upstream: String,
    tenure: Tenure,
}

impl Fleet {
    /// Asserts that no two of the upstreams that answer have ever considered themselves
    /// owner of the same shard at the same time.
    pub async fn assert_exclusive_ownership(&self) {
        let mut by_shard: IndexMap<u32, Vec<UpstreamTenure>> = IndexMap::new();
        for upstream in &self.upstreams {
            for held in upstream.tenures().await {
                by_shard
                    .entry(held.tenure.grant.shard)
                    .or_default()
                    .push(held);
            }
        }
        assert!(!by_shard.is_empty(), "no upstream ever owned a shard");
        for held in by_shard.values_mut() {
            held.sort_by_key(|held| held.tenure.from_us);
            assert_disjoint(held);
        }
    }
}

impl Upstream {
    /// Returns the tenures that follow an earlier one with the same shard and epoch. The
    /// grant lapsed between the two.
    pub async fn gaps(&self) -> Vec<Tenure> {
        let mut seen = IndexSet::new();
        let tenures = self.tenures().await.into_iter().map(|held| held.tenure);
        tenures
            .filter(|tenure| !seen.insert(tenure.grant))
            .collect()
    }

    async fn tenures(&self) -> Vec<UpstreamTenure> {
        let read_us = now_us();
        let Some(report) = self.report::<Report>("/grants/v1/tenures").await else {
            return Vec::new();
        };
        let held = |tenure: Tenure| UpstreamTenure {
            upstream: self.name.clone(),
            // An order may still change the part of the tenure after the read.
            tenure: Tenure {
                until_us: tenure.until_us.min(read_us),
                ..tenure
            },
        };
        report.tenures.into_iter().map(held).collect()
    }
}

fn assert_disjoint(held: &[UpstreamTenure]) {
    for (index, earlier) in held.iter().enumerate() {
        for later in &held[index + 1..] {
            let same = earlier.upstream == later.upstream;
            let apart = earlier.tenure.until_us <= later.tenure.from_us;
            assert!(same || apart, "two owners at once: {earlier:?}, {later:?}");
        }
    }
}

fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap().as_micros()).unwrap()
}
