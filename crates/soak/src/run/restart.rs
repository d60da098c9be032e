//! Upstreams that end without notice and start again.

use std::sync::Arc;
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
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Maximum time from the start of an upstream until its registry entry is written, if the
/// entry is late.
const MAX_ENTRY_DELAY: Duration = Duration::from_secs(6);
/// Part of the seed from which restarts are drawn.
const RESTARTS: u64 = 0x7265_7374_6172_7473;

/// How an upstream starts again.
#[derive(Clone, Copy, Debug)]
struct Restart {
    keeps_address: bool,
    /// Time from the start until the registry entry is written.
    entry_delay: Duration,
    /// Whether the entry of the ended process expires if the new one is late.
    expires: bool,
}

impl Restart {
    fn draw(seed: u64, incarnation: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ RESTARTS ^ ((incarnation as u64) << 32));
        let delay = MAX_ENTRY_DELAY.mul_f64(random.random_range(0.0..1.0));
        Self {
            keeps_address: random.random_bool(0.7),
            entry_delay: if random.random_bool(0.6) {
                delay
            } else {
                Duration::ZERO
            },
            expires: random.random_bool(0.5),
        }
    }
}

impl Cluster {
    /// Ends an upstream without notice, and starts it again, under the same name if `keeps_id`.
    pub(super) async fn restart(
        &self,
        slot: usize,
        ended: &Arc<Server>,
        proxy: &Arc<Proxy>,
        keeps_id: bool,
    ) {
        let restart = Restart::draw(self.seed, ended.incarnation);
        ended.end();
        sleep(RESTART_DELAY).await;
        let name = keeps_id.then(|| ended.id.clone());
        let kept = restart.keeps_address.then(|| Arc::clone(proxy));
        let Some((server, proxy)) = self.succeed(slot, ended, name, kept).await else {
            return;
        };
        if proxy.control.is_impaired() {
            self.checker
                .disturb(Subject::Upstream(server.incarnation), Duration::ZERO);
        }
        let is_current = || self.slot(slot).0.incarnation == server.incarnation;
        let remaining = ENTRY_TIMEOUT - RESTART_DELAY;
        let register = async {
            sleep(restart.entry_delay).await;
            if is_current() {
                self.register(&server, &proxy, false);
            }
        };
        let expire = async {
            sleep(remaining).await;
            if !keeps_id {
                self.remove_entry(&ended.id);
                self.checker.leave(ended.incarnation);
            } else if restart.expires && restart.entry_delay > remaining && is_current() {
                self.store.unregister(&ended.id);
            }
        };
        join!(register, expire);
    }
}
