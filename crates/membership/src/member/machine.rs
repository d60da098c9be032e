//! The machine that decides who is alive.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router};
use indexmap::IndexMap;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::network::Network;
use super::probe::{Probe, Relayed};
use super::roster::{self, Change, Entry, Roster};
use super::rumour::{Queue, Urgency};
use super::{
    Action, Body, Decision, Event, Listed, Live, Member, Message, Reason, Rumour, Settings, State,
};

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
    pub(super) network: Network,
    pub(super) next_ping: Instant,
    pub(super) next_compare: Instant,
    pub(super) last_match: Option<Instant>,
    pub(super) view: Option<u32>,
    pub(super) actions: Vec<Action>,
    pub(super) changed: bool,
    /// Whether there are rumours that nobody was told yet.
    pub(super) urgent: bool,
    /// Data centre of a router that was just suspected.
    pub(super) alarm: Option<DataCentre>,
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
            network: Network::default(),
            next_ping: Instant::default(),
            next_compare: Instant::default(),
            last_match: None,
            view: None,
            actions: Vec::new(),
            changed: false,
            urgent: false,
            alarm: None,
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
        if let Some(data_centre) = self.alarm.take() {
            self.ping_neighbour(now, &data_centre);
        }
        if std::mem::take(&mut self.urgent) {
            self.tell_some(now);
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
        let span = self.settings.suspicion;
        let suspects = self
            .roster
            .iter()
            .filter_map(|entry| entry.end_of_suspicion(span));
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
        let late = now - self.next_wake();
        if late <= self.settings.period {
            return;
        }
        self.probes.clear();
        self.relayed.clear();
        self.roster.restart_suspicions(now);
    }

    fn expire_suspects(&mut self, now: Instant) {
        let span = self.settings.suspicion;
        let due = |entry: &&Entry| entry.end_of_suspicion(span).is_some_and(|end| end <= now);
        let expired = self.roster.iter().filter(due);
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
        self.greet(now);
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
        self.pass_on(rumour.clone(), Urgency::High);
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
        if rumour.state == State::Suspect {
            self.alarm = Some(rumour.member.data_centre.clone());
        }
        let is_live = rumour.member.incarnation > 0 && rumour.state.is_live();
        self.changed |= live != is_live;
        if state != Some(rumour.state) || live != is_live {
            self.decide(&rumour.member, rumour.state, reason);
        }
        if reason != Reason::Listed {
            let fresh = rumour.state == State::Alive && matches!(state, None | Some(State::Alive));
            let urgency = if fresh { Urgency::Low } else { Urgency::High };
            self.pass_on(rumour, urgency);
        }
    }

    /// Queues a rumour, and has it told to a few routers at once.
    pub(super) fn pass_on(&mut self, rumour: Rumour, urgency: Urgency) {
        self.queue.push(rumour, urgency);
        self.urgent |= urgency == Urgency::High;
    }

    /// Tells the latest rumours to a few routers without waiting for the next
    /// ping, as long as there are bytes to spare.
    fn tell_some(&mut self, now: Instant) {
        if !self.queue.has_spare(now) {
            return;
        }
        let targets = self.roster.live().map(|entry| entry.member.address);
        let receivers: Vec<SocketAddr> = targets.sample(&mut self.random, self.settings.eager);
        for to in receivers {
            self.send(now, to, Body::Inform);
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
