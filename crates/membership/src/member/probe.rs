//! Direct and indirect pings, and the suspicion of routers that don't answer.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router};
use rand::seq::{IteratorRandom, SliceRandom};

use super::{Body, Machine, Member, Reason, Rumour, State, Tag};

/// Number of periods between two pings of a router in random order, in addition
/// to the ring.
const RANDOM_PING_INTERVAL: u64 = 4;
/// Number of periods between two pings of a router that is believed dead, so that
/// the two sides of a network partition find each other after it heals.
const DEAD_PING_INTERVAL: u64 = 8;

/// Maximum number of routers to ping per period that are known only from the
/// platform's list.
const MAX_UNCONFIRMED_PINGS: usize = 4;

/// Ping of this router whose answer is pending.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: Router,
    pub(crate) sent: Instant,
    pub(crate) deadline: Instant,
    /// Rounds of indirect pings left before the target is suspected.
    pub(crate) rounds_left: u32,
}

/// Ping that this router sent on behalf of another one.
#[derive(Debug)]
pub(crate) struct RelayedPing {
    pub(crate) origin: SocketAddr,
    pub(crate) sequence: u64,
    pub(crate) deadline: Instant,
}

impl Machine {
    /// Pings the successor on the ring of this data centre, so that each router is
    /// pinged once per period. At longer intervals it also pings one of all known
    /// routers in random order, or one that is believed dead.
    pub(super) fn ping_next(&mut self, now: Instant) {
        self.period_count += 1;
        if self.has_left {
            return self.announce_leave(now);
        }
        let pinged_dead =
            self.period_count.is_multiple_of(DEAD_PING_INTERVAL) && self.ping_dead(now);
        if !pinged_dead && self.period_count.is_multiple_of(RANDOM_PING_INTERVAL) {
            let member = self.next_in_random_order();
            self.ping_member(now, member);
        }
        self.ping_unconfirmed(now);
        let member = self.ring_target().or_else(|| self.next_in_random_order());
        self.ping_member(now, member);
    }

    /// Pings a few routers that are known only from the platform's list.
    pub(super) fn ping_unconfirmed(&mut self, now: Instant) {
        let targets = self.roster.targets();
        let unconfirmed = targets.filter(|entry| !entry.is_live());
        let chosen = unconfirmed.sample(&mut self.random, MAX_UNCONFIRMED_PINGS);
        let members: Vec<Member> = chosen.iter().map(|entry| entry.member.clone()).collect();
        for member in members {
            self.ping_member(now, Some(member));
        }
    }

    fn ping_member(&mut self, now: Instant, member: Option<Member>) {
        if let Some(member) = member {
            let suspicion = self.suspicion_about(&member.router);
            self.ping(now, member, suspicion);
        }
    }

    fn announce_leave(&mut self, now: Instant) {
        if let Some(member) = self.next_in_random_order() {
            let rumour = Rumour {
                member: self.me.clone(),
                state: State::Left,
            };
            self.send_with_rumour(now, member.address, Body::Inform, Some(rumour));
        }
    }

    fn ring_target(&self) -> Option<Member> {
        let start = super::roster::hash(&self.me.router).wrapping_add(1);
        self.roster.successor(start, &self.me.data_centre).cloned()
    }

    fn next_in_random_order(&mut self) -> Option<Member> {
        if self.ping_order.is_empty() {
            let targets = self.roster.targets();
            let names = targets.map(|entry| entry.member.router.clone());
            self.ping_order = names.collect();
            self.ping_order.shuffle(&mut self.random);
        }
        while let Some(router) = self.ping_order.pop() {
            let entry = self.roster.get(&router);
            if let Some(entry) = entry.filter(|entry| entry.state.is_live()) {
                return Some(entry.member.clone());
            }
        }
        None
    }

    /// Pings one router that is believed dead and sends it this belief. If the
    /// router is alive, it refutes the belief. If it doesn't answer, nothing changes.
    fn ping_dead(&mut self, now: Instant) -> bool {
        let dead: Vec<Rumour> = self.roster.dead().collect();
        if dead.is_empty() {
            return false;
        }
        let rumour = dead[self.random_index(dead.len())].clone();
        self.ping(now, rumour.member.clone(), Some(rumour));
        true
    }

    pub(super) fn ping_body(&mut self) -> Body {
        self.sequence += 1;
        Body::Ping {
            sequence: self.sequence,
            from: Tag::from(&self.me.router),
            incarnation: self.me.incarnation,
        }
    }

