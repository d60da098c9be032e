//! Claims of upstreams: which router takes an upstream over, and when a home gives it up.

use std::time::Duration;

use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::table::{Check, Operation, Row, Write};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Service, Term, Upstream};
use indexmap::IndexMap;

use super::Machine;
use crate::decision::{DecisionKind, Reason};
use crate::event::Member;
use crate::held::Held;
use crate::placement;
use crate::row::{self, Key};
use crate::write::{Pending, Purpose};

/// Delay per rank: each router waits this long for every router that ranks before it.
const CLAIM_STAGGER: Duration = Duration::from_millis(250);

/// Time to wait until a home that this router has never seen alive becomes a member.
/// Without this delay, routers that start together repeatedly take over each other's
/// upstreams.
const UNSEEN_HOME_GRACE: Duration = Duration::from_secs(1);

/// Upstream without a live home.
#[derive(Clone, Copy, Debug)]
pub(super) struct Orphan {
    /// Time at which this router noticed that the home is missing.
    since: Instant,
    /// Time at which this router claims the upstream, `None` if it isn't a candidate.
    claim_at: Option<Instant>,
}

/// Time to wait for other routers before upstreams get their first homes.
const FIRST_CLAIM_DELAY: Duration = Duration::from_secs(1);

impl Machine {
    pub(super) fn on_members(&mut self, members: Vec<Member>) {
        let members = members.into_iter().map(|it| (it.router.clone(), it));
        let members: IndexMap<_, _> = members.collect();
        if self.members.is_empty() {
            self.first_claim_at = self.now + FIRST_CLAIM_DELAY;
        }
        let gone: Vec<_> = self
            .members
            .keys()
            .filter(|router| !members.contains_key(*router))
            .cloned()
            .collect();
        let back: Vec<_> = members
            .keys()
            .filter(|router| !self.members.contains_key(*router))
            .cloned()
            .collect();
        self.members = members;
        self.departed_routers.extend(gone.iter().cloned());
        for router in gone.iter().chain(&back) {
            let upstreams = self.view.by_router.get(router).cloned();
            for upstream in upstreams.into_iter().flatten() {
                self.check_home(&upstream);
            }
        }
        let orphans: Vec<Upstream> = self.orphans.keys().cloned().collect();
        for upstream in orphans {
            self.schedule_claim(&upstream);
        }
    }

    pub(super) fn on_fleet(&mut self, fleet: Fleet) {
        if fleet.version < self.view.fleet.version {
            return;
        }
        let changes = self.view.set_fleet(fleet);
        for change in changes {
            self.on_change(change);
        }
        self.check_all();
    }

    /// Checks the homes of all upstreams, and the owners of all shards.
    pub(super) fn check_all(&mut self) {
        let fleet = self.view.fleet.upstreams.keys();
        let owners = self.view.owners().map(|(upstream, _)| upstream);
        let upstreams: Vec<Upstream> = fleet.chain(owners).cloned().collect();
        for upstream in upstreams {
            self.check_home(&upstream);
        }
        let services: Vec<Service> = self.view.services.keys().cloned().collect();
        for service in services {
            self.check_unowned(&service);
        }
    }

    /// Updates whether an upstream lacks a live home.
    pub(super) fn check_home(&mut self, upstream: &Upstream) {
        if !self.is_orphan(upstream) {
            self.orphans.swap_remove(upstream);
        } else if !self.orphans.contains_key(upstream) {
            let orphan = Orphan {
                since: self.now,
                claim_at: None,
            };
            self.orphans.insert(upstream.clone(), orphan);
            self.schedule_claim(upstream);
        }
    }

    fn is_orphan(&self, upstream: &Upstream) -> bool {
        if self.held.contains_key(upstream) {
            return false;
        }
        let Some(home) = self.view.home(upstream) else {
            // An invalid row is left for the operator to repair.
            return !self.view.homes.contains_key(upstream) && self.needs_home(upstream);
        };
        let mine = home.router == self.settings.router;
        let restarted = mine && home.nonce.as_ref() != self.settings.nonce;
        let lost = !self.members.contains_key(&home.router);
        (restarted || lost) && self.needs_home(upstream)
    }

    fn needs_home(&self, upstream: &Upstream) -> bool {
        self.view.fleet.upstreams.contains_key(upstream)
            || self.view.owned_count(upstream) > 0
            || self.view.outgoing(upstream).next().is_some()
    }

    pub(super) fn data_centre_of(&self, upstream: &Upstream) -> Option<&DataCentre> {
        Some(&self.view.declared(upstream)?.data_centre)
    }

