//! State machine that decides which routers are alive.

use std::net::SocketAddr;

use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{DataCentre, Router};
use indexmap::IndexMap;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::network::Network;
use super::probe::{Probe, RelayedPing};
use super::roster::{self, Change, Entry, Roster};
use super::rumour::{Queue, Urgency};
use super::{
    Action, Body, Decision, Event, Listed, Live, Member, Message, Reason, Rumour, Settings, State,
};

/// State machine of one router's failure detection. It performs no I/O.
#[derive(Debug)]
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) me: Member,
    pub(super) has_left: bool,
    pub(super) news_digest: u32,
    pub(super) roster: Roster,
    pub(super) queue: Queue,
    pub(super) random: ChaCha8Rng,
    /// Shuffled routers that are still to be pinged in this pass.
    pub(super) ping_order: Vec<Router>,
    pub(super) period_count: u64,
    pub(super) sequence: u64,
    pub(super) probes: IndexMap<u64, Probe>,
    pub(super) relayed: IndexMap<u64, RelayedPing>,
    pub(super) network: Network,
    pub(super) next_ping: Instant,
    pub(super) next_compare: Instant,
    /// Time at which the view last matched that of a peer.
    pub(super) last_view_match: Option<Instant>,
    /// Cached digest of the live members, `None` if it is out of date.
    pub(super) view_digest: Option<u32>,
    pub(super) actions: Vec<Action>,
    /// Whether the live routers changed during this step.
    pub(super) has_changed: bool,
    /// Whether urgent rumours were queued that haven't been sent yet.
    pub(super) has_urgent_rumours: bool,
    /// Data centre of a router that became suspected during this step.
    pub(super) suspected_data_centre: Option<DataCentre>,
}