    fn ping(&mut self, now: Instant, target: Member, first: Option<Rumour>) {
        let body = self.ping_body();
        let timeout = self.timeout(&target.data_centre);
        let probe = Probe {
            target: target.router.clone(),
            sent: now,
            deadline: now + timeout,
            rounds_left: 1 + self.network.extra_rounds(),
        };
        self.probes.insert(self.sequence, probe);
        self.send_with_rumour(now, target.address, body, first);
    }

    /// Returns the timeout of a direct ping to a data centre.
    fn timeout(&self, data_centre: &DataCentre) -> Duration {
        if *data_centre == self.me.data_centre {
            return self.settings.ping_timeout;
        }
        let round_trip = self.network.round_trip(data_centre);
        let timeout = round_trip.map(|span| self.settings.ping_timeout + 2 * span);
        timeout
            .unwrap_or(Duration::MAX)
            .min(self.settings.remote_timeout)
    }

    /// Pings another router in the data centre of a router that became suspected, so
    /// that the loss of a whole data centre is detected soon.
    pub(super) fn ping_neighbour(&mut self, now: Instant, data_centre: &DataCentre) {
        let live = self.roster.live();
        let alive = live.filter(|entry| entry.state == State::Alive);
        let peers = alive.filter(|entry| entry.member.data_centre == *data_centre);
        let chosen = peers.choose(&mut self.random);
        let member = chosen.map(|entry| entry.member.clone());
        self.ping_member(now, member);
    }

    /// Repeats a ping under the same sequence number, since the first datagram may
    /// have been lost.
    fn ping_again(&mut self, now: Instant, sequence: u64, target: &Member) {
        let from = Tag::from(&self.me.router);
        let incarnation = self.me.incarnation;
        let suspicion = self.suspicion_about(&target.router);
        let body = Body::Ping {
            sequence,
            from,
            incarnation,
        };
        self.send_with_rumour(now, target.address, body, suspicion);
    }

    fn suspicion_about(&self, router: &Router) -> Option<Rumour> {
        let entry = self.roster.get(router)?;
        (entry.state == State::Suspect).then(|| entry.rumour())
    }

    /// Handles pings whose deadline has passed: tries a round of indirect pings, or
    /// suspects the target if no round is left.
    pub(super) fn expire_probes(&mut self, now: Instant) {
        self.relayed.retain(|_, relayed| relayed.deadline > now);
        let due = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.deadline <= now);
        let due: Vec<u64> = due.map(|(sequence, _)| *sequence).collect();
        for sequence in due {
            let Some(mut probe) = self.probes.shift_remove(&sequence) else {
                continue;
            };
            let Some(entry) = self.roster.get(&probe.target) else {
                continue;
            };
            let member = entry.member.clone();
            if !entry.state.is_live() {
                continue;
            }
            if probe.rounds_left == 0 {
                self.suspect(now, member);
                continue;
            }
            self.network.record_timeout();
            self.request_relays(now, sequence, &member);
            self.ping_again(now, sequence, &member);
            probe.rounds_left -= 1;
            let extra_time = self.timeout(&member.data_centre) - self.settings.ping_timeout;
            probe.deadline = now + self.settings.relay_timeout + extra_time;
            self.probes.insert(sequence, probe);
        }
    }

    fn request_relays(&mut self, now: Instant, sequence: u64, target: &Member) {
        let mut peers: Vec<SocketAddr> = self
            .roster
            .live()
            .filter(|entry| entry.member.router != target.router)
            .filter(|entry| entry.member.data_centre == self.me.data_centre)
            .map(|entry| entry.member.address)
            .collect();
        peers.shuffle(&mut self.random);
        for to in peers.into_iter().take(self.settings.relays) {
            self.send(
                now,
                to,
                Body::Relay {
                    sequence,
                    target: target.address,
                },
            );
        }
    }

    /// Suspects a router and sends it the suspicion at once, so that it can refute.
    fn suspect(&mut self, now: Instant, member: Member) {
        let rumour = Rumour {
            member: member.clone(),
            state: State::Suspect,
        };
        self.apply_rumour(now, rumour, Reason::NoAnswer);
        self.roster.mark_probe_failed(&member.router);
        if let Some(suspicion) = self.suspicion_about(&member.router) {
            self.ping(now, member, Some(suspicion));
        }
    }
}
