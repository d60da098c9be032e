//! Busy time of the upstreams of this router, by shard.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eelgrassrock_model::Upstream;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_ownership::Load;

type Shards = HashMap<Shard, Duration>;

/// Slot that is kept busy by one attempt. Dropping it ends the measurement.
#[derive(Debug)]
pub(crate) struct Charge {
    meter: Arc<Meter>,
    upstream: Upstream,
    shard: Shard,
    since: Instant,
}

impl Charge {
    /// Starts the measurement.
    pub(crate) fn start(meter: &Arc<Meter>, upstream: Upstream, shard: Shard) -> Self {
        Self {
            meter: Arc::clone(meter),
            upstream,
            shard,
            since: Instant::now(),
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.meter
            .add(&self.upstream, self.shard, self.since.elapsed());
    }
}

/// Busy time since the last report.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    busy: Mutex<HashMap<Upstream, Shards>>,
}

impl Meter {
    /// Adds the time that one attempt kept a slot busy.
    fn add(&self, upstream: &Upstream, shard: Shard, span: Duration) {
        let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
        let shards = busy.entry(upstream.clone()).or_default();
        *shards.entry(shard).or_default() += span;
    }

    /// Returns what was measured over `window` and starts anew.
    pub(crate) fn take(&self, window: Duration) -> Vec<Load> {
        let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *busy);
        drop(busy);
        let load = |(upstream, shards): (Upstream, Shards)| Load {
            upstream,
            window,
            shards: shards.into_iter().collect(),
        };
        taken.into_iter().map(load).collect()
    }
}
