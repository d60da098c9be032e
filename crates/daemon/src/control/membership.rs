//! Adapter of the machines for failure detection, news and bundle adoption.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use eelgrassrock_membership::{adoption, member, spread};
use eelgrassrock_model::table::Row;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::clock::Clock;
use crate::control::timer::Timer;

/// Action of one of the machines.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Action of the failure detector.
    Member(member::Action),
    /// Action of the dissemination of news.
    Spread(spread::Action),
    /// Action of the bundle adoption.
    Adoption(adoption::Action),
}

/// Machines for failure detection, news and bundle adoption.
pub(crate) struct Membership {
    clock: Clock,
    member: Mutex<member::Machine>,
    spread: Mutex<spread::Tree>,
    adoption: Mutex<adoption::Machine>,
    member_timer: Timer,
    adoption_timer: Timer,
    commands: UnboundedSender<Command>,
}

impl Membership {
    /// Creates the adapter. The actions to execute arrive at the returned receiver.
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
            member_timer: Timer::default(),
            adoption_timer: Timer::default(),
            commands,
        };
        (membership, receiver)
    }

    /// Steps the failure detector and queues its actions in order.
    pub(crate) fn step_member(&self, event: member::Event) {
        let mut machine = self.member.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = machine.step(self.clock.now(), event);
        self.queue(actions, Command::Member);
        self.member_timer.set(Some(machine.next_wake()));
    }

    /// Steps the dissemination of news and queues its actions in order.
    pub(crate) fn step_spread(&self, event: spread::Event) {
        let mut tree = self.spread.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = tree.step(self.clock.now(), event);
        self.queue(actions, Command::Spread);
    }

    /// Steps the bundle adoption and queues its actions in order.
    pub(crate) fn step_adoption(&self, event: adoption::Event) {
        let mut machine = self.adoption.lock().unwrap_or_else(PoisonError::into_inner);
        let actions = machine.step(self.clock.now(), event);
        self.queue(actions, Command::Adoption);
        self.adoption_timer.set(machine.next_wake());
    }

    /// Publishes a row of the table to all routers.
    pub(crate) fn publish(&self, row: &Row) {
        self.step_spread(spread::Event::Publish(encode_row(row)));
    }

    /// Returns the record of the bundle in force, `None` if there is none yet.
    pub(crate) fn in_force(&self) -> Option<adoption::Record> {
        let machine = self.adoption.lock().unwrap_or_else(PoisonError::into_inner);
        machine.in_force().cloned()
    }

    /// Returns whether the bundle adoption allows this router to serve.
    pub(crate) fn is_ready(&self) -> bool {
        self.adoption
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_ready()
    }

    /// Returns the live routers, including this one until it has left.
    pub(crate) fn live(&self) -> Vec<member::Live> {
        self.member
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .live()
    }

    /// Steps the failure detector whenever its timer is due. Never returns.
    pub(crate) async fn run_member_timers(&self) {
        loop {
            self.member_timer.wait(self.clock).await;
            self.step_member(member::Event::Tick);
        }
    }

    /// Steps the bundle adoption whenever its timer is due. Never returns.
    pub(crate) async fn run_adoption_timers(&self) {
        loop {
            self.adoption_timer.wait(self.clock).await;
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

fn encode_row(row: &Row) -> spread::News {
    let payload = postcard::to_stdvec(row).expect("a row can always be encoded");
    spread::News {
        key: Arc::clone(&row.key),
        version: row.version,
        payload: payload.into(),
    }
}

/// Decodes the row in the payload of news. Returns `None` if the payload is malformed or
/// its key or version differs from that of the news.
pub(crate) fn decode_row(news: &spread::News) -> Option<Row> {
    let row: Row = postcard::from_bytes(&news.payload).ok()?;
    (row.key == news.key && row.version == news.version).then_some(row)
}

/// Returns the addresses for messages of live routers.
pub(crate) fn addresses(live: &[member::Live]) -> Vec<SocketAddr> {
    live.iter().map(|live| live.address).collect()
}
