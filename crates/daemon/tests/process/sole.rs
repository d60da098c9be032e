//! Check that no two upstreams believed at one moment that they own a shard.

use std::time::SystemTime;

use eelgrassrock_standin::upstream::Tenure;
use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;

use super::{Fleet, Upstream};

/// What an upstream tells about its tenures.
#[derive(Deserialize)]
struct Report {
    tenures: Vec<Tenure>,
}

/// Tenure with the upstream that held it.
#[derive(Clone, Debug)]
struct Held {
    upstream: String,
    tenure: Tenure,
}

impl Fleet {
    /// Asserts that no two upstreams that still run have ever believed at one
    /// moment that they own the same shard.
    pub async fn assert_sole_ownership(&self) {
        let mut by_shard: IndexMap<u32, Vec<Held>> = IndexMap::new();
        for upstream in &self.upstreams {
            for held in upstream.tenures().await {
                by_shard
                    .entry(held.tenure.grant.shard)
                    .or_default()
                    .push(held);
            }
        }
        assert!(!by_shard.is_empty(), "nobody ever owned anything");
        for held in by_shard.values_mut() {
            held.sort_by_key(|held| held.tenure.from_us);
            assert_disjoint(held);
        }
    }
}

impl Upstream {
    /// Returns the tenures that followed an earlier one of the same shard and
    /// epoch: between the two the grant had lapsed.
    pub async fn gaps(&self) -> Vec<Tenure> {
        let mut seen = IndexSet::new();
        let tenures = self.tenures().await.into_iter().map(|held| held.tenure);
        tenures
            .filter(|tenure| !seen.insert(tenure.grant))
            .collect()
    }

    async fn tenures(&self) -> Vec<Held> {
        let read_us = now_us();
        let Some(report) = self.report::<Report>("/grants/v1/tenures").await else {
            return Vec::new();
        };
        let held = |tenure: Tenure| Held {
            upstream: self.name.clone(),
            // What lies after the reading may still change by an order.
            tenure: Tenure {
                until_us: tenure.until_us.min(read_us),
                ..tenure
            },
        };
        report.tenures.into_iter().map(held).collect()
    }
}

fn assert_disjoint(held: &[Held]) {
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
