//! Adapter of the request machine: turns its actions into directives for the
//! task that holds each request.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eelgrassrock_model::{Upstream, table};
use eelgrassrock_request::{
    Action, Decision, Event, Id, Machine, Settings, Snapshot, Stored, Verdict,
};
use serde::Serialize;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::clock::Clock;
use crate::control::timer::Timer;

/// What the task that holds a request has to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Directive {
    /// Start an attempt.
    Send {
        /// Upstream to send it to.
        upstream: Upstream,
        /// Number of the attempt.
        attempt: u32,
        /// Time left until the deadline.
        left: Duration,
    },
    /// Stop the attempt.
    Cancel,
    /// Give the final answer.
    Finish(Verdict),
    /// Give the answer that was kept for the idempotency key.
    Replay(Arc<Stored>),
    /// Route the request again.
    Redirect {
        /// Attempts so far.
        attempts: u32,
        /// Claim that the request holds.
        claim: Option<table::Check>,
    },
}

/// Log line of a decision on a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Identifier of the request, end to end.
    pub(crate) request_id: Option<Arc<str>>,
    /// Decision.
    #[serde(flatten)]
    pub(crate) decision: Decision,
}

/// Task that holds a request.
struct Holder {
    request_id: Arc<str>,
    directives: UnboundedSender<Directive>,
}

/// What the request machine wants of the rest of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Write to the table.
    Write(table::Transaction),
    /// Read a row of the table.
    Read(Arc<str>),
    /// Read a page of rows of the table.
    Scan {
        /// Beginning of the keys.
        prefix: Arc<str>,
        /// Key after which the page begins.
        after: Arc<str>,
        /// Most rows.
        limit: usize,
    },
    /// Ask an upstream whether it is well.
    Probe(Upstream),
    /// Tell the placement that an upstream seems unable to serve.
    Suspect(Upstream),
    /// Log a decision.
    Decide(Line),
    /// Every request is answered.
    Drained,
}

/// Request machine with the tasks that wait for its directives.
pub(crate) struct Scheduler {
    clock: Clock,
    machine: Mutex<Machine>,
    holders: Mutex<HashMap<Id, Holder>>,
    commands: UnboundedSender<Command>,
    timer: Timer,
    next_id: AtomicU64,
}

impl Scheduler {
    /// Creates a scheduler. What it wants of the rest of the daemon arrives at the
    /// returned receiver.
    pub(crate) fn new(clock: Clock, settings: Settings) -> (Self, UnboundedReceiver<Command>) {
        let (commands, receiver) = unbounded_channel();
        let scheduler = Self {
            clock,
            machine: Mutex::new(Machine::new(settings)),
            holders: Mutex::default(),
            commands,
            timer: Timer::default(),
            next_id: AtomicU64::new(1),
        };
        (scheduler, receiver)
    }

    /// Registers the task that holds a new request.
    pub(crate) fn register(&self, request_id: Arc<str>) -> (Id, UnboundedReceiver<Directive>) {
        let id = Id(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = unbounded_channel();
        let holder = Holder {
            request_id,
            directives: sender,
        };
        self.lock_holders().insert(id, holder);
        (id, receiver)
    }

    /// Forgets the task that held a request.
    pub(crate) fn unregister(&self, id: Id) {
        self.lock_holders().remove(&id);
    }

    /// Steps the machine and delivers its actions in order. Tells whether the
    /// request `watched` was cancelled by this step.
    pub(crate) fn step(&self, event: Event, watched: Option<Id>) -> bool {
        let mut machine = self.lock_machine();
        let actions = machine.step(self.clock.now(), event);
        let mut cancelled = false;
        // Delivered under the lock, so that no two steps mix their actions.
        for action in actions {
            if let Action::Cancel { request } = action {
                cancelled |= Some(request) == watched;
            }
            self.deliver(action);
        }
        self.timer.set(machine.next_wake());
        cancelled
    }

    /// Returns the state of the machine for operators.
    pub(crate) fn snapshot(&self) -> Snapshot {
        self.lock_machine().snapshot()
    }

    /// Steps the machine whenever its timers are due. Never returns.
    pub(crate) async fn run_timers(&self) {
        loop {
            self.timer.wait(self.clock).await;
            self.step(Event::Tick, None);
        }
    }

    fn deliver(&self, action: Action) {
        match action {
            Action::Send {
                request,
                upstream,
                attempt,
                left,
            } => {
                self.direct(
                    request,
                    Directive::Send {
                        upstream,
                        attempt,
                        left,
                    },
                );
            }
            Action::Cancel { request } => self.direct(request, Directive::Cancel),
            Action::Finish { request, verdict } => {
                self.direct(request, Directive::Finish(verdict));
            }
            Action::Replay { request, stored } => self.direct(request, Directive::Replay(stored)),
            Action::Redirect {
                request,
                attempts,
                claim,
            } => {
                self.direct(request, Directive::Redirect { attempts, claim });
            }
            Action::Write(transaction) => self.run(Command::Write(transaction)),
            Action::Read { key } => self.run(Command::Read(key)),
            Action::Scan {
                prefix,
                after,
                limit,
            } => self.run(Command::Scan {
                prefix,
                after,
                limit,
            }),
            Action::Probe { upstream } => self.run(Command::Probe(upstream)),
            Action::Suspect { upstream } => self.run(Command::Suspect(upstream)),
            Action::Decide(decision) => {
                let holders = self.lock_holders();
                let holder = holders.get(&decision.request);
                let request_id = holder.map(|holder| Arc::clone(&holder.request_id));
                drop(holders);
                self.run(Command::Decide(Line {
                    request_id,
                    decision,
                }));
            }
            Action::Drained => self.run(Command::Drained),
        }
    }

    fn direct(&self, request: Id, directive: Directive) {
        if let Some(holder) = self.lock_holders().get(&request) {
            // A task that has ended has no use for the directive.
            let _ = holder.directives.send(directive);
        }
    }

    fn run(&self, command: Command) {
        // The receiver lives as long as the daemon.
        let _ = self.commands.send(command);
    }

    fn lock_machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_holders(&self) -> MutexGuard<'_, HashMap<Id, Holder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
