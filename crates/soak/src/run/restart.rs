//! Upstreams that end without notice and start again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::join;
use tokio::time::sleep;

use super::Cluster;
use super::inject::ENTRY_TIMEOUT;
use crate::checker::Subject;
use crate::proxy::Proxy;
use crate::upstream::Server;

/// Delay before an upstream that ended starts again.
pub(super) const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Shortest and longest delay before an upstream that a request ended starts again.
const MIN_DELAY: Duration = Duration::from_secs(2);
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Maximum time from the start of an upstream until its registry entry is written, if the
/// entry is late.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(6);
/// Part of the seed from which restarts are drawn.
const RESTARTS: u64 = 0x7265_7374_6172_7473;

/// How an upstream starts again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    pub(super) keeps_id: bool,
    pub(super) keeps_address: bool,
    /// Time from the end until the start.
    pub(super) delay: Duration,
    /// Time from the start until the registry entry is written.
    pub(super) entry_delay: Duration,
    /// Whether the entry of the ended process expires if the new one is late.
    pub(super) expires: bool,
    /// Whether an upstream that leaves registers that, or its entry is just removed.
    pub(super) is_announced: bool,
}

impl Restart {
    pub(super) fn draw(seed: u64, incarnation: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ RESTARTS ^ ((incarnation as u64) << 32));
        let entry_delay = MAX_ENTRY_DELAY.mul_f64(random.random_range(0.0..1.0));
        Self {
            keeps_address: random.random_bool(0.7),
            entry_delay: if random.random_bool(0.6) {
                entry_delay
            } else {
                Duration::ZERO
            },
            expires: random.random_bool(0.5),
            keeps_id: random.random_bool(0.5),
            delay: random.random_range(MIN_DELAY..MAX_DELAY),
            is_announced: random.random_bool(0.5),
        }
    }
}

impl Cluster {
    /// Starts an upstream again that has ended without notice.
    pub(super) async fn restart(
        &self,
        slot: usize,
        ended: &Arc<Server>,
        proxy: &Arc<Proxy>,
        restart: Restart,
    ) {
        let incarnation = AtomicUsize::new(ended.incarnation);
        let has_entry = AtomicBool::new(false);
        let is_current = || {
            let current = self.slot(slot).0.incarnation;
            current == incarnation.load(Ordering::Relaxed)
        };
        let start = async {
            sleep(restart.delay).await;
            let name = restart.keeps_id.then(|| ended.id.clone());
            let kept = restart.keeps_address.then(|| Arc::clone(proxy));
            let Some((server, proxy)) = self.succeed(slot, ended, name, kept).await else {
                return;
            };
            incarnation.store(server.incarnation, Ordering::Relaxed);
            if proxy.control.is_impaired() {
                self.checker
                    .disturb(Subject::Upstream(server.incarnation), Duration::ZERO);
            }
            sleep(restart.entry_delay).await;
            if is_current() {
                has_entry.store(true, Ordering::Relaxed);
                self.register(&server, &proxy, false);
            }
        };
        let expire = async {
            sleep(ENTRY_TIMEOUT).await;
            if !restart.keeps_id {
                self.remove_entry(&ended.id);
                self.checker.leave(ended.incarnation);
            } else if restart.expires && !has_entry.load(Ordering::Relaxed) && is_current() {
                self.store.unregister(&ended.id);
            }
        };
        join!(start, expire);
    }
}
