//! Actions of a leader: grants and releases at upstreams, and changes of the map.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::leader::{self, Action, Clearance, Leader, Order, Outcome};
use eelgrassrock_ranges::map::{Instance, Map};
use serde::Serialize;
use tokio::time::sleep;

use super::{
    CONFIRM_INTERVAL, MapLine, Participant, STORE_RETRY_PAUSE, decode_leadership, leadership_row,
    map_row,
};
use crate::clock;
use crate::node::Node;
use crate::platform::{Commit, Platform, Transaction};

#[derive(Serialize)]
struct OrderLine<'a> {
    service: &'a str,
    upstream: &'a str,
    /// Start of the process that the order is meant for.
    incarnation: u64,
    from: u16,
    to: u16,
    fence: u64,
    outcome: &'a str,
    elapsed_ms: u64,
}

/// Upstream that held keys and can't hold them any more, so that the next holder gets them.
#[derive(Serialize)]
struct ClearanceLine<'a> {
    service: &'a str,
    upstream: &'a str,
    incarnation: u64,
    from: u16,
    to: u16,
    /// Fencing token of the next holder.
    fence: u64,
    reason: String,
}

impl<P: Platform> Node<P> {
    /// Carries out the due actions of the leader.
    pub(super) fn lead(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        if self.should_resign(service, now) {
            self.resign_isolated(service, now);
            return;
        }
        let upstreams = self.upstreams(service);
        let service_times = self
            .participant(service, Participant::take_service_times)
            .unwrap_or_default();
        let done = self.leader(service, |leader| {
            for service_time in service_times {
                let span = Duration::from_millis(u64::from(service_time.total_ms));
                leader.record_answers(&service_time.upstream, service_time.answers, span);
            }
            leader.set_upstreams(upstreams);
            let actions = leader.poll(now);
            let shares = leader.admitted_shares().to_vec();
            (actions, shares, leader.take_clearances())
        });
        let Some((actions, shares, clearances)) = done else {
            return;
        };
        for clearance in &clearances {
            self.log_clearance(service, clearance);
        }
        self.set_admitted_shares(service, shares);
        for action in actions {
            self.execute(service, action);
        }
        let confirm = self.participant(service, |participant| {
            let due = now >= participant.confirm_due && !participant.is_confirming;
            participant.is_confirming |= due;
            due
        });
        if confirm == Some(true) {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.confirm(&service).await;
                let due = clock::now() + CONFIRM_INTERVAL;
                node.participant(&service, |participant| {
                    participant.is_confirming = false;
                    participant.confirm_due = due;
                });
            });
        }
    }

    pub(super) fn upstreams(&self, service: &Arc<str>) -> Vec<leader::Upstream> {
        let now = clock::now();
        let limit_per_s = |upstream: &Upstream| {
            let observed = self.observations.borrow().limit_per_s(upstream, now);
            let limits = observed.into_iter().chain(self.cold_limit_per_s(upstream));
            limits.reduce(f64::min)
        };
        let upstream = |upstream: Arc<Upstream>| leader::Upstream {
            limit_per_s: limit_per_s(&upstream),
            instance: Instance {
                upstream: Arc::clone(&upstream.id),
                incarnation: upstream.incarnation,
            },
            slots: upstream.slots,
            leaving: upstream.leaving || self.turns_routers_away(&upstream),
            evacuated: self.is_evacuated(&upstream.data_centre),
        };
        let listed = self.state.borrow().registry.of_service(service);
        listed.into_iter().map(upstream).collect()
    }

    pub(super) fn execute(self: &Rc<Self>, service: &Arc<str>, action: Action) {
        let node = Rc::clone(self);
        let name = Arc::clone(service);
        let task = match action {
            Action::Connect(instance) => tokio::task::spawn_local(async move {
                if let Some(address) = node.address(&instance) {
                    node.platform.connect(address, &instance.upstream).await;
                }
                node.leader(&name, |leader| leader.connected(&instance));
                node.wake(&name);
            }),
            Action::Grant(grant) => tokio::task::spawn_local(async move {
                let started = clock::now();
                let order = &grant.order;
                let outcome = match node.address(&order.instance) {
                    Some(address) => node.platform.grant(address, &grant).await,
                    None => Outcome::NotSent,
                };
                let now = clock::now();
                node.log_order("grant", &name, order, &outcome, now - started);
                let has_changed = node.leader(&name, |leader| leader.granted(order, &outcome, now));
                if has_changed == Some(true) {
                    node.wake(&name);
                }
            }),
            Action::Release(order) => tokio::task::spawn_local(async move {
                let started = clock::now();
                let outcome = match node.address_of(&order.instance.upstream) {
                    Some(address) => node.platform.release(address, &order).await,
                    None => Outcome::NotSent,
                };
                let now = clock::now();
                node.log_order("release", &name, &order, &outcome, now - started);
                node.leader(&name, |leader| leader.released(&order, &outcome, now));
                node.wake(&name);
            }),
            Action::Commit(map) => tokio::task::spawn_local(async move {
                node.commit(&name, map).await;
                node.wake(&name);
            }),
        };
        self.participant(service, |participant| {
            participant.calls.retain(|call| !call.is_finished());
            participant.calls.push(task.abort_handle());
        });
    }

    /// Returns the address of the process that runs under an upstream's name. A release by any of
    /// them is a release by all earlier ones.
    fn address_of(&self, upstream: &str) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state
            .registry
            .get(upstream)
            .map(|upstream| upstream.address)
    }

    pub(super) fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let upstream = state.registry.get(&instance.upstream)?;
        (upstream.incarnation == instance.incarnation).then_some(upstream.address)
    }

    fn log_clearance(&self, service: &Arc<str>, clearance: &Clearance) {
        let order = &clearance.order;
        self.metrics.source_cleared(service, clearance.reason);
        let line = ClearanceLine {
            service,
            upstream: &order.instance.upstream,
            incarnation: order.instance.incarnation,
            from: order.from,
            to: order.to,
            fence: order.fence,
            reason: clearance.reason.to_string(),
        };
        self.log.info("source cleared", &line);
    }

    /// Logs releases and failures. Successful grants are not logged.
    pub(super) fn log_order(
        &self,
        event: &str,
        service: &str,
        order: &Order,
        outcome: &Outcome,
        elapsed: Duration,
    ) {
        let text = match outcome {
            Outcome::Done { .. } if event == "grant" => return,
            Outcome::Done { .. } => "done",
            Outcome::Fenced => "fenced",
            Outcome::Detached => "detached",
            Outcome::NotSent => "not sent",
            Outcome::Unknown => "unknown",
        };
        let line = OrderLine {
            service,
            upstream: &order.instance.upstream,
            incarnation: order.instance.incarnation,
            from: order.from,
            to: order.to,
            fence: order.fence,
            outcome: text,
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.log.info(event, &line);
    }

    /// Writes a map, on condition that this router still leads and the map hasn't changed.
    pub(super) async fn commit(self: &Rc<Self>, service: &Arc<str>, map: Map) {
        if self.leader(service, |leader| leader.is_pending(&map)) != Some(true) {
            // The leader has entered another era of the store meanwhile.
            return;
        }
        let queried_at = clock::now();
        let era = self.era.get();
        let leadership = self
            .participant(service, |participant| {
                participant.election.leadership().map(|(_, at)| *at)
            })
            .flatten()
            .filter(|version| version.era == era);
        let known = self.map_version(service);
        let expected = if known.era == era {
            known
        } else {
            Revision::default()
        };
        if leadership.is_none() {
            // Leadership must be taken again first.
            self.leader(service, Leader::not_committed);
        }
        let (Some(leadership), Ok(value)) = (leadership, postcard::to_allocvec(&map)) else {
            return;
        };
        let map_key = map_row(era, service);
        let transaction = Transaction {
            era,
            expected: vec![
                (leadership_row(era, service), leadership),
                (map_key.clone(), expected),
            ],
            put: vec![(map_key, Bytes::from(value))],
            remove: Vec::new(),
        };
        let end = self.write_rows(&transaction).await;
        let moving = map
            .ranges
            .iter()
            .filter(|range| !range.sources.is_empty())
            .count();
        let (outcome, version) = match &end {
            Commit::Done(version) => ("done", version.number),
            Commit::Conflict => ("conflict", 0),
            Commit::NotDone(_) => ("not done", 0),
            Commit::Unknown(_) => ("unknown", 0),
        };
        self.log.info(
            "map",
            &MapLine {
                service,
                ranges: map.ranges.len(),
                moving,
                version,
                outcome,
            },
        );
        match end {
            Commit::Done(version) => {
                self.leader(service, |leader| leader.committed(queried_at));
                self.learn_map(service, map, version);
                self.publish_map(service, known);
            }
            Commit::NotDone(_) => {
                sleep(STORE_RETRY_PAUSE).await;
                self.leader(service, Leader::not_committed);
            }
            Commit::Conflict | Commit::Unknown(_) => self.read_back(service).await,
        }
    }

    /// Reads the map from the store after a commit whose result is unknown.
    pub(super) async fn read_back(self: &Rc<Self>, service: &Arc<str>) {
        loop {
            let queried_at = clock::now();
            if !self.confirm(service).await {
                if self.leader(service, |_| ()).is_none() {
                    return;
                }
                sleep(STORE_RETRY_PAUSE).await;
                continue;
            }
            match self.read_map(service).await {
                Some(Some((map, version))) => {
                    self.leader(service, |leader| leader.adopt(map.clone(), queried_at));
                    self.learn_map(service, map, version);
                    return;
                }
                Some(None) => {
                    self.leader(service, Leader::not_committed);
                    return;
                }
                None => sleep(STORE_RETRY_PAUSE).await,
            }
        }
    }

    /// Checks at the store whether this router still leads. Returns `false` if it doesn't, or if
    /// the store doesn't respond.
    pub(super) async fn confirm(self: &Rc<Self>, service: &Arc<str>) -> bool {
        let queried_at = clock::now();
        let era = self.era.get();
        let Ok(row) = self.read_row(&leadership_row(era, service)).await else {
            return false;
        };
        if era != self.era.get() {
            // The next check finds the leader in the new era.
            return false;
        }
        let found = row.as_ref().and_then(decode_leadership);
        if found.is_none() && !self.reclaim(service).await {
            return false;
        }
        if found.is_some() {
            self.learn_leadership(service, found);
        }
        let is_own = self.participant(service, |participant| {
            participant.election.is_own() && !participant.election.is_outdated()
        });
        let is_own = is_own == Some(true) && self.resume(service, queried_at).await;
        if is_own {
            self.leader(service, |leader| leader.confirm(queried_at));
            self.record_recovery(service).await;
        }
        is_own
    }
}
