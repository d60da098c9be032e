//! Homes: who takes over an upstream, and who ceases to be home.

use std::time::Duration;

use eelgrassrock_model::fleet::Fleet;
use eelgrassrock_model::table::{Check, Operation, Row, Write};
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Service, Term, Upstream};
use indexmap::IndexMap;

use super::Machine;
use crate::decision::{Reason, What};
use crate::event::Member;
use crate::held::Held;
use crate::place;
use crate::row::{self, Key};
use crate::write::{Pending, Purpose};

/// Time that each router leaves to those that rank before it.
const CLAIM_STAGGER: Duration = Duration::from_millis(250);

/// Time within which a home that this router has never seen alive is expected
/// to become known as a member. Without it, routers that start together take
/// each other's upstreams over again and again.
const ACQUAINTANCE: Duration = Duration::from_secs(1);

/// Upstream without live home.
#[derive(Clone, Copy, Debug)]
pub(super) struct Orphan {
    /// Time at which this router noticed.
    since: Instant,
    /// Time at which this router claims it, `None` if it never does.
    claim_at: Option<Instant>,
}

/// Time to wait for other routers before the first homes are chosen.
const START_DELAY: Duration = Duration::from_secs(1);

impl Machine {
    pub(super) fn on_members(&mut self, members: Vec<Member>) {
        let members = members.into_iter().map(|it| (it.router.clone(), it));
        let members: IndexMap<_, _> = members.collect();
        if self.members.is_empty() {
            self.started_at = self.now + START_DELAY;
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
        self.departed.extend(gone.iter().cloned());
        for router in gone.iter().chain(&back) {
            let upstreams = self.view.by_router.get(router).cloned();
            for upstream in upstreams.into_iter().flatten() {
                self.watch(&upstream);
            }
        }
        let orphans: Vec<Upstream> = self.orphans.keys().cloned().collect();
        for upstream in orphans {
            self.rank_again(&upstream);
        }
    }

    pub(super) fn on_fleet(&mut self, fleet: Fleet) {
        if fleet.version < self.view.fleet.version {
            return;
        }
        let changes = self.view.set_fleet(fleet);
        for change in changes {
            self.react(change);
        }
        self.watch_all();
    }

    /// Looks again at every upstream and service.
    pub(super) fn watch_all(&mut self) {
        let fleet = self.view.fleet.upstreams.keys();
        let owners = self.view.owners().map(|(upstream, _)| upstream);
        let upstreams: Vec<Upstream> = fleet.chain(owners).cloned().collect();
        for upstream in upstreams {
            self.watch(&upstream);
        }
        let services: Vec<Service> = self.view.services.keys().cloned().collect();
        for service in services {
            self.watch_service(&service);
        }
    }

    /// Looks again whether an upstream lacks a home.
    pub(super) fn watch(&mut self, upstream: &Upstream) {
        if !self.is_orphan(upstream) {
            self.orphans.swap_remove(upstream);
        } else if !self.orphans.contains_key(upstream) {
            let orphan = Orphan {
                since: self.now,
                claim_at: None,
            };
            self.orphans.insert(upstream.clone(), orphan);
            self.rank_again(upstream);
        }
    }

    fn is_orphan(&self, upstream: &Upstream) -> bool {
        if self.held.contains_key(upstream) {
            return false;
        }
        let Some(home) = self.view.home(upstream) else {
            // A row that can't be used is left to the operator.
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

    /// Computes when this router claims an orphan.
    fn rank_again(&mut self, upstream: &Upstream) {
        let me = &self.settings.router;
        let restarted = self.view.home(upstream).is_some_and(|it| it.router == *me);
        let rank = if restarted {
            Some(0)
        } else {
            let data_centre = self.data_centre_of(upstream);
            place::rank(me, upstream, data_centre, self.members.values())
        };
        let from = self.claims_from(upstream);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok());
        let claim_at = rank.map(|rank| from + CLAIM_STAGGER * rank);
        if let Some(orphan) = self.orphans.get_mut(upstream) {
            orphan.claim_at = claim_at;
        }
    }

    /// Returns the time from which an orphan may be claimed.
    fn claims_from(&self, upstream: &Upstream) -> Instant {
        let home = self.view.home(upstream);
        let unseen = home.is_some_and(|home| {
            home.router != self.settings.router && !self.departed.contains(&home.router)
        });
        match self.orphans.get(upstream) {
            Some(orphan) if unseen => self.now.max(orphan.since + ACQUAINTANCE),
            _ if home.is_none() => self.now.max(self.started_at),
            _ => self.now,
        }
    }

    pub(super) fn poll_claims(&mut self) {
        if !self.homes_known || self.draining.is_some() || !self.may_write() {
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
            self.rank_again(upstream);
        }
        self.watch(upstream);
    }

    /// Reacts to another row of a home.
    pub(super) fn on_home_changed(&mut self, upstream: &Upstream) {
        // The new home lacks the reports on the other upstreams.
        self.next_report = self.now;
        let Some(home) = self.view.homes.get(upstream) else {
            self.watch(upstream);
            return;
        };
        let (row, contents) = (home.row.clone(), home.contents.clone());
        let mine = contents.as_ref().is_some_and(|it| self.is_mine(it));
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
            None if mine => self.hold(upstream, &row, contents.as_ref()),
            _ => {}
        }
        self.watch(upstream);
    }

    /// Returns the contents of the row of a home, `None` if it can't be used.
    fn row_of_home(&self, upstream: &Upstream) -> Option<&row::Home> {
        self.view.homes.get(upstream)?.contents.as_ref()
    }

    /// Removes the earlier homes from the row, so that the next home doesn't
    /// wait for those that are gone.
    pub(super) fn poll_settled(&mut self) {
        if !self.may_write() {
            return;
        }
        let settled = self.held.iter().filter(|(upstream, held)| {
            held.is_settled(self.now) && self.lists_earlier_homes(upstream)
        });
        let settled: Vec<Upstream> = settled.map(|(upstream, _)| upstream.clone()).collect();
        for upstream in settled {
            self.note_settled(&upstream);
        }
    }

    fn lists_earlier_homes(&self, upstream: &Upstream) -> bool {
        let home = self.row_of_home(upstream);
        home.is_some_and(|home| !home.priors.is_empty() && self.is_mine(home))
    }

    fn note_settled(&mut self, upstream: &Upstream) {
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

    fn is_mine(&self, home: &row::Home) -> bool {
        home.router == self.settings.router && home.nonce.as_ref() == self.settings.nonce
    }

    /// Becomes home by a row that a transaction of this process wrote.
    fn hold(&mut self, upstream: &Upstream, row: &Row, home: Option<&row::Home>) {
        let Some((home, claim)) = home.zip(self.claim_of(&row.operation)) else {
            return;
        };
        let now = self.now;
        let proven_at = claim.first_sent_at;
        let mut held = Held::new(home.term, row.version, proven_at, now, &self.settings);
        if home.term != Term(1) {
            let bound = Duration::from_millis(home.authority_ms.saturating_add(home.lease_ms));
            held.settles_at = now + self.settings.longer(bound) + self.settings.heartbeat;
            held.priors = self.wait_for(upstream, home);
            held.settle_when_all_ended();
        }
        self.held.insert(upstream.clone(), held);
        let what = What::Home {
            upstream: upstream.clone(),
            term: home.term,
        };
        let reason = if home.term == Term(1) {
            Reason::Unowned
        } else {
            Reason::Lost
        };
        self.decide(what, reason);
    }

    fn claim_of(&self, operation: &Operation) -> Option<&Pending> {
        let pending = self.pending.get(operation)?;
        matches!(pending.purpose, Purpose::Claim(_)).then_some(pending)
    }
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
