//! Records the periods in which an upstream considered itself the owner of a shard.
//!
//! Times come from the system clock, which all stand-ins on one machine share. A
//! test can therefore check afterwards, exactly and across processes, whether two
//! upstreams ever owned the same shard at the same time.

use std::time::SystemTime;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::grant::Grant;

/// Period in which an upstream considered itself the owner of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenure {
    /// Shard and epoch.
    #[serde(flatten)]
    pub grant: Grant,
    /// Start of the period (inclusive), in microseconds since the Unix epoch.
    pub from_us: u64,
    /// End of the period (exclusive), in microseconds since the Unix epoch. It may
    /// be in the future.
    pub until_us: u64,
}

#[derive(Debug, Default)]
pub(crate) struct History {
    ended: Vec<Tenure>,
    open: IndexMap<Grant, Tenure>,
}

impl History {
    /// Records that `grants` replace all earlier ones and are valid for `left_us` from now.
    pub(crate) fn replace(&mut self, grants: &[Grant], now: SystemTime, left_us: u64) {
        let now_us = unix_micros(now);
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

fn unix_micros(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    let since = since.expect("the system clock is set after 1970");
    since.as_micros() as u64
}
