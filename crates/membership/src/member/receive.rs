//! Handling of messages from other routers.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;

use super::probe::RelayedPing;
use super::roster::{self, Entry, bucket};
use super::rumour::Urgency;
use super::{Action, Body, Machine, Member, Message, Reason, Rumour, State, Tag};

impl Machine {
    pub(super) fn receive(&mut self, now: Instant, from: SocketAddr, message: Message) {
        for rumour in message.rumours {
            self.receive_rumour(now, rumour);
        }
        match message.body {
            Body::Ping {
                sequence,
                from: tag,
                incarnation,
            } => {
                let sender = self.roster.find_by_address(from, tag);
                if let Some(sender) = &sender {
                    self.compare_digests(
                        now,
                        from,
                        sender,
                        message.view_digest,
                        message.news_digest,
                    );
                    self.observe_sender(
                        now,
                        Member {
                            incarnation,
                            ..sender.clone()
                        },
                    );
                }
                self.answer_ping(now, from, sequence, sender);
            }
            Body::Ack {
                sequence,
                by,
                incarnation,
                known,
            } => {
                self.receive_ack(now, from, sequence, by, incarnation, known);
            }
            Body::Relay { sequence, target } => self.relay_ping(now, from, sequence, target),
            Body::Compare {
                from: sender,
                buckets,
            } => {
                self.observe_sender(now, sender);
                self.answer_compare(from, &buckets);
            }
            Body::Inform => {}
        }
    }

    fn receive_rumour(&mut self, now: Instant, rumour: Rumour) {
        if rumour.member.router == self.me.router {
            self.refute(&rumour);
        } else {
            self.apply_rumour(now, rumour, Reason::Rumour);
        }
    }

    /// Refutes a wrong belief about this router by raising its incarnation.
    fn refute(&mut self, rumour: &Rumour) {
        let is_wrong = rumour.state != State::Alive && !self.has_left;
        let is_newer = rumour.member.incarnation > self.me.incarnation;
        let is_current = rumour.member.incarnation == self.me.incarnation;
        if !(is_newer || (is_current && is_wrong)) {
            return;
        }
        self.me.incarnation = rumour.member.incarnation + 1;
        self.view_digest = None;
        let state = if self.has_left {
            State::Left
        } else {
            State::Alive
        };
        self.decide(&self.me.clone(), state, Reason::Refuted);
        let member = self.me.clone();
        self.queue_rumour(Rumour { member, state }, Urgency::High);
    }

    /// Records that the sender of an authenticated message is alive.
    fn observe_sender(&mut self, now: Instant, sender: Member) {
        if sender.router != self.me.router {
            let rumour = Rumour {
                member: sender,
                state: State::Alive,
            };
            self.apply_rumour(now, rumour, Reason::Message);
        }
    }

    fn answer_ping(&mut self, now: Instant, to: SocketAddr, sequence: u64, sender: Option<Member>) {
        let known = sender.is_some();
        let belief = sender.and_then(|sender| self.belief_to_refute(&sender));
        self.send_with_rumour(now, to, self.ack(sequence, known), belief);
    }

    fn ack(&self, sequence: u64, known: bool) -> Body {
        let by = Tag::from(&self.me.router);
        Body::Ack {
            sequence,
            by,
            incarnation: self.me.incarnation,
            known,
        }
    }

    /// Returns the belief about `sender` if `sender` has to refute it.
    fn belief_to_refute(&self, sender: &Member) -> Option<Rumour> {
        let entry = self.roster.get(&sender.router)?;
        (entry.state != State::Alive).then(|| entry.rumour())
    }

