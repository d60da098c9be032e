//! Removal of the rows of routers that ended without removing them.
//!
//! The relay of a data centre does this, since the other routers there call it all the time. Rows
//! of earlier versions stay, because those don't write their rows again if the guess was wrong.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use eelgrassrock_dispatch::silence::{Silence, Step};
use eelgrassrock_model::time::Instant;
use serde::Serialize;

use crate::clock;
use crate::node::Node;
use crate::platform::{Commit, Name, Platform, Table, Transaction};
use crate::watch::ROUTER_PREFIX;

/// What this router has heard of those that it watches.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    silence: RefCell<Silence>,
    /// When calls last came from each address.
    heard: RefCell<HashMap<IpAddr, Instant>>,
}

impl Watch {
    /// Records a call of another router.
    pub(crate) fn hear(&self, address: IpAddr) {
        self.heard.borrow_mut().insert(address, clock::now());
    }
}

#[derive(Serialize)]
struct LostLine<'a> {
    router: &'a str,
    incarnation: u64,
}

/// Asks routers that have been silent, and removes the rows of those that were lost.
pub(crate) fn check<P: Platform>(node: &Rc<Node<P>>) {
    for step in node.poll_silence() {
        let node = Rc::clone(node);
        match step {
            Step::Ask(router) => {
                tokio::task::spawn_local(async move { node.ask_silent(&router).await });
            }
            Step::Remove(router) => {
                tokio::task::spawn_local(async move { node.remove_lost(&router).await });
            }
        }
    }
}

impl<P: Platform> Node<P> {
    fn poll_silence(&self) -> Vec<Step> {
        let mut silence = self.watch.silence.borrow_mut();
        if !self.is_relay() || !self.has_store_contact() {
            silence.clear();
            return Vec::new();
        }
        let now = clock::now();
        let own = &self.settings;
        let state = self.state.borrow();
        let watched = || {
            state.routers.iter().filter(|(name, router)| {
                router.data_centre == own.data_centre && **name != own.router && router.renews
            })
        };
        silence.update(
            watched().map(|(name, router)| (Arc::clone(name), router.incarnation)),
            now,
        );
        let mut heard = self.watch.heard.borrow_mut();
        for (name, router) in watched() {
            if let Some(at) = heard.get(&router.address.ip()) {
                silence.hear(name, *at);
            }
        }
        heard.retain(|address, _| state.router_from(*address).is_some());
        silence.poll(now)
    }

    async fn ask_silent(&self, router: &str) {
        let address = {
            let state = self.state.borrow();
            state.routers.get(router).map(|router| router.address)
        };
        let Some(address) = address else {
            return;
        };
        let is_running = self.peers.is_running(address).await;
        let mut silence = self.watch.silence.borrow_mut();
        if is_running {
            silence.hear(router, clock::now());
        } else {
            silence.miss(router);
        }
    }

    async fn remove_lost(self: &Rc<Self>, router: &str) {
        let key = format!("{ROUTER_PREFIX}{router}");
        let row = self.relay.known_row(Table::Routers, &key);
        let known = self.state.borrow().routers.get(router).cloned();
        let (Some(row), Some(known)) = (row, known) else {
            return;
        };
        let name = Name::new(Table::Routers, key);
        let transaction = Transaction {
            era: row.version.era,
            expected: vec![(name.clone(), row.version)],
            put: Vec::new(),
            remove: vec![name],
        };
        if let Commit::Done(_) = self.write_rows(&transaction).await {
            let line = LostLine {
                router,
                incarnation: known.incarnation,
            };
            self.log.warn("router lost", &line);
            self.metrics.router_removed();
        }
    }
}
