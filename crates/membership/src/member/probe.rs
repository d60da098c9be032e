//! Pings, and what follows when they aren't answered.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router};
use rand::seq::{IteratorRandom, SliceRandom};

use super::{Body, Machine, Member, Reason, Rumour, State, Tag};

/// In every so many periods a router in random order is pinged as well.
const RANDOM_TURNS: u64 = 4;
/// In every so many periods that router is one that is believed dead, so that
/// two parts of the fleet find each other again.
const DEAD_TURNS: u64 = 8;

/// Number of routers that were only listed so far and are pinged in a period.
const GREETINGS: usize = 4;

/// Ping that waits for its answer.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: Router,
    pub(crate) sent: Instant,
    pub(crate) deadline: Instant,
    /// Rounds through other routers that may still follow.
    pub(crate) rounds: u32,
}

/// Ping that was sent for another router.
#[derive(Debug)]
pub(crate) struct Relayed {
    pub(crate) origin: SocketAddr,
    pub(crate) sequence: u64,
    pub(crate) deadline: Instant,
}

impl Machine {
    /// Pings the next router on the ring of this data centre, so that each is
    /// pinged in every period, and now and then one of all known routers in
    /// random order.
    pub(super) fn ping_next(&mut self, now: Instant) {
        self.turn += 1;
        if self.left {
            return self.tell_leaving(now);
        }
        let dead = self.turn.is_multiple_of(DEAD_TURNS) && self.ping_dead(now);
        if !dead && self.turn.is_multiple_of(RANDOM_TURNS) {
            let member = self.next_in_order();
            self.ping_member(now, member);
        }
        self.greet(now);
        let member = self.ring_target().or_else(|| self.next_in_order());
        self.ping_member(now, member);
    }

    /// Pings a few routers that were only listed so far.
    pub(super) fn greet(&mut self, now: Instant) {
        let targets = self.roster.targets();
        let unheard = targets.filter(|entry| !entry.is_live());
        let chosen = unheard.sample(&mut self.random, GREETINGS);
        let members: Vec<Member> = chosen.iter().map(|entry| entry.member.clone()).collect();
        for member in members {
            self.ping_member(now, Some(member));
        }
    }

    fn ping_member(&mut self, now: Instant, member: Option<Member>) {
        if let Some(member) = member {
            let suspicion = self.suspicion_of(&member.router);
            self.ping(now, member, suspicion);
        }
    }

    fn tell_leaving(&mut self, now: Instant) {
        if let Some(member) = self.next_in_order() {
            let rumour = Rumour {
                member: self.me.clone(),
                state: State::Left,
            };
            self.send_about(now, member.address, Body::Inform, Some(rumour));
        }
    }

    fn ring_target(&self) -> Option<Member> {
        let start = super::roster::hash(&self.me.router).wrapping_add(1);
        self.roster.successor(start, &self.me.data_centre).cloned()
    }

    fn next_in_order(&mut self) -> Option<Member> {
        if self.order.is_empty() {
            let targets = self.roster.targets();
            let names = targets.map(|entry| entry.member.router.clone());
            self.order = names.collect();
            self.order.shuffle(&mut self.random);
        }
        while let Some(router) = self.order.pop() {
            let entry = self.roster.get(&router);
            if let Some(entry) = entry.filter(|entry| entry.state.is_live()) {
                return Some(entry.member.clone());
            }
        }
        None
    }

    /// Pings one router that is believed dead and tells it so. Nothing follows
    /// when it doesn't answer; when it lives, it refutes.
    fn ping_dead(&mut self, now: Instant) -> bool {
        let dead: Vec<Rumour> = self.roster.dead().collect();
        if dead.is_empty() {
            return false;
        }
        let rumour = dead[self.draw(dead.len())].clone();
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

    fn ping(&mut self, now: Instant, target: Member, about: Option<Rumour>) {
        let body = self.ping_body();
        let timeout = self.timeout(&target.data_centre);
        let probe = Probe {
            target: target.router.clone(),
            sent: now,
            deadline: now + timeout,
            rounds: 1 + self.network.extra_rounds(),
        };
        self.probes.insert(self.sequence, probe);
        self.send_about(now, target.address, body, about);
    }

    /// Returns the time within which a router answers.
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

    /// Pings another router of the data centre of one that was just suspected:
    /// when all of it is gone, this finds out soon.
    pub(super) fn ping_neighbour(&mut self, now: Instant, data_centre: &DataCentre) {
        let live = self.roster.live();
        let alive = live.filter(|entry| entry.state == State::Alive);
        let peers = alive.filter(|entry| entry.member.data_centre == *data_centre);
        let chosen = peers.choose(&mut self.random);
        let member = chosen.map(|entry| entry.member.clone());
        self.ping_member(now, member);
    }

    /// Repeats a ping, since the first one may have been lost.
    fn ping_again(&mut self, now: Instant, sequence: u64, target: &Member) {
        let from = Tag::from(&self.me.router);
        let incarnation = self.me.incarnation;
        let suspicion = self.suspicion_of(&target.router);
        let body = Body::Ping {
            sequence,
            from,
            incarnation,
        };
        self.send_about(now, target.address, body, suspicion);
    }

    fn suspicion_of(&self, router: &Router) -> Option<Rumour> {
        let entry = self.roster.get(router)?;
        (entry.state == State::Suspect).then(|| entry.rumour())
    }

    /// Handles pings whose answer is overdue.
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
            if probe.rounds == 0 {
                self.suspect(now, member);
                continue;
            }
            self.network.miss();
            self.ask_relays(now, sequence, &member);
            self.ping_again(now, sequence, &member);
            probe.rounds -= 1;
            let extra = self.timeout(&member.data_centre) - self.settings.ping_timeout;
            probe.deadline = now + self.settings.relay_timeout + extra;
            self.probes.insert(sequence, probe);
        }
    }

    fn ask_relays(&mut self, now: Instant, sequence: u64, target: &Member) {
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

    /// Suspects a router and tells it at once, so that it can refute.
    fn suspect(&mut self, now: Instant, member: Member) {
        let rumour = Rumour {
            member: member.clone(),
            state: State::Suspect,
        };
        self.believe(now, rumour, Reason::NoAnswer);
        self.roster.accuse(&member.router);
        if let Some(suspicion) = self.suspicion_of(&member.router) {
            self.ping(now, member, Some(suspicion));
        }
    }
}
