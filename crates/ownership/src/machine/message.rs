//! Messages to and from other routers.

use std::time::Duration;

use eelgrassrock_model::table::Row;
use eelgrassrock_model::{Name, Router, Upstream};
use indexmap::IndexSet;

use super::{Machine, Status};
use crate::action::Action;
use crate::message::{Message, Report};
use crate::placement;
use crate::row::Key;

/// Time between two reports while the states of the upstreams don't change.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time to wait for the rows of another router after a start.
const PEER_ROWS_TIMEOUT: Duration = Duration::from_millis(300);

impl Machine {
    pub(super) fn on_message(&mut self, from: &Router, message: Message) {
        match message {
            Message::AskRelease(release) => self.on_ask_release(from, &release),
            Message::Released(release) => self.on_released(&release),
            Message::AskHandover {
                upstream,
                nonce,
                term,
            } => {
                self.on_ask_handover(from, &upstream, &nonce, term);
            }
            Message::OfferHandover { upstream, term } => self.on_offer(from, &upstream, term),
            Message::AcceptHandover {
                upstream,
                term,
                request_id,
            } => self.on_accept(from, &upstream, term, request_id),
            Message::DeclineHandover { upstream, term } => {
                self.on_decline(from, &upstream, term);
            }
            Message::Handover(handover) => self.on_handover(from, handover),
            Message::HandoverDone { upstream, term } => {
                self.on_handover_done(from, &upstream, term);
            }
            Message::AskReady { upstream } => self.on_ask_ready(from, &upstream),
            Message::Ready { upstream } => self.on_ready(&upstream),
            Message::Reports(reports) => self.on_reports(reports),
            Message::Rows(rows) => self.apply_rows(rows),
            Message::AskRows => self.on_ask_rows(from),
            Message::AllRows { rows, complete } => self.on_all_rows(rows, complete),
        }
    }

    /// Sends a message to a router. Drops the message if the address of the router isn't
    /// known.
    pub(super) fn send(&mut self, router: &Router, message: Message) {
        let member = self.members.get(router).map(|it| it.address);
        let by_home = || {
            let upstream = self.view.by_router.get(router)?.first()?;
            Some(self.view.home(upstream)?.address)
        };
        let Some(address) = member.or_else(by_home) else {
            return;
        };
        self.actions.push(Action::Send {
            router: router.clone(),
            address,
            message,
        });
    }

    fn on_ask_rows(&mut self, from: &Router) {
        let rows = self.view.rows().cloned().collect();
        let complete = self.has_all_rows();
        self.send(from, Message::AllRows { rows, complete });
    }

    fn on_all_rows(&mut self, rows: Vec<Row>, complete: bool) {
        self.peer_rows_deadline = Some(self.now);
        self.apply_rows(rows);
        if complete && !self.has_all_homes {
            self.has_all_homes = true;
            self.loaded_services = self.view.services.keys().cloned().collect();
            self.check_all();
        }
    }

    /// Asks another router for all rows, preferably one in the same data centre. Returns
    /// whether an answer is due.
    pub(super) fn request_peer_rows(&mut self) -> bool {
        if let Some(deadline) = self.peer_rows_deadline {
            return self.now < deadline;
        }
        let settings = &self.settings;
        let others = self
            .members
            .values()
            .filter(|it| it.router != settings.router);
        let peer = others.min_by_key(|member| {
            let far = member.data_centre != settings.data_centre;
            (
                far,
                placement::weight(&member.router, settings.router.as_str()),
            )
        });
        let Some(peer) = peer.map(|it| it.router.clone()) else {
            return false;
        };
        self.peer_rows_deadline = Some(self.now + PEER_ROWS_TIMEOUT);
        self.send(&peer, Message::AskRows);
        true
    }

    fn on_reports(&mut self, reports: Vec<Report>) {
        let at = self.now;
        for report in reports {
            if !self.held.contains_key(&report.upstream) {
                let upstream = report.upstream.clone();
                self.statuses.insert(upstream, Status { report, at });
            }
        }
    }

    /// Reports the upstreams of this router to the other homes of their
    /// services.
    pub(super) fn poll_reports(&mut self) {
        if self.now < self.next_report || self.held.is_empty() {
            return;
        }
        self.next_report = self.now + REPORT_INTERVAL;
        let reports: Vec<Report> = self.held.keys().map(|it| self.report(it)).collect();
        let at = self.now;
        for report in &reports {
            let report = report.clone();
            let upstream = report.upstream.clone();
            self.statuses.insert(upstream, Status { report, at });
        }
        for router in self.peer_homes() {
            self.send(&router, Message::Reports(reports.clone()));
        }
    }

    fn report(&self, upstream: &Upstream) -> Report {
        let held = self.held.get(upstream);
        Report {
            upstream: upstream.clone(),
            alive: held.is_some_and(crate::held::Held::is_granting),
            leaving: self.is_leaving(upstream),
            busy_ppm: held.map_or(0, |held| (held.utilization() * 1e6) as u32),
        }
    }

    /// Returns whether an upstream must not receive work any more.
    pub(super) fn is_leaving(&self, upstream: &Upstream) -> bool {
        let reports_leaving = self.held.get(upstream).is_some_and(|held| held.is_leaving);
        let removed = !self.view.fleet.upstreams.contains_key(upstream);
        reports_leaving || removed || self.leaving.contains(upstream)
    }

    /// Returns the other homes of the services to which the upstreams of this router belong.
    fn peer_homes(&self) -> IndexSet<Router> {
        let services: IndexSet<_> = self
            .held
            .keys()
            .filter_map(|it| self.view.service_of(it))
            .collect();
        let upstreams = services
            .into_iter()
            .filter_map(|service| self.view.members_of.get(service))
            .flatten();
        upstreams
            .filter_map(|upstream| Some(self.view.home(upstream)?.router.clone()))
            .filter(|router| *router != self.settings.router)
            .collect()
    }

    /// Sends rows that this router wrote to the homes of the owners that they name.
    pub(super) fn notify_owner_homes(&mut self, rows: &[Row]) {
        let mut homes = IndexSet::new();
        for row in rows {
            let Some(Key::Block(service, block)) = Key::parse(&row.key) else {
                continue;
            };
            let Some(blocks) = self.view.services.get(&service) else {
                continue;
            };
            let entries = &blocks.blocks[block as usize].entries;
            for chunk in entries.chunk_by(|a, b| a.owner == b.owner) {
                let owner = chunk[0].owner.as_ref();
                let home = owner.and_then(|it| self.view.home(it));
                homes.extend(home.map(|it| it.router.clone()));
            }
        }
        homes.swap_remove(&self.settings.router);
        for home in homes {
            self.send(&home, Message::Rows(rows.to_vec()));
        }
    }
}
