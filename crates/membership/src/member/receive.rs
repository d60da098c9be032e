//! Messages from other routers.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;

use super::probe::Relayed;
use super::roster::{self, Entry, bucket};
use super::rumour::Urgency;
use super::{Action, Body, Machine, Member, Message, Reason, Rumour, State, Tag};

impl Machine {
    pub(super) fn receive(&mut self, now: Instant, from: SocketAddr, message: Message) {
        for rumour in message.rumours {
            self.hear(now, rumour);
        }
        match message.body {
            Body::Ping {
                sequence,
                from: tag,
                incarnation,
            } => {
                let sender = self.roster.find(from, tag);
                if let Some(sender) = &sender {
                    self.compare(now, from, sender, message.view, message.news);
                    self.meet(
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
                self.acknowledge(now, from, sequence, by, incarnation, known);
            }
            Body::Relay { sequence, target } => self.relay(now, from, sequence, target),
            Body::Compare {
                from: sender,
                buckets,
            } => {
                self.meet(now, sender);
                self.answer_compare(from, &buckets);
            }
            Body::Inform => {}
        }
    }

    fn hear(&mut self, now: Instant, rumour: Rumour) {
        if rumour.member.router == self.me.router {
            self.refute(&rumour);
        } else {
            self.believe(now, rumour, Reason::Rumour);
        }
    }

    /// Answers a wrong belief about this router with a higher incarnation.
    fn refute(&mut self, rumour: &Rumour) {
        let accused = rumour.state != State::Alive && !self.left;
        let newer = rumour.member.incarnation > self.me.incarnation;
        let same = rumour.member.incarnation == self.me.incarnation;
        if !(newer || (same && accused)) {
            return;
        }
        self.me.incarnation = rumour.member.incarnation + 1;
        self.view = None;
        let state = if self.left { State::Left } else { State::Alive };
        self.decide(&self.me.clone(), state, Reason::Refuted);
        let member = self.me.clone();
        self.pass_on(Rumour { member, state }, Urgency::High);
    }

    /// Takes in the sender of an authenticated message.
    fn meet(&mut self, now: Instant, sender: Member) {
        if sender.router != self.me.router {
            let rumour = Rumour {
                member: sender,
                state: State::Alive,
            };
            self.believe(now, rumour, Reason::Message);
        }
    }

    fn answer_ping(&mut self, now: Instant, to: SocketAddr, sequence: u64, sender: Option<Member>) {
        let known = sender.is_some();
        let wrong = sender.and_then(|sender| self.wrong_belief(&sender));
        self.send_about(now, to, self.ack(sequence, known), wrong);
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

    /// Returns the belief about `sender` that it has to refute, if any.
    fn wrong_belief(&self, sender: &Member) -> Option<Rumour> {
        let entry = self.roster.get(&sender.router)?;
        (entry.state != State::Alive).then(|| entry.rumour())
    }

    fn acknowledge(
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
        self.network.hit();
        if !known {
            let rumour = Rumour {
                member: self.me.clone(),
                state: State::Alive,
            };
            self.send_about(now, from, Body::Inform, Some(rumour));
        }
        let Some(entry) = self.roster.get(&target) else {
            return;
        };
        let mut member = entry.member.clone();
        if member.address == from {
            self.network.measure(&member.data_centre, now - sent);
        }
        if incarnation > member.incarnation {
            member.incarnation = incarnation;
            let state = State::Alive;
            self.believe(now, Rumour { member, state }, Reason::Message);
        }
    }

    fn relay(&mut self, now: Instant, origin: SocketAddr, sequence: u64, target: SocketAddr) {
        let body = self.ping_body();
        let deadline = now + self.settings.relay_timeout;
        self.relayed.insert(
            self.sequence,
            Relayed {
                origin,
                sequence,
                deadline,
            },
        );
        self.send(now, target, body);
    }

    /// Compares digests with a peer, and asks for what differs. News are the
    /// same everywhere; members are compared within a data centre only.
    fn compare(&mut self, now: Instant, from: SocketAddr, sender: &Member, view: u32, news: u32) {
        if news != self.news {
            self.actions.push(Action::NewsDiffer { peer: from });
        }
        if sender.data_centre != self.me.data_centre {
            return;
        }
        if view == self.view() {
            self.last_match = Some(now);
            return;
        }
        let settled = |matched| now - matched >= self.settings.settle;
        if now < self.next_compare || !self.last_match.is_none_or(settled) {
            return;
        }
        self.next_compare = now + self.settings.compare_period;
        let buckets = self.roster.buckets(&self.me);
        let body = Body::Compare {
            from: self.me.clone(),
            buckets,
        };
        self.send(now, from, body);
    }

    /// Sends what this router believes about the members of the buckets that
    /// differ from `theirs`, a few datagrams at a time and starting at a
    /// random member, so that the answers of several routers add up.
    fn answer_compare(&mut self, to: SocketAddr, theirs: &[u32]) {
        let ours = self.roster.buckets(&self.me);
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
        let start = self.draw(rumours.len());
        rumours.rotate_left(start);
        let view = self.view();
        let news = self.news;
        for rumours in pages(rumours, self.settings.page_bytes, self.settings.pages) {
            let message = Message {
                body: Body::Inform,
                view,
                news,
                rumours,
            };
            self.actions.push(Action::Send { to, message });
        }
    }
}

/// Divides rumours into at most `count` datagrams of at most `most` bytes.
fn pages(rumours: Vec<Rumour>, most: usize, count: usize) -> Vec<Vec<Rumour>> {
    let mut pages: Vec<Vec<Rumour>> = Vec::new();
    let mut room = 0;
    for rumour in rumours {
        let size = rumour.size();
        if size > room {
            if pages.len() == count {
                break;
            }
            pages.push(Vec::new());
            room = most;
        }
        room = room.saturating_sub(size);
        let page = pages.last_mut().expect("a page was just added");
        page.push(rumour);
    }
    pages
}
