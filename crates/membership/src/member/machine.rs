//! The machine that decides who is alive.

use std::net::SocketAddr;

use derive_more::Display;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router};
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::probe::{Probe, Relayed};
use super::roster::{self, Change, Roster};
use super::rumour::Queue;
use super::{Body, Listed, Member, Message, Rumour, Settings, State};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed; due at [`Machine::next_wake`].
    Tick,
    /// The platform's list of routers was read. It may lag.
    List(Vec<Listed>),
    /// An authenticated message arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The digest of this router's news changed; see [`crate::spread`].
    News(u32),
    /// This router stops soon and tells the others.
    Drain,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The live routers changed.
    Changed(Vec<Live>),
    /// A peer has other news than this router.
    NewsDiffer {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// One line for the log.
    Decide(Decision),
}

/// Live router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Live {
    /// Name of the router.
    pub router: Router,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Address for messages between routers.
    pub address: SocketAddr,
}

/// Change of belief about one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Router that the decision is about.
    pub router: Router,
    /// New belief.
    pub state: State,
    /// Incarnation that the belief is about.
    pub incarnation: u64,
    /// Why the belief changed.
    pub reason: Reason,
}

/// Why a belief changed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It answered no ping, directly or through others.
    #[display("no answer")]
    NoAnswer,
    /// It didn't refute a suspicion in time.
    #[display("not refuted")]
    NotRefuted,
    /// Another router said so.
    #[display("rumour")]
    Rumour,
    /// It sent a message itself.
    #[display("message")]
    Message,
    /// The platform's list names it.
    #[display("listed")]
    Listed,
    /// This router refutes what was said about it.
    #[display("refuted")]
    Refuted,
    /// This router was told to stop.
    #[display("drained")]
    Drained,
}

/// Failure detection of one router.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) me: Member,
    pub(super) left: bool,
    pub(super) news: u32,
    pub(super) roster: Roster,
    pub(super) queue: Queue,
    pub(super) random: ChaCha8Rng,
    pub(super) order: Vec<Router>,
    pub(super) turn: u64,
    pub(super) sequence: u64,
    pub(super) probes: IndexMap<u64, Probe>,
    pub(super) relayed: IndexMap<u64, Relayed>,
    pub(super) next_ping: Instant,
    pub(super) last_tick: Option<Instant>,
    pub(super) next_compare: Instant,
    pub(super) last_match: Option<Instant>,
    pub(super) view: Option<u32>,
    pub(super) actions: Vec<Action>,
    pub(super) changed: bool,
}

