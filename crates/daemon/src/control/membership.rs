//! Adapter of the machines for members, news and bundles.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use eelgrassrock_membership::{adoption, member, spread};
use eelgrassrock_model::table::Row;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::clock::Clock;
use crate::control::timer::Timer;

/// What the machines want done, in order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// From the machine for members.
    Member(member::Action),
    /// From the machine for news.
    Spread(spread::Action),
    /// From the machine for bundles.
    Adoption(adoption::Action),
}

/// Machines for members, news and bundles.
pub(crate) struct Membership {
    clock: Clock,
    member: Mutex<member::Machine>,
    spread: Mutex<spread::Tree>,
    adoption: Mutex<adoption::Machine>,
    member_alarm: Timer,
    adoption_alarm: Timer,
    commands: UnboundedSender<Command>,
}

impl Membership {
    /// Creates the membership. What it wants done arrives at the returned receiver.
    pub(crate) fn new(
        clock: Clock,
        member: member::Settings,
        spread: spread::Settings,
        adoption: adoption::Settings,
    ) -> (Self, UnboundedReceiver<Command>) {
        let (commands, receiver) = unbounded_channel();
        let membership = Self {
            clock,
            member: Mutex::new(member::Machine::new(member)),
            spread: Mutex::new(spread::Tree::new(spread)),
            adoption: Mutex::new(adoption::Machine::new(adoption)),
            member_alarm: Timer::default(),
            adoption_alarm: Timer::default(),
            commands,
        };
        (membership, receiver)
    }

    /// Steps the machine for members.
    pub(crate) fn step_member(&self, event: member::Event) {
        let mut machine = self.member.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = machine.step(self.clock.now(), event);
        self.queue(actions, Command::Member);
        self.member_alarm.set(Some(machine.next_wake()));
    }

    /// Steps the machine for news.
    pub(crate) fn step_spread(&self, event: spread::Event) {
        let mut tree = self.spread.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = tree.step(self.clock.now(), event);
        self.queue(actions, Command::Spread);
    }

    /// Steps the machine for bundles.
    pub(crate) fn step_adoption(&self, event: adoption::Event) {
        let mut machine = self.adoption.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = machine.step(self.clock.now(), event);
        self.queue(actions, Command::Adoption);
        self.adoption_alarm.set(machine.next_wake());
    }

    /// Tells all routers of a row.
    pub(crate) fn publish(&self, row: &Row) {
        self.step_spread(spread::Event::Publish(news(row)));
    }

    /// Returns the record of the bundle in force.
    pub(crate) fn in_force(&self) -> Option<adoption::Record> {
        let machine = self.adoption.lock().unwrap_or_else(PoisonError::into_inner);
        machine.in_force().cloned()
    }

    /// Returns whether this router knows enough to serve.
    pub(crate) fn is_ready(&self) -> bool {
        self.adoption
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_ready()
    }

    /// Returns the live routers.
    pub(crate) fn live(&self) -> Vec<member::Live> {
        self.member
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .live()
    }

    /// Steps the machine for members whenever its timers are due. Never
    /// returns.
    pub(crate) async fn run_member_timers(&self) {
        loop {
            self.member_alarm.wait(self.clock).await;
            self.step_member(member::Event::Tick);
        }
    }

    /// Steps the machine for bundles whenever its timers are due. Never
    /// returns.
    pub(crate) async fn run_adoption_timers(&self) {
        loop {
            self.adoption_alarm.wait(self.clock).await;
            self.step_adoption(adoption::Event::Tick);
        }
    }

    fn queue<A>(&self, actions: Vec<A>, command: impl Fn(A) -> Command) {
        for action in actions {
            // The receiver lives as long as the daemon.
            let _ = self.commands.send(command(action));
        }
    }
}

fn news(row: &Row) -> spread::News {
    let payload = postcard::to_stdvec(row).expect("a row can always be encoded");
    spread::News {
        key: Arc::clone(&row.key),
        version: row.version,
        payload: payload.into(),
    }
}

/// Reads the row out of a piece of news, `None` if it isn't one.
pub(crate) fn row(news: &spread::News) -> Option<Row> {
    let row: Row = postcard::from_bytes(&news.payload).ok()?;
    (row.key == news.key && row.version == news.version).then_some(row)
}

/// Returns the addresses of live routers.
pub(crate) fn addresses(live: &[member::Live]) -> Vec<SocketAddr> {
    live.iter().map(|live| live.address).collect()
}
