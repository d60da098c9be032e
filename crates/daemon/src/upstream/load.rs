//! Measures the busy time of the upstreams of this router by shard.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eelgrassrock_model::Upstream;
use eelgrassrock_model::shard::Shard;
use eelgrassrock_ownership::Load;

type Shards = HashMap<Shard, Duration>;

/// Guard that measures how long one attempt keeps a slot busy, until it is dropped.
#[derive(Debug)]
pub(crate) struct BusyGuard {
    meter: Arc<Meter>,
    upstream: Upstream,
    shard: Shard,
    since: Instant,
}

impl BusyGuard {
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

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.meter
            .add(&self.upstream, self.shard, self.since.elapsed());
    }
}

/// Busy time by upstream and shard since the last report.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    busy: Mutex<HashMap<Upstream, Shards>>,
}

impl Meter {
    /// Adds the time for which one attempt kept a slot busy.
    fn add(&self, upstream: &Upstream, shard: Shard, span: Duration) {
        let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
        let shards = busy.entry(upstream.clone()).or_default();
        *shards.entry(shard).or_default() += span;
    }

    /// Returns the busy times since the last call, `window` ago, and resets them.
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