impl Machine {
    /// Creates the machine of one router that knows no other router yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            me: settings.me.clone(),
            left: false,
            news: 0,
            roster: Roster::default(),
            queue: Queue::new(&settings),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            order: Vec::new(),
            turn: 0,
            sequence: 0,
            probes: IndexMap::new(),
            relayed: IndexMap::new(),
            next_ping: Instant::default(),
            last_tick: None,
            next_compare: Instant::default(),
            last_match: None,
            view: None,
            actions: Vec::new(),
            changed: false,
            settings,
        }
    }

    /// Handles one event.
    ///
    /// ```
    /// use eelgrassrock_membership::member::{Action, Event, Listed, Machine, Settings};
    /// use eelgrassrock_model::time::Instant;
    ///
    /// let settings = Settings::builder("r1".parse()?, "dc-1".parse()?, "10.0.0.1:7000".parse()?);
    /// let mut machine = Machine::new(settings.build());
    /// let other = Listed {
    ///     router: "r2".parse()?,
    ///     data_centre: "dc-1".parse()?,
    ///     address: "10.0.0.2:7000".parse()?,
    ///     leaving: false,
    /// };
    /// machine.step(Instant::default(), Event::List(vec![other]));
    /// let actions = machine.step(Instant::default(), Event::Tick);
    /// assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::List(listed) => self.list(now, &listed),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::News(news) => self.news = news,
            Event::Drain => self.drain(now),
        }
        if std::mem::take(&mut self.changed) {
            self.view = None;
            let live = self.live();
            self.actions.push(Action::Changed(live));
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Instant {
        let probes = self.probes.values().map(|probe| probe.deadline);
        let suspects = self
            .roster
            .iter()
            .filter(|entry| entry.state == State::Suspect);
        let suspects = suspects.map(|entry| entry.since + self.settings.suspicion);
        probes.chain(suspects).fold(self.next_ping, Instant::min)
    }

    /// Returns the live routers, this one included unless it leaves.
    pub fn live(&self) -> Vec<Live> {
        let me = (!self.left).then_some(&self.me);
        let others = self.roster.live().map(|entry| &entry.member);
        me.into_iter().chain(others).map(Live::from).collect()
    }

    /// Returns what is believed about `router`, `None` if it is unknown.
    pub fn state(&self, router: &Router) -> Option<State> {
        self.roster.get(router).map(|entry| entry.state)
    }

    fn tick(&mut self, now: Instant) {
        self.forgive_own_pause(now);
        self.expire_probes(now);
        self.expire_suspects(now);
        if now >= self.next_ping {
            self.next_ping = now + self.settings.period;
            self.forget(now);
            self.ping_next(now);
        }
    }

    /// After a pause of this process the missing answers prove nothing.
    fn forgive_own_pause(&mut self, now: Instant) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        if now - last <= 3 * self.settings.period {
            return;
        }
        self.probes.clear();
        self.relayed.clear();
        self.roster.restart_suspicions(now);
    }

    fn expire_suspects(&mut self, now: Instant) {
        let due = now
            .as_micros()
            .saturating_sub(self.settings.suspicion.as_micros() as u64);
        let suspects = self
            .roster
            .iter()
            .filter(|entry| entry.state == State::Suspect);
        let expired = suspects.filter(|entry| entry.since.as_micros() <= due);
        let dead: Vec<Member> = expired.map(|entry| entry.member.clone()).collect();
        for member in dead {
            let rumour = Rumour {
                member,
                state: State::Dead,
            };
            self.believe(now, rumour, Reason::NotRefuted);
        }
    }

    fn forget(&mut self, now: Instant) {
        let span = self.settings.forget;
        self.roster
            .retain(|entry| entry.state.is_live() || entry.listed || now - entry.since < span);
    }

    /// Takes the platform's list in. It only adds routers to try: that it
    /// doesn't name one is no proof of anything.
    fn list(&mut self, now: Instant, listed: &[Listed]) {
        self.roster.clear_listed();
        self.roster.mark_listed(listed);
        let mut candidates: Vec<&Listed> = listed.iter().filter(|vm| !vm.leaving).collect();
        candidates.shuffle(&mut self.random);
        for vm in candidates {
            if vm.router != self.me.router && self.roster.get(&vm.router).is_none() {
                self.introduce(now, vm);
            }
        }
    }

    fn introduce(&mut self, now: Instant, vm: &Listed) {
        let member = Member {
            router: vm.router.clone(),
            data_centre: vm.data_centre.clone(),
            address: vm.address,
            incarnation: 0,
        };
        if self.wants(&member) {
            let rumour = Rumour {
                member,
                state: State::Alive,
            };
            self.believe(now, rumour, Reason::Listed);
            self.roster.mark_listed(std::slice::from_ref(vm));
        }
    }

    /// Returns whether this router keeps track of `member`: all of its own
    /// data centre, and a few of each other one.
    pub(super) fn wants(&self, member: &Member) -> bool {
        member.data_centre == self.me.data_centre
            || self.roster.targets_in(&member.data_centre) < self.settings.bridges
    }

    fn drain(&mut self, now: Instant) {
        self.left = true;
        self.changed = true;
        self.decide(&self.me.clone(), State::Left, Reason::Drained);
        let rumour = Rumour {
            member: self.me.clone(),
            state: State::Left,
        };
        self.queue.push(rumour.clone());
        let mut addresses: Vec<SocketAddr> = self
            .roster
            .live()
            .map(|entry| entry.member.address)
            .collect();
        addresses.shuffle(&mut self.random);
        for to in addresses.into_iter().take(self.settings.relays) {
            self.send_about(now, to, Body::Inform, Some(rumour.clone()));
        }
    }

    /// Takes a belief over if it is newer, and passes it on.
    pub(super) fn believe(&mut self, now: Instant, rumour: Rumour, reason: Reason) {
        let known = self.roster.get(&rumour.member.router).is_some();
        let welcome = rumour.state.is_live() && self.wants(&rumour.member);
        if !known && !welcome {
            return;
        }
        let Change::From { state, live } = self.roster.apply(now, &rumour) else {
            return;
        };
        self.view = None;
        let is_live = rumour.member.incarnation > 0 && rumour.state.is_live();
        self.changed |= live != is_live;
        if state != Some(rumour.state) || live != is_live {
            self.decide(&rumour.member, rumour.state, reason);
        }
        if reason != Reason::Listed {
            self.queue.push(rumour);
        }
    }

    pub(super) fn decide(&mut self, member: &Member, state: State, reason: Reason) {
        self.actions.push(Action::Decide(Decision {
            router: member.router.clone(),
            state,
            incarnation: member.incarnation,
            reason,
        }));
    }

    /// Returns the digest of the live members of this data centre.
    pub(super) fn view(&mut self) -> u32 {
        if let Some(view) = self.view {
            return view;
        }
        let buckets = self.roster.buckets(&self.me);
        let view = roster::fold(&buckets);
        self.view = Some(view);
        view
    }

    pub(super) fn send(&mut self, now: Instant, to: SocketAddr, body: Body) {
        self.send_about(now, to, body, None);
    }

    /// Sends a message whose first rumour is `first`.
    pub(super) fn send_about(
        &mut self,
        now: Instant,
        to: SocketAddr,
        body: Body,
        first: Option<Rumour>,
    ) {
        let members = self.roster.iter().count();
        let mut rumours: Vec<Rumour> = first.into_iter().collect();
        rumours.extend(self.queue.take(now, members));
        let message = Message {
            body,
            view: self.view(),
            news: self.news,
            rumours,
        };
        self.actions.push(Action::Send { to, message });
    }

    pub(super) fn draw(&mut self, below: usize) -> usize {
        self.random.random_range(0..below)
    }
}

impl From<&Member> for Live {
    fn from(member: &Member) -> Self {
        Self {
            router: member.router.clone(),
            data_centre: member.data_centre.clone(),
            address: member.address,
        }
    }
}
