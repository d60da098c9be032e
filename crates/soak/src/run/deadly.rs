//! A request that ends each upstream that begins to run it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::restart::Restart;
use super::{Cluster, TICK};
use crate::caller::{Caller, Served};
use crate::plan::Kind;
use crate::proxy::Proxy;
use crate::upstream::Server;

/// Part of the seed from which the requests are drawn.
const REQUESTS: u64 = 0x0064_6561_646c_7921;

impl Cluster {
    /// Sends the same request to the routers for `span`, and starts the upstreams again that it
    /// ends.
    pub(super) async fn send_deadly(self: &Arc<Self>, prefix: &str, per_s: u32, span: Duration) {
        let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.prefix() == prefix) else {
            return;
        };
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ REQUESTS);
        let key = kind.is_keyed().then(|| random.random());
        let served = Arc::new(Served::new(self.routers.len()));
        let (mut requests, mut restarts) = (JoinSet::new(), JoinSet::new());
        let mut ended = HashSet::new();
        let until = Instant::now() + span;
        let mut due = Instant::now();
        while Instant::now() < until || !requests.is_empty() {
            for (slot, server, proxy) in self.crashed() {
                if ended.insert(server.incarnation) {
                    let restart = Restart::draw(self.seed, server.incarnation);
                    let cluster = Arc::clone(self);
                    restarts.spawn(async move {
                        proxy.refuse(server.address);
                        cluster.restart(slot, &server, &proxy, restart).await;
                    });
                }
            }
            if due <= Instant::now() && Instant::now() < until {
                due += Duration::from_secs(1).mul_f64(random.random_range(0.2..1.8)) / per_s;
                let router = random.random_range(0..self.routers.len());
                let caller = Caller {
                    router,
                    address: self.front_proxies[router].address(),
                    checker: Arc::clone(&self.checker),
                    random: ChaCha8Rng::from_rng(&mut random),
                    served: Arc::clone(&served),
                };
                requests.spawn(caller.send_deadly(kind, key));
            }
            while requests.try_join_next().is_some() {}
            sleep(TICK).await;
        }
        restarts.join_all().await;
    }

    /// Returns the upstreams that a request has ended and that haven't been replaced.
    fn crashed(&self) -> Vec<(usize, Arc<Server>, Arc<Proxy>)> {
        let slots = 0..self.slots.len();
        slots
            .filter_map(|slot| {
                let (server, proxy) = self.slot(slot).clone();
                server.has_crashed().then_some((slot, server, proxy))
            })
            .collect()
    }
}
