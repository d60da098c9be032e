//! Adapter of the ownership machine.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Service, Upstream};
use eelgrassrock_ownership::{Action, Event, Machine, Route, Settings, Snapshot};
use eelgrassrock_request::Grant;
use indexmap::IndexMap;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::control::timer::Timer;

/// Ownership machine of this router with its timer.
pub(crate) struct Ownership {
    clock: Clock,
    machine: Mutex<Machine>,
    actions: UnboundedSender<Action>,
    routes: watch::Sender<u64>,
    timer: Timer,
}

impl Ownership {
    /// Creates the adapter. The actions to execute arrive at the returned receiver.
    pub(crate) fn new(clock: Clock, settings: Settings) -> (Self, UnboundedReceiver<Action>) {
        let (actions, receiver) = unbounded_channel();
        let ownership = Self {
            clock,
            machine: Mutex::new(Machine::new(settings)),
            actions,
            routes: watch::Sender::new(0),
            timer: Timer::default(),
        };
        (ownership, receiver)
    }

    /// Steps the machine and queues its actions in order.
    pub(crate) fn step(&self, event: Event) {
        let mut machine = self.lock();
        for action in machine.step(self.clock.now(), event) {
            if action == Action::RoutesChanged {
                self.routes.send_modify(|count| *count += 1);
            }
            // The receiver lives as long as the daemon.
            let _ = self.actions.send(action);
        }
        self.timer.set(machine.next_wake());
    }

    /// Returns the route for requests to a shard.
    pub(crate) fn route(&self, service: &Service, shard: Shard) -> Route {
        self.lock().route(service, shard)
    }

    /// Returns a receiver that is notified when routes may have changed.
    pub(crate) fn watch_routes(&self) -> watch::Receiver<u64> {
        self.routes.subscribe()
    }

    /// Returns the state of the machine for operators.
    pub(crate) fn snapshot(&self) -> Snapshot {
        self.lock().snapshot()
    }

    /// Returns the state of the grant of each upstream whose home is this router.
    pub(crate) fn grants(&self) -> IndexMap<Upstream, Grant> {
        let machine = self.lock();
        let now = self.clock.now();
        let leases = machine.leases();
        leases
            .map(|(upstream, until)| (upstream.clone(), grant(until, now)))
            .collect()
    }

    /// Steps the machine whenever its timer is due. Never returns.
    pub(crate) async fn run_timers(self: Arc<Self>) {
        loop {
            self.timer.wait(self.clock).await;
            self.step(Event::Tick);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn grant(valid_until: Option<Instant>, now: Instant) -> Grant {
    match valid_until {
        Some(until) if now < until => Grant::Held,
        _ => Grant::Lapsed,
    }
}
