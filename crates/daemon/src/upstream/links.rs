//! Connection pools of all upstreams and routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError, RwLock};

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::Fleet;

use crate::upstream::link::Link;

/// Maximum number of idle connections to another router.
const MAX_IDLE_HOP_CONNECTIONS: usize = 64;

/// Maximum number of idle connections for orders to one upstream.
const MAX_IDLE_ORDER_CONNECTIONS: usize = 1;

/// Connection pools of one upstream. Orders have their own, so that they don't compete with
/// requests for connections.
#[derive(Clone, Debug)]
struct UpstreamLinks {
    requests: Link,
    orders: Link,
}

/// Connection pools of all upstreams and routers.
#[derive(Debug, Default)]
pub(crate) struct Links {
    upstreams: RwLock<HashMap<Upstream, UpstreamLinks>>,
    routers: Mutex<HashMap<SocketAddr, Link>>,
}

impl Links {
    /// Replaces the upstreams by those of the bundle. An upstream whose address is
    /// unchanged keeps its pools.
    pub(crate) fn set_fleet(&self, fleet: &Fleet) {
        let mut upstreams = self
            .upstreams
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        upstreams.retain(|name, links| {
            let upstream = fleet.upstreams.get(name);
            upstream.is_some_and(|upstream| upstream.address == links.requests.address())
        });
        for (name, upstream) in &fleet.upstreams {
            upstreams
                .entry(name.clone())
                .or_insert_with(|| UpstreamLinks {
                    requests: Link::new(upstream.address, upstream.slots as usize),
                    orders: Link::new(upstream.address, MAX_IDLE_ORDER_CONNECTIONS),
                });
        }
    }

    /// Returns the pool for requests to an upstream, `None` if the bundle hasn't this
    /// upstream.
    pub(crate) fn upstream(&self, name: &Upstream) -> Option<Link> {
        let upstreams = self
            .upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        upstreams.get(name).map(|links| links.requests.clone())
    }

    /// Returns the pool for orders to an upstream, `None` if the bundle hasn't this upstream.
    pub(crate) fn orders(&self, name: &Upstream) -> Option<Link> {
        let upstreams = self
            .upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        upstreams.get(name).map(|links| links.orders.clone())
    }

    /// Returns the pool of the router that accepts forwarded requests at `address`.
    pub(crate) fn router(&self, address: SocketAddr) -> Link {
        let mut routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner);
        let link = routers
            .entry(address)
            .or_insert_with(|| Link::new(address, MAX_IDLE_HOP_CONNECTIONS));
        link.clone()
    }

    /// Drops the pools of routers that aren't among `addresses`.
    pub(crate) fn retain_routers(&self, addresses: &[SocketAddr]) {
        let mut routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner);
        routers.retain(|address, _| addresses.contains(address));
    }
}
