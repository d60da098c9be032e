//! Upstream of which this router is home.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Router, Sequence, Term, Upstream, Version};
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::decision::Reason;
use crate::grant::{Answer, Grant, Order, Ticket};
use crate::ledger::Ledger;
use crate::life::{Happening, Life, State};
use crate::row::Prior;
use crate::settings::Settings;

/// Most requests that were given up and whose late answers still count.
const MAX_LATE: usize = 16;

/// Error of a clock that counts whole milliseconds, at both ends of a span.
const ROUNDING: Duration = Duration::from_millis(2);

/// Reading of the upstream's clock.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    pub(crate) incarnation: Arc<str>,
    clock_ms: u64,
    answered_at: Instant,
}

/// Request to the upstream whose answer is due.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) sent_at: Instant,
    /// `None` for a ticket.
    order: Option<Sent>,
}

/// Order that was sent.
#[derive(Clone, Debug)]
struct Sent {
    sequence: Sequence,
    valid_until_ms: u64,
    shards: Arc<[Grant]>,
}

/// Order that the upstream accepted.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub(crate) shards: Arc<[Grant]>,
    /// Time until which it is proven to be valid.
    pub(crate) valid_until: Instant,
}

/// Moves of shards that wait until the next owner is ready.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) to: Upstream,
    pub(crate) shards: Vec<Shard>,
    pub(crate) asked_at: Instant,
    pub(crate) ready: bool,
    pub(crate) reason: Reason,
}

/// Which order an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    /// The last one that this home gave under its term.
    Current,
    /// An earlier one that this home gave under its term.
    Late,
    /// None of this home under its term.
    Foreign,
}

/// Earlier home, and the time by which its orders have expired if it is known.
#[derive(Clone, Debug)]
pub(crate) struct Earlier {
    pub(crate) prior: Prior,
    pub(crate) ended_at: Option<Instant>,
}

/// Upstream of which this router is home.
pub(crate) struct Held {
    pub(crate) term: Term,
    /// Version of the home row under which this router is home.
    pub(crate) version: Version,
    /// Start of the last exchange with the table that proved the term.
    pub(crate) proven_at: Instant,
    /// Time until which this router may give orders.
    pub(crate) authority_until: Instant,
    /// Time from which no earlier home can give orders.
    pub(crate) settles_at: Instant,
    /// Incarnation of the upstream that existed before the term was proven.
    pub(crate) proven_incarnation: Option<Arc<str>>,
    pub(crate) reading: Option<Reading>,
    pub(crate) ledger: Ledger,
    pub(crate) sequence: Sequence,
    pub(crate) grants: Arc<[Grant]>,
    pub(crate) grants_stale: bool,
    /// Whether the grants changed after the last order.
    pub(crate) order_due: bool,
    pub(crate) granted: Option<Granted>,
    pub(crate) request: Option<Request>,
    /// Requests that were given up, whose answers may still come.
    late: Vec<Request>,
    pub(crate) next_beat: Instant,
    pub(crate) answered_at: Instant,
    /// Shards that their prior owner released before this epoch.
    pub(crate) released: BTreeMap<Shard, Epoch>,
    /// Releases that were told to the home of the next owner.
    pub(crate) told: BTreeMap<Shard, Epoch>,
    pub(crate) next_ask: Instant,
    pub(crate) leaving: bool,
    /// Writes in flight that take shards away without waiting for a release.
    pub(crate) reassigning: usize,
    pub(crate) plans: Vec<Plan>,
    /// Router and start of the process in the row of the home, if this router
    /// goes on under the term of another one.
    pub(crate) holder: Option<(Router, Arc<str>)>,
    /// Earlier homes that may still give orders.
    pub(crate) priors: Vec<Earlier>,
    pub(crate) priors_asked_at: Option<Instant>,
    /// Start of the wait before releases are noted in the table.
    pub(crate) cleared_at: Option<Instant>,
    /// Busy share of the slots by shard.
    pub(crate) busy: BTreeMap<Shard, f64>,
    /// Whether the other homes were told that it may get shards.
    pub(crate) received: bool,
    /// Whether any load was reported.
    pub(crate) has_load: bool,
    /// When the shards were gained.
    pub(crate) gained: BTreeMap<Shard, Instant>,
    /// When this router became home.
    pub(crate) since: Instant,
    /// Time before which no shards are moved without need.
    pub(crate) next_round: Instant,
    /// Whether this router goes on under the term of another one.
    pub(crate) is_acting: bool,
    life: InitializedStateMachine<Life>,
}

