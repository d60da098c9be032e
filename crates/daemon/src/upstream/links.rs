//! Connections to all upstreams and routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError, RwLock};

use eelgrassrock_model::Upstream;
use eelgrassrock_model::fleet::Fleet;

use crate::upstream::link::Link;

/// Most connections that wait for work between two routers.
const HOP_CONNECTIONS: usize = 64;

/// Connections for orders to one upstream.
const ORDER_CONNECTIONS: usize = 1;

#[derive(Clone, Debug)]
struct Pair {
    requests: Link,
    orders: Link,
}

/// Connections to all upstreams and routers.
#[derive(Debug, Default)]
pub(crate) struct Links {
    upstreams: RwLock<HashMap<Upstream, Pair>>,
    routers: Mutex<HashMap<SocketAddr, Link>>,
}

impl Links {
    /// Sets the upstreams to those of the bundle. Links whose address stays
    /// keep their connections.
    pub(crate) fn set_fleet(&self, fleet: &Fleet) {
        let mut upstreams = self
            .upstreams
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        upstreams.retain(|name, pair| {
            let upstream = fleet.upstreams.get(name);
            upstream.is_some_and(|upstream| upstream.address == pair.requests.address())
        });
        for (name, upstream) in &fleet.upstreams {
            upstreams.entry(name.clone()).or_insert_with(|| Pair {
                requests: Link::new(upstream.address, upstream.slots as usize),
                orders: Link::new(upstream.address, ORDER_CONNECTIONS),
            });
        }
    }

    /// Returns the connections for requests to an upstream.
    pub(crate) fn upstream(&self, name: &Upstream) -> Option<Link> {
        let upstreams = self
            .upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        upstreams.get(name).map(|pair| pair.requests.clone())
    }

    /// Returns the connections for orders to an upstream.
    pub(crate) fn orders(&self, name: &Upstream) -> Option<Link> {
        let upstreams = self
            .upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        upstreams.get(name).map(|pair| pair.orders.clone())
    }

    /// Returns the connections to a router that takes hops at `address`.
    pub(crate) fn router(&self, address: SocketAddr) -> Link {
        let mut routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner);
        let link = routers
            .entry(address)
            .or_insert_with(|| Link::new(address, HOP_CONNECTIONS));
        link.clone()
    }

    /// Forgets the connections to routers that aren't among `addresses`.
    pub(crate) fn retain_routers(&self, addresses: &[SocketAddr]) {
        let mut routers = self.routers.lock().unwrap_or_else(PoisonError::into_inner);
        routers.retain(|address, _| addresses.contains(address));
    }
}
