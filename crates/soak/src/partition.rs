//! Paths from the routers of a data centre to all upstreams, which can be cut together while everything
//! else reaches both.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use derive_more::Display;

use crate::proxy::Proxy;

/// What a cut does with open connections. New ones are refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cut {
    /// They are reset.
    #[display("connections reset")]
    Reset,
    /// They live on.
    #[display("open connections live on")]
    LiveOn,
}

/// Paths from some routers to the upstreams.
#[derive(Debug, Default)]
pub(crate) struct Partition(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Proxy of each upstream's address.
    paths: HashMap<SocketAddr, Proxy>,
    is_cut: bool,
}

impl Partition {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address at which the routers reach an upstream. Must be called within a runtime.
    pub(crate) fn path(&self, upstream: SocketAddr) -> SocketAddr {
        let mut state = self.state();
        let is_cut = state.is_cut;
        let path = state.paths.entry(upstream).or_insert_with(|| {
            let proxy = Proxy::open(upstream).expect("the loopback interface has a free port");
            proxy.control.refuse(is_cut);
            proxy
        });
        path.address()
    }

    /// Cuts the routers off from all upstreams.
    pub(crate) fn cut(&self, cut: Cut) {
        let mut state = self.state();
        state.is_cut = true;
        for path in state.paths.values() {
            path.control.refuse(true);
            if cut == Cut::Reset {
                path.control.reset();
            }
        }
    }

    /// Ends the cut.
    pub(crate) fn mend(&self) {
        let mut state = self.state();
        state.is_cut = false;
        for path in state.paths.values() {
            path.control.refuse(false);
        }
    }
}
