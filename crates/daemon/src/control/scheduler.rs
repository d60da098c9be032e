//! Adapter of the request machine: sends its actions to the tasks that own the requests,
//! or to the task that executes them.

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

/// Instruction to the task that owns a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Directive {
    /// Start an attempt to send the request.
    Send {
        /// Upstream to send it to.
        upstream: Upstream,
        /// Number of the attempt.
        attempt: u32,
        /// Time left until the deadline.
        left: Duration,
    },
    /// Abort the current attempt.
    Cancel,
    /// Respond with the verdict.
    Finish(Verdict),
    /// Respond with the answer that was recorded for the idempotency key.
    Replay(Arc<Stored>),
    /// Route the request again.
    Redirect {
        /// Number of attempts so far.
        attempts: u32,
        /// Claim of the idempotency key that the request holds.
        claim: Option<table::Check>,
    },
}

/// Log line of a decision on a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Line {
    /// Identifier of the request on its whole path, `None` if its task has ended.
    pub(crate) request_id: Option<Arc<str>>,
    /// Decision of the request machine.
    #[serde(flatten)]
    pub(crate) decision: Decision,
}

/// Handle to the task that owns a request.
struct TaskHandle {
    request_id: Arc<str>,
    directives: UnboundedSender<Directive>,
}

/// Action of the request machine that doesn't concern the task of one request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Command {
    /// Write to the table.
    Write(table::Transaction),
    /// Read a row of the table.
    Read(Arc<str>),
    /// Read a page of rows of the table.
    Scan {
        /// Prefix of the keys.
        prefix: Arc<str>,
        /// Key after which the page begins, exclusive.
        after: Arc<str>,
        /// Maximum number of rows.
        limit: usize,
    },
    /// Probe the health of an upstream.
    Probe(Upstream),
    /// Log that an upstream seems unable to serve.
    Suspect(Upstream),
    /// Log a decision.
    Decide(Line),
    /// Every request has its final answer, after a drain.
    Drained,
}

/// Request machine with the tasks that receive its directives.
pub(crate) struct Scheduler {
    clock: Clock,
    machine: Mutex<Machine>,
    tasks: Mutex<HashMap<Id, TaskHandle>>,
    commands: UnboundedSender<Command>,
    timer: Timer,
    next_id: AtomicU64,
}

impl Scheduler {
    /// Creates a scheduler. Its commands arrive at the returned receiver.
    pub(crate) fn new(clock: Clock, settings: Settings) -> (Self, UnboundedReceiver<Command>) {
        let (commands, receiver) = unbounded_channel();
        let scheduler = Self {
            clock,
            machine: Mutex::new(Machine::new(settings)),
            tasks: Mutex::default(),
            commands,
            timer: Timer::default(),
            next_id: AtomicU64::new(1),
        };
        (scheduler, receiver)
    }

    /// Registers the task that owns a new request. Returns the identifier of the request
    /// and the receiver of its directives.
    pub(crate) fn register(&self, request_id: Arc<str>) -> (Id, UnboundedReceiver<Directive>) {
        let id = Id(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = unbounded_channel();
        let task = TaskHandle {
            request_id,
            directives: sender,
        };
        self.lock_tasks().insert(id, task);
        (id, receiver)
    }

    /// Removes the task of a request.
    pub(crate) fn unregister(&self, id: Id) {
        self.lock_tasks().remove(&id);
    }

    /// Steps the machine and delivers its actions in order. Returns whether this step
    /// cancelled the request `watched`.
    pub(crate) fn step(&self, event: Event, watched: Option<Id>) -> bool {
        let mut machine = self.lock_machine();
        let actions = machine.step(self.clock.now(), event);
        let mut cancelled = false;
        // The lock is held during delivery, so that the actions of two steps don't
        // interleave.
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

    /// Steps the machine whenever its timer is due. Never returns.
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
                self.send_directive(
                    request,
                    Directive::Send {
                        upstream,
                        attempt,
                        left,
                    },
                );
            }
            Action::Cancel { request } => self.send_directive(request, Directive::Cancel),
            Action::Finish { request, verdict } => {
                self.send_directive(request, Directive::Finish(verdict));
            }
            Action::Replay { request, stored } => {
                self.send_directive(request, Directive::Replay(stored))
            }
            Action::Redirect {
                request,
                attempts,
                claim,
            } => {
                self.send_directive(request, Directive::Redirect { attempts, claim });
            }
            Action::Write(transaction) => self.send_command(Command::Write(transaction)),
            Action::Read { key } => self.send_command(Command::Read(key)),
            Action::Scan {
                prefix,
                after,
                limit,
            } => self.send_command(Command::Scan {
                prefix,
                after,
                limit,
            }),
            Action::Probe { upstream } => self.send_command(Command::Probe(upstream)),
            Action::Suspect { upstream } => self.send_command(Command::Suspect(upstream)),
            Action::Decide(decision) => {
                let tasks = self.lock_tasks();
                let task = tasks.get(&decision.request);
                let request_id = task.map(|task| Arc::clone(&task.request_id));
                drop(tasks);
                self.send_command(Command::Decide(Line {
                    request_id,
                    decision,
                }));
            }
            Action::Drained => self.send_command(Command::Drained),
        }
    }

    fn send_directive(&self, request: Id, directive: Directive) {
        if let Some(task) = self.lock_tasks().get(&request) {
            // Sending fails only if the task has ended, and then the directive is obsolete.
            let _ = task.directives.send(directive);
        }
    }

    fn send_command(&self, command: Command) {
        // The receiver lives as long as the daemon.
        let _ = self.commands.send(command);
    }

    fn lock_machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_tasks(&self) -> MutexGuard<'_, HashMap<Id, TaskHandle>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
