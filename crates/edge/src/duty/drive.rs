//! Carrying the duty out: orders to upstreams, changes of the map.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ranges::leader::{self, Action, Leader, Order, Outcome};
use eelgrassrock_ranges::map::{Instance, Map};
use serde::Serialize;
use tokio::time::sleep;

use super::{CONFIRM_INTERVAL, Plan, STORE_PAUSE, Seat, duty_row, map_row, read_duty};
use crate::clock;
use crate::node::Node;
use crate::seam::{Commit, Platform, Transaction};

#[derive(Serialize)]
struct Call<'a> {
    service: &'a str,
    upstream: &'a str,
    from: u16,
    to: u16,
    fence: u64,
    outcome: &'a str,
    elapsed_ms: u64,
}

impl<P: Platform> Node<P> {
    /// Does what is due as the keeper.
    pub(super) fn drive(self: &Rc<Self>, service: &Arc<str>, now: Instant) {
        let upstreams = self.upstreams(service);
        let paces = self.seat(service, Seat::take_paces).unwrap_or_default();
        let done = self.keeper(service, |keeper| {
            for pace in paces {
                let span = Duration::from_millis(u64::from(pace.total_ms));
                keeper.record_answers(&pace.upstream, pace.answers, span);
            }
            keeper.set_upstreams(upstreams);
            (keeper.poll(now), keeper.admitted_shares().to_vec())
        });
        let Some((actions, shares)) = done else {
            return;
        };
        self.learn_shares(service, shares);
        for action in actions {
            self.act(service, action);
        }
        let confirm = self.seat(service, |seat| {
            let due = now >= seat.confirm_due && !seat.confirming;
            seat.confirming |= due;
            due
        });
        if confirm == Some(true) {
            let node = Rc::clone(self);
            let service = Arc::clone(service);
            tokio::task::spawn_local(async move {
                node.confirm(&service).await;
                let due = clock::now() + CONFIRM_INTERVAL;
                node.seat(&service, |seat| {
                    seat.confirming = false;
                    seat.confirm_due = due;
                });
            });
        }
    }

    pub(super) fn upstreams(&self, service: &Arc<str>) -> Vec<leader::Upstream> {
        let upstream = |upstream: Arc<Upstream>| leader::Upstream {
            instance: Instance {
                upstream: Arc::clone(&upstream.id),
                incarnation: upstream.incarnation,
            },
            slots: upstream.slots,
            leaving: upstream.leaving || self.turns_routers_away(&upstream),
        };
        let listed = self.state.borrow().book.of(service);
        listed.into_iter().map(upstream).collect()
    }

    pub(super) fn act(self: &Rc<Self>, service: &Arc<str>, action: Action) {
        let node = Rc::clone(self);
        let name = Arc::clone(service);
        let task = match action {
            Action::Grant {
                order,
                hold,
                handover,
            } => tokio::task::spawn_local(async move {
                let started = clock::now();
                let outcome = match node.address(&order.instance) {
                    Some(address) => {
                        node.platform
                            .grant(address, &order, hold, handover.as_deref())
                            .await
                    }
                    None => Outcome::NotSent,
                };
                let now = clock::now();
                node.note_call("grant", &name, &order, &outcome, now - started);
                let is_news = node.keeper(&name, |keeper| keeper.granted(&order, &outcome, now));
                if is_news == Some(true) {
                    node.wake(&name);
                }
            }),
            Action::Release(order) => tokio::task::spawn_local(async move {
                let started = clock::now();
                let outcome = match node.address(&order.instance) {
                    Some(address) => node.platform.release(address, &order).await,
                    None => Outcome::NotSent,
                };
                let now = clock::now();
                node.note_call("release", &name, &order, &outcome, now - started);
                node.keeper(&name, |keeper| keeper.released(&order, &outcome, now));
                node.wake(&name);
            }),
            Action::Commit(map) => tokio::task::spawn_local(async move {
                node.commit(&name, map).await;
                node.wake(&name);
            }),
        };
        self.seat(service, |seat| {
            seat.calls.retain(|call| !call.is_finished());
            seat.calls.push(task.abort_handle());
        });
    }