impl Machine {
    /// Creates the state machine of a router that knows no other router yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            me: settings.me.clone(),
            has_left: false,
            news_digest: 0,
            roster: Roster::default(),
            queue: Queue::new(&settings),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            ping_order: Vec::new(),
            period_count: 0,
            sequence: 0,
            probes: IndexMap::new(),
            relayed: IndexMap::new(),
            network: Network::default(),
            next_ping: Instant::default(),
            next_compare: Instant::default(),
            last_view_match: None,
            view_digest: None,
            actions: Vec::new(),
            has_changed: false,
            has_urgent_rumours: false,
            suspected_data_centre: None,
            settings,
        }
    }

    /// Handles one event and returns the resulting actions, in order.
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
            Event::List(listed) => self.apply_list(now, &listed),
            Event::Received { from, message } => self.receive(now, from, message),
            Event::NewsDigest(digest) => self.news_digest = digest,
            Event::Drain => self.drain(now),
        }
        if let Some(data_centre) = self.suspected_data_centre.take() {
            self.ping_neighbour(now, &data_centre);
        }
        if std::mem::take(&mut self.has_urgent_rumours) {
            self.send_urgent_rumours(now);
        }
        if std::mem::take(&mut self.has_changed) {
            self.view_digest = None;
            let live = self.live();
            self.actions.push(Action::Changed(live));
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Instant {
        let probes = self.probes.values().map(|probe| probe.deadline);
        let span = self.settings.suspicion_timeout;
        let suspects = self
            .roster
            .iter()
            .filter_map(|entry| entry.suspicion_deadline(span));
        probes.chain(suspects).fold(self.next_ping, Instant::min)
    }

    /// Returns the live routers, including this one unless it leaves.
    pub fn live(&self) -> Vec<Live> {
        let me = (!self.has_left).then_some(&self.me);
        let others = self.roster.live().map(|entry| &entry.member);
        me.into_iter().chain(others).map(Live::from).collect()
    }

    /// Returns the state that `router` is believed to be in, `None` if the router
    /// is unknown.
    pub fn state(&self, router: &Router) -> Option<State> {
        self.roster.get(router).map(|entry| entry.state)
    }

    fn tick(&mut self, now: Instant) {
        self.reset_after_pause(now);
        self.expire_probes(now);
        self.expire_suspects(now);
        if now >= self.next_ping {
            self.next_ping = now + self.settings.ping_period;
            self.remove_expired(now);
            self.ping_next(now);
        }
    }

    /// Drops the open pings and restarts the suspicion timeouts after a pause of this
    /// process, because answers that are missing then prove nothing.
    fn reset_after_pause(&mut self, now: Instant) {
        let late = now - self.next_wake();
        if late <= self.settings.ping_period {
            return;
        }
        self.probes.clear();
        self.relayed.clear();
        self.roster.restart_suspicions(now);
    }

    fn expire_suspects(&mut self, now: Instant) {
        let span = self.settings.suspicion_timeout;
        let due = |entry: &&Entry| entry.suspicion_deadline(span).is_some_and(|end| end <= now);
        let expired = self.roster.iter().filter(due);
        let dead: Vec<Member> = expired.map(|entry| entry.member.clone()).collect();
        for member in dead {
            let rumour = Rumour {
                member,
                state: State::Dead,
            };
            self.apply_rumour(now, rumour, Reason::NotRefuted);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        let span = self.settings.dead_retention;
        self.roster.retain(|entry| {
            entry.state.is_live() || entry.is_listed || now - entry.state_since < span
        });
    }

    /// Applies the platform's list. The list only adds routers to ping. A router
    /// that is missing from it isn't removed, since the list may be out of date.
    fn apply_list(&mut self, now: Instant, listed: &[Listed]) {
        self.roster.clear_listed();
        self.roster.mark_listed(listed);
        let mut candidates: Vec<&Listed> = listed.iter().filter(|vm| !vm.leaving).collect();
        candidates.shuffle(&mut self.random);
        for vm in candidates {
            if vm.router != self.me.router && self.roster.get(&vm.router).is_none() {
                self.add_listed(now, vm);
            }
        }
        self.ping_unconfirmed(now);
    }

    fn add_listed(&mut self, now: Instant, vm: &Listed) {
        let member = Member {
            router: vm.router.clone(),
            data_centre: vm.data_centre.clone(),
            address: vm.address,
            incarnation: 0,
        };
        if self.should_track(&member) {
            let rumour = Rumour {
                member,
                state: State::Alive,
            };
            self.apply_rumour(now, rumour, Reason::Listed);
            self.roster.mark_listed(std::slice::from_ref(vm));
        }
    }

    /// Returns whether this router tracks `member`: it tracks all routers of its own
    /// data centre, and up to `max_remote_members` of each other one.
    pub(super) fn should_track(&self, member: &Member) -> bool {
        member.data_centre == self.me.data_centre
            || self.roster.targets_in(&member.data_centre) < self.settings.max_remote_members
    }

    fn drain(&mut self, now: Instant) {
        self.has_left = true;
        self.has_changed = true;
        self.decide(&self.me.clone(), State::Left, Reason::Drained);
        let rumour = Rumour {
            member: self.me.clone(),
            state: State::Left,
        };
        self.queue_rumour(rumour.clone(), Urgency::High);
        let mut addresses: Vec<SocketAddr> = self
            .roster
            .live()
            .map(|entry| entry.member.address)
            .collect();
        addresses.shuffle(&mut self.random);
        for to in addresses.into_iter().take(self.settings.relays) {
            self.send_with_rumour(now, to, Body::Inform, Some(rumour.clone()));
        }
    }

    /// Applies a rumour if it is newer than the current belief, and queues it.
    pub(super) fn apply_rumour(&mut self, now: Instant, rumour: Rumour, reason: Reason) {
        let is_known = self.roster.get(&rumour.member.router).is_some();
        let is_accepted = rumour.state.is_live() && self.should_track(&rumour.member);
        if !is_known && !is_accepted {
            return;
        }
        let Change::Updated {
            old_state,
            was_live,
        } = self.roster.apply(now, &rumour)
        else {
            return;
        };
        self.view_digest = None;
        if rumour.state == State::Suspect {
            self.suspected_data_centre = Some(rumour.member.data_centre.clone());
        }
        let is_live = rumour.member.incarnation > 0 && rumour.state.is_live();
        self.has_changed |= was_live != is_live;
        if old_state != Some(rumour.state) || was_live != is_live {
            self.decide(&rumour.member, rumour.state, reason);
        }
        if reason != Reason::Listed {
            let is_new =
                rumour.state == State::Alive && matches!(old_state, None | Some(State::Alive));
            let urgency = if is_new { Urgency::Low } else { Urgency::High };
            self.queue_rumour(rumour, urgency);
        }
    }

    /// Queues a rumour. An urgent one is sent to a few routers at the end of the
    /// step.
    pub(super) fn queue_rumour(&mut self, rumour: Rumour, urgency: Urgency) {
        self.queue.push(rumour, urgency);
        self.has_urgent_rumours |= urgency == Urgency::High;
    }

    /// Sends queued rumours to a few routers without waiting for the next ping, if
    /// the rate limit leaves credit for them.
    fn send_urgent_rumours(&mut self, now: Instant) {
        if !self.queue.has_spare_credit(now) {
            return;
        }
        let targets = self.roster.live().map(|entry| entry.member.address);
        let receivers: Vec<SocketAddr> = targets.sample(&mut self.random, self.settings.fan_out);
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
    pub(super) fn view_digest(&mut self) -> u32 {
        if let Some(view_digest) = self.view_digest {
            return view_digest;
        }
        let buckets = self.roster.bucket_digests(&self.me);
        let view_digest = roster::combine_digests(&buckets);
        self.view_digest = Some(view_digest);
        view_digest
    }

    pub(super) fn send(&mut self, now: Instant, to: SocketAddr, body: Body) {
        self.send_with_rumour(now, to, body, None);
    }

    /// Sends a message that carries `first` ahead of the queued rumours.
    pub(super) fn send_with_rumour(
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
            view_digest: self.view_digest(),
            news_digest: self.news_digest,
            rumours,
        };
        self.actions.push(Action::Send { to, message });
    }

    pub(super) fn random_index(&mut self, below: usize) -> usize {
        self.random.random_range(0..below)
    }
}