impl Held {
    /// Creates the state for a term that was proven by an exchange with the
    /// table that started at `proven_at`.
    pub(crate) fn new(
        term: Term,
        version: Version,
        proven_at: Instant,
        now: Instant,
        settings: &Settings,
    ) -> Self {
        Self {
            term,
            version,
            proven_at,
            authority_until: proven_at + settings.shorter(settings.authority),
            settles_at: now,
            proven_incarnation: None,
            reading: None,
            ledger: Ledger::default(),
            sequence: Sequence(0),
            grants: Arc::new([]),
            grants_stale: true,
            order_due: true,
            granted: None,
            request: None,
            late: Vec::new(),
            next_beat: now,
            answered_at: now,
            released: BTreeMap::new(),
            told: BTreeMap::new(),
            next_ask: now,
            leaving: false,
            reassigning: 0,
            plans: Vec::new(),
            holder: None,
            priors: Vec::new(),
            priors_asked_at: None,
            cleared_at: None,
            busy: BTreeMap::new(),
            received: false,
            has_load: false,
            gained: BTreeMap::new(),
            since: now,
            next_round: now,
            is_acting: false,
            life: Life.uninitialized_state_machine().init(),
        }
    }

    /// Returns the state of the grants.
    pub(crate) fn state(&self) -> State {
        *self.life.state()
    }

    /// Takes in what happened to the grants.
    pub(crate) fn handle(&mut self, happening: Happening) {
        self.life.handle(&happening);
    }

    /// Returns whether the rows of the shards are still being read.
    pub(crate) fn is_loading(&self) -> bool {
        self.state() == State::Loading {}
    }

