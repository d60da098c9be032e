//! When an upstream believed that it owned which shard.
//!
//! The times are those of the system's clock, which all stand-ins of one
//! machine share. So a test can tell afterwards, exactly and across processes,
//! whether two upstreams ever owned one shard at the same time.

use std::time::SystemTime;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::grant::Grant;

/// Time during which an upstream believed that it owned a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Shard and epoch.
    #[serde(flatten)]
    pub grant: Grant,
    /// First moment, in microseconds since the Unix epoch.
    pub from_us: u64,
    /// First moment after it, in microseconds since the Unix epoch. It may lie
    /// in the future.
    pub until_us: u64,
}

#[derive(Debug, Default)]
pub(crate) struct History {
    ended: Vec<Tenure>,
    open: IndexMap<Grant, Tenure>,
}

impl History {
    /// Notes that `grants` replace all others, for `left_us` from now.
    pub(crate) fn replace(&mut self, grants: &[Grant], now: SystemTime, left_us: u64) {
        let now_us = micros(now);
        let mut earlier = std::mem::take(&mut self.open);
        for &grant in grants {
            let from_us = match earlier.get(&grant) {
                Some(tenure) if tenure.until_us >= now_us => tenure.from_us,
                _ => now_us,
            };
            if from_us < now_us {
                earlier.swap_remove(&grant);
            }
            let tenure = Tenure {
                grant,
                from_us,
                until_us: now_us + left_us,
            };
            self.open.insert(grant, tenure);
        }
        let ended = earlier.into_values().map(|tenure| Tenure {
            until_us: tenure.until_us.min(now_us),
            ..tenure
        });
        self.ended.extend(ended);
    }

    pub(crate) fn tenures(&self) -> Vec<Tenure> {
        let open = self.open.values();
        self.ended.iter().chain(open).copied().collect()
    }
}

fn micros(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    let since = since.expect("the system's clock is past 1970");
    since.as_micros() as u64
}