    pub(super) fn address(&self, life: &Instance) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let upstream = state.book.get(&life.upstream)?;
        (upstream.incarnation == life.incarnation).then_some(upstream.address)
    }

    /// First grants, releases and failures get a line, renewals don't.
    pub(super) fn note_call(
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
            Outcome::NotSent => "not sent",
            Outcome::Unknown => "unknown",
        };
        let line = Call {
            service,
            upstream: &order.instance.upstream,
            from: order.from,
            to: order.to,
            fence: order.fence,
            outcome: text,
            elapsed_ms: elapsed.as_millis() as u64,
        };
        self.log.note(event, &line);
    }

    /// Writes a map if the duty is ours and the map has not changed.
    pub(super) async fn commit(self: &Rc<Self>, service: &Arc<str>, map: Map) {
        let asked = clock::now();
        let era = self.era.get();
        let duty = self
            .seat(service, |seat| {
                seat.election.leadership().map(|(_, at)| *at)
            })
            .flatten()
            .filter(|version| version.era == era);
        let known = self.map_version(service);
        let expected = if known.era == era {
            known
        } else {
            Revision::default()
        };
        if duty.is_none() {
            // The duty has to be taken again first.
            self.keeper(service, Leader::not_committed);
        }
        let (Some(duty), Ok(value)) = (duty, postcard::to_allocvec(&map)) else {
            return;
        };
        let map_key = map_row(era, service);
        let transaction = Transaction {
            era,
            expected: vec![(duty_row(era, service), duty), (map_key.clone(), expected)],
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
        self.log.note(
            "map",
            &Plan {
                service,
                ranges: map.ranges.len(),
                moving,
                version,
                outcome,
            },
        );
        match end {
            Commit::Done(version) => {
                self.keeper(service, |keeper| keeper.committed(asked));
                self.learn_map(service, map, version);
                self.publish_map(service, known);
            }
            Commit::NotDone(_) => {
                sleep(STORE_PAUSE).await;
                self.keeper(service, Leader::not_committed);
            }
            Commit::Conflict | Commit::Unknown(_) => self.read_back(service).await,
        }
    }

    /// Reads what the store holds after a commit whose end isn't known.
    pub(super) async fn read_back(self: &Rc<Self>, service: &Arc<str>) {
        loop {
            let asked = clock::now();
            if !self.confirm(service).await {
                if self.keeper(service, |_| ()).is_none() {
                    return;
                }
                sleep(STORE_PAUSE).await;
                continue;
            }
            match self.read_map(service).await {
                Some(Some((map, version))) => {
                    self.keeper(service, |keeper| keeper.adopt(map.clone(), asked));
                    self.learn_map(service, map, version);
                    return;
                }
                Some(None) => {
                    self.keeper(service, Leader::not_committed);
                    return;
                }
                None => sleep(STORE_PAUSE).await,
            }
        }
    }

    /// Asks the store whether the duty is still ours. Returns `true` if so,
    /// `false` if it isn't or the store doesn't answer.
    pub(super) async fn confirm(self: &Rc<Self>, service: &Arc<str>) -> bool {
        let asked = clock::now();
        let era = self.era.get();
        let Ok(row) = self.read_row(&duty_row(era, service)).await else {
            return false;
        };
        if era != self.era.get() {
            // Who has the duty in the new era is asked next.
            return false;
        }
        let found = row.as_ref().and_then(read_duty);
        if found.is_none() && !self.retake(service).await {
            return false;
        }
        if found.is_some() {
            self.learn_duty(service, found);
        }
        let is_own = self.seat(service, |seat| {
            seat.election.is_own() && !seat.election.is_outdated()
        });
        let is_own = is_own == Some(true) && self.resume(service, asked).await;
        if is_own {
            self.keeper(service, |keeper| keeper.confirm(asked));
            self.note_settled(service).await;
        }
        is_own
    }
}