    /// Returns whether the upstream answers.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.state(), State::Granting {} | State::Suspect {})
    }

    /// Brings the end of the wait for earlier homes forward when all are known
    /// to have ended.
    pub(crate) fn settle_when_all_ended(&mut self) {
        let ends: Option<Vec<Instant>> = self.priors.iter().map(|it| it.ended_at).collect();
        if let Some(last) = ends.and_then(|ends| ends.into_iter().max()) {
            self.settles_at = self.settles_at.min(last);
        }
    }

    /// Returns whether the upstream answered its last request.
    pub(crate) fn is_granting(&self) -> bool {
        self.state() == State::Granting {}
    }

    /// Returns the busy share of the slots.
    pub(crate) fn busy_share(&self) -> f64 {
        self.busy.values().sum()
    }

    /// Returns whether no earlier home can give orders.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.state() != State::Loading {} && now >= self.settles_at
    }

    /// Takes in that an exchange with the table that started at `sent_at`
    /// proved the term.
    pub(crate) fn prove(&mut self, sent_at: Instant, settings: &Settings) {
        if sent_at < self.proven_at {
            return;
        }
        self.proven_at = sent_at;
        let until = sent_at + settings.shorter(settings.authority);
        self.authority_until = self.authority_until.max(until);
        if let Some(reading) = &self.reading
            && reading.answered_at <= sent_at
        {
            self.proven_incarnation = Some(reading.incarnation.clone());
        }
    }

    /// Returns whether the term is proven for the present incarnation.
    pub(crate) fn is_incarnation_proven(&self) -> bool {
        let reading = self.reading.as_ref().map(|it| &it.incarnation);
        reading.is_some() && reading == self.proven_incarnation.as_ref()
    }

    /// Starts a request for a ticket.
    pub(crate) fn start_ticket(&mut self, id: u64, now: Instant) {
        self.request = Some(Request {
            id,
            sent_at: now,
            order: None,
        });
    }

    /// Starts an order. Returns `None` if no recent reading of the upstream's
    /// clock is known.
    pub(crate) fn start_order(
        &mut self,
        id: u64,
        now: Instant,
        settings: &Settings,
    ) -> Option<Order> {
        let reading = self.reading.as_ref()?;
        let age = now - reading.answered_at;
        if age > settings.lease {
            return None;
        }
        let valid_for = settings.shorter(age) + settings.lease;
        let valid_until_ms = reading.clock_ms + millis(valid_for);
        self.sequence = self.sequence.next();
        self.ledger.add(
            self.sequence,
            reading.incarnation.clone(),
            self.grants.clone(),
            now,
            now + settings.longer(settings.lease) + ROUNDING,
        );
        let order = Order {
            router: settings.router.clone(),
            term: self.term,
            sequence: self.sequence,
            incarnation: reading.incarnation.clone(),
            valid_until_ms,
            shards: self.grants.clone(),
        };
        self.order_due = false;
        self.request = Some(Request {
            id,
            sent_at: now,
            order: Some(Sent {
                sequence: self.sequence,
                valid_until_ms,
                shards: self.grants.clone(),
            }),
        });
        Some(order)
    }

    /// Ends the wait for an answer.
    pub(crate) fn give_up(&mut self) {
        self.late.extend(self.request.take());
        if self.late.len() > MAX_LATE {
            self.late.remove(0);
        }
        self.handle(Happening::Missed);
    }

    /// Takes in the answer to a request for a ticket. Returns whether it
    /// counts.
    pub(crate) fn take_ticket(&mut self, id: u64, ticket: &Ticket, now: Instant) -> bool {
        let Some(_) = self.request.take_if(|it| it.id == id) else {
            return false;
        };
        self.read(ticket, now);
        true
    }

    /// Takes in that a request for a ticket failed.
    pub(crate) fn fail_ticket(&mut self, id: u64) {
        if self.request.take_if(|it| it.id == id).is_some() {
            self.handle(Happening::Missed);
        }
    }

    /// Takes in the answer to an order. Returns whether it answers the last
    /// request.
    pub(crate) fn take_answer(
        &mut self,
        id: u64,
        answer: &Answer,
        checks_orders: bool,
        now: Instant,
        settings: &Settings,
    ) -> Taken {
        let last = self.request.take_if(|it| it.id == id);
        let is_last = last.is_some();
        let Some(request) = last.or_else(|| self.take_late(id)) else {
            return Taken::Foreign;
        };
        let Some(sent) = request.order else {
            return Taken::Foreign;
        };
        match answer {
            Answer::Accepted(ticket) => {
                self.ledger.accept(sent.sequence, checks_orders, now);
                if is_last {
                    self.read(ticket, now);
                    let left = sent.valid_until_ms.saturating_sub(ticket.clock_ms);
                    let left = settings.shorter(Duration::from_millis(left));
                    self.granted = Some(Granted {
                        shards: sent.shards,
                        valid_until: request.sent_at + left,
                    });
                }
            }
            Answer::Refused { ticket, .. } => {
                self.ledger.refuse(sent.sequence);
                if is_last {
                    self.order_due = true;
                    self.read(ticket, now);
                }
            }
            Answer::Unknown => {
                if is_last {
                    self.order_due = true;
                    self.handle(Happening::Missed);
                }
            }
        }
        if is_last { Taken::Current } else { Taken::Late }
    }

    fn take_late(&mut self, id: u64) -> Option<Request> {
        let index = self.late.iter().position(|it| it.id == id)?;
        Some(self.late.remove(index))
    }

    fn read(&mut self, ticket: &Ticket, now: Instant) {
        self.answered_at = now;
        self.leaving = ticket.leaving;
        let known = self.reading.as_ref().map(|it| &it.incarnation);
        if known != Some(&ticket.incarnation) {
            self.ledger.keep_incarnation(&ticket.incarnation);
            self.granted = None;
            self.order_due = true;
        }
        self.reading = Some(Reading {
            incarnation: ticket.incarnation.clone(),
            clock_ms: ticket.clock_ms,
            answered_at: now,
        });
        self.handle(Happening::Answered);
    }

    /// Returns whether the upstream may follow an order that grants `shard` at
    /// an epoch before `epoch`. Orders of earlier homes don't count.
    pub(crate) fn may_hold(&self, shard: Shard, epoch: Epoch) -> bool {
        let granted = |grants: &[Grant]| {
            let found = grants.binary_search_by_key(&shard, |grant| grant.shard);
            found.is_ok_and(|index| grants[index].epoch < epoch)
        };
        granted(&self.grants) || self.ledger.may_hold(shard, epoch)
    }

    /// Returns the epoch and the end of a valid grant of `shard`.
    pub(crate) fn grant_of(&self, shard: Shard) -> Option<(Epoch, Instant)> {
        let granted = self.granted.as_ref()?;
        let found = granted
            .shards
            .binary_search_by_key(&shard, |grant| grant.shard);
        Some((granted.shards[found.ok()?].epoch, granted.valid_until))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