    fn receive_ack(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sequence: u64,
        by: Tag,
        incarnation: u64,
        known: bool,
    ) {
        if let Some(relayed) = self.relayed.shift_remove(&sequence) {
            let body = Body::Ack {
                sequence: relayed.sequence,
                by,
                incarnation,
                known: true,
            };
            return self.send(now, relayed.origin, body);
        }
        let Some(probe) = self.probes.get(&sequence) else {
            return;
        };
        if Tag::from(&probe.target) != by {
            return;
        }
        let (target, sent) = (probe.target.clone(), probe.sent);
        self.probes.shift_remove(&sequence);
        self.network.record_answer();
        if !known {
            let rumour = Rumour {
                member: self.me.clone(),
                state: State::Alive,
            };
            self.send_with_rumour(now, from, Body::Inform, Some(rumour));
        }
        let Some(entry) = self.roster.get(&target) else {
            return;
        };
        let mut member = entry.member.clone();
        if member.address == from {
            self.network
                .record_round_trip(&member.data_centre, now - sent);
        }
        if incarnation > member.incarnation {
            member.incarnation = incarnation;
            let state = State::Alive;
            self.apply_rumour(now, Rumour { member, state }, Reason::Message);
        }
    }

    fn relay_ping(&mut self, now: Instant, origin: SocketAddr, sequence: u64, target: SocketAddr) {
        let body = self.ping_body();
        let deadline = now + self.settings.relay_timeout;
        self.relayed.insert(
            self.sequence,
            RelayedPing {
                origin,
                sequence,
                deadline,
            },
        );
        self.send(now, target, body);
    }

    /// Compares the digests of a peer with the own ones and requests what differs.
    /// News are compared with every peer, members only within a data centre.
    fn compare_digests(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sender: &Member,
        view_digest: u32,
        news_digest: u32,
    ) {
        if news_digest != self.news_digest {
            self.actions.push(Action::NewsDiffer { peer: from });
        }
        if sender.data_centre != self.me.data_centre {
            return;
        }
        if view_digest == self.view_digest() {
            self.last_view_match = Some(now);
            return;
        }
        let is_grace_over = |last_match| now - last_match >= self.settings.mismatch_grace;
        if now < self.next_compare || !self.last_view_match.is_none_or(is_grace_over) {
            return;
        }
        self.next_compare = now + self.settings.compare_period;
        let buckets = self.roster.bucket_digests(&self.me);
        let body = Body::Compare {
            from: self.me.clone(),
            buckets,
        };
        self.send(now, from, body);
    }

    /// Sends the beliefs about the members of the buckets whose digests differ from
    /// `theirs`, in a limited number of datagrams. They start at a random member, so
    /// that the answers of several routers complement each other.
    fn answer_compare(&mut self, to: SocketAddr, theirs: &[u32]) {
        let ours = self.roster.bucket_digests(&self.me);
        let differs = |router| {
            let index = bucket(roster::hash(router));
            theirs.get(index) != ours.get(index)
        };
        let known = self
            .roster
            .iter()
            .filter(|entry| entry.member.incarnation > 0);
        let known = known.filter(|entry| entry.member.data_centre == self.me.data_centre);
        let known = known.filter(|entry| differs(&entry.member.router));
        let mut rumours: Vec<Rumour> = known.map(Entry::rumour).collect();
        if rumours.is_empty() {
            return;
        }
        let start = self.random_index(rumours.len());
        rumours.rotate_left(start);
        let view_digest = self.view_digest();
        let news_digest = self.news_digest;
        for rumours in paginate(rumours, self.settings.page_bytes, self.settings.max_pages) {
            let message = Message {
                body: Body::Inform,
                view_digest,
                news_digest,
                rumours,
            };
            self.actions.push(Action::Send { to, message });
        }
    }
}

/// Divides rumours into at most `max_pages` pages of at most `max_bytes` bytes, and
/// drops the rest.
fn paginate(rumours: Vec<Rumour>, max_bytes: usize, max_pages: usize) -> Vec<Vec<Rumour>> {
    let mut pages: Vec<Vec<Rumour>> = Vec::new();
    let mut remaining = 0;
    for rumour in rumours {
        let size = rumour.size();
        if size > remaining {
            if pages.len() == max_pages {
                break;
            }
            pages.push(Vec::new());
            remaining = max_bytes;
        }
        remaining = remaining.saturating_sub(size);
        let page = pages.last_mut().expect("a page was just added");
        page.push(rumour);
    }
    pages
}