    /// Updates the time at which this router claims an orphan.
    fn schedule_claim(&mut self, upstream: &Upstream) {
        let me = &self.settings.router;
        let restarted = self.view.home(upstream).is_some_and(|it| it.router == *me);
        let rank = if restarted {
            Some(0)
        } else {
            let data_centre = self.data_centre_of(upstream);
            placement::rank(me, upstream, data_centre, self.members.values())
        };
        let from = self.earliest_claim(upstream);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok());
        let claim_at = rank.map(|rank| from + CLAIM_STAGGER * rank);
        if let Some(orphan) = self.orphans.get_mut(upstream) {
            orphan.claim_at = claim_at;
        }
    }

    /// Returns the earliest time at which an orphan may be claimed.
    fn earliest_claim(&self, upstream: &Upstream) -> Instant {
        let home = self.view.home(upstream);
        let unseen = home.is_some_and(|home| {
            home.router != self.settings.router && !self.departed_routers.contains(&home.router)
        });
        match self.orphans.get(upstream) {
            Some(orphan) if unseen => self.now.max(orphan.since + UNSEEN_HOME_GRACE),
            _ if home.is_none() => self.now.max(self.first_claim_at),
            _ => self.now,
        }
    }

    pub(super) fn poll_claims(&mut self) {
        if !self.has_all_homes || self.draining_since.is_some() || !self.may_write() {
            return;
        }
        let acting = self.held.iter().filter(|(_, held)| held.is_acting);
        let acting = acting.map(|(upstream, _)| upstream);
        let now = self.now;
        let is_due = |orphan: &Orphan| orphan.claim_at.is_some_and(|at| at <= now);
        let due = self.orphans.iter().filter(|(_, orphan)| is_due(orphan));
        let due: Vec<Upstream> = due
            .map(|(upstream, _)| upstream)
            .chain(acting)
            .cloned()
            .collect();
        for upstream in due {
            self.claim(&upstream);
        }
    }

    fn claim(&mut self, upstream: &Upstream) {
        let key = Key::Home(upstream.clone()).text();
        if self.is_writing(&key) {
            return;
        }
        let settings = &self.settings;
        let mut home = row::Home::new(settings.router.clone(), &settings.nonce, settings.address);
        home.authority_ms = millis(settings.authority);
        home.lease_ms = millis(settings.lease);
        if let Some(known) = self.view.home(upstream) {
            home.term = known.term.next();
            home.authority_ms = home.authority_ms.max(known.authority_ms);
            home.lease_ms = home.lease_ms.max(known.lease_ms);
        }
        if let Some(known) = self.row_of_home(upstream) {
            home.priors = known.priors_of_next();
        }
        let check = Check {
            key: key.clone(),
            version: self.view.home_version(upstream),
        };
        let write = Write {
            key,
            value: Some(home.encode()),
        };
        self.write(Purpose::Claim(upstream.clone()), vec![check], vec![write]);
    }

    pub(super) fn on_claim_ended(&mut self, upstream: &Upstream) {
        if self.orphans.contains_key(upstream) {
            self.schedule_claim(upstream);
        }
        self.check_home(upstream);
    }

    /// Handles a new version of a home row.
    pub(super) fn on_home_changed(&mut self, upstream: &Upstream) {
        // The new home lacks the reports on the other upstreams.
        self.next_report = self.now;
        let Some(home) = self.view.homes.get(upstream) else {
            self.check_home(upstream);
            return;
        };
        let (row, contents) = (home.row.clone(), home.contents.clone());
        let mine = contents.as_ref().is_some_and(|it| self.is_this_process(it));
        match self.held.get_mut(upstream) {
            Some(held) if row.version > held.version => {
                if let Some(contents) = contents.as_ref().filter(|_| mine) {
                    held.term = contents.term;
                    held.version = row.version;
                    held.is_acting = false;
                } else {
                    self.cede(upstream, contents.as_ref());
                }
            }
            None if mine => self.become_home(upstream, &row, contents.as_ref()),
            _ => {}
        }
        self.check_home(upstream);
    }

    /// Returns the contents of a home row, `None` if it is absent or invalid.
    fn row_of_home(&self, upstream: &Upstream) -> Option<&row::Home> {
        self.view.homes.get(upstream)?.contents.as_ref()
    }

    /// Removes the earlier homes from the rows of settled homes, so that the next home
    /// doesn't wait for earlier homes that have ended.
    pub(super) fn poll_earlier_homes(&mut self) {
        if !self.may_write() {
            return;
        }
        let settled = self.held.iter().filter(|(upstream, held)| {
            held.is_settled(self.now) && self.lists_earlier_homes(upstream)
        });
        let settled: Vec<Upstream> = settled.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in settled {
            self.clear_earlier_homes(&upstream);
        }
    }

    fn lists_earlier_homes(&self, upstream: &Upstream) -> bool {
        let home = self.row_of_home(upstream);
        home.is_some_and(|home| !home.priors.is_empty() && self.is_this_process(home))
    }

    fn clear_earlier_homes(&mut self, upstream: &Upstream) {
        let key = Key::Home(upstream.clone()).text();
        let Some(home) = self.row_of_home(upstream) else {
            return;
        };
        if self.is_writing(&key) {
            return;
        }
        let mut settled = home.clone();
        settled.priors.clear();
        let version = self.view.home_version(upstream);
        let check = Check {
            key: key.clone(),
            version,
        };
        let write = Write {
            key,
            value: Some(settled.encode()),
        };
        self.write(Purpose::Settle, vec![check], vec![write]);
    }

    fn is_this_process(&self, home: &row::Home) -> bool {
        home.router == self.settings.router && home.nonce.as_ref() == self.settings.nonce
    }

    /// Becomes home because of a row that a transaction of this process wrote.
    fn become_home(&mut self, upstream: &Upstream, row: &Row, home: Option<&row::Home>) {
        let Some((home, claim)) = home.zip(self.claim_of(&row.operation)) else {
            return;
        };
        let now = self.now;
        let proven_at = claim.first_sent_at;
        let mut held = Held::new(home.term, row.version, proven_at, now, &self.settings);
        if home.term != Term(1) {
            let bound = Duration::from_millis(home.authority_ms.saturating_add(home.lease_ms));
            held.settles_at = now + self.settings.upper_bound(bound) + self.settings.heartbeat;
            held.priors = self.earlier_homes(upstream, home);
            held.settle_when_all_ended();
        }
        self.held.insert(upstream.clone(), held);
        let what = DecisionKind::Home {
            upstream: upstream.clone(),
            term: home.term,
        };
        let reason = if home.term == Term(1) {
            Reason::Unowned
        } else {
            Reason::Lost
        };
        self.record_decision(what, reason);
    }

    fn claim_of(&self, operation: &Operation) -> Option<&Pending> {
        let pending = self.pending.get(operation)?;
        matches!(pending.purpose, Purpose::Claim(_)).then_some(pending)
    }
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
