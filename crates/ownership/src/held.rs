//! State of an upstream whose home is this router.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::shard::Shard;
use eelgrassrock_model::time::Instant;
use eelgrassrock_model::{Epoch, Router, Sequence, Term, Upstream, Version};
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::decision::Reason;
use crate::grant::{Answer, Grant, Order, Ticket};
use crate::liveness::{Liveness, Signal, State};
use crate::outstanding::OutstandingOrders;
use crate::row::Prior;
use crate::settings::Settings;

/// Most requests that are kept after their timeout, because a late answer still counts.
const MAX_LATE_REQUESTS: usize = 16;

/// Rounding error of a span between two readings of a clock that counts whole
/// milliseconds, at both ends together.
const CLOCK_ROUNDING: Duration = Duration::from_millis(2);

/// Reading of the clock of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct ClockReading {
    pub(crate) incarnation: Arc<str>,
    clock_ms: u64,
    answered_at: Instant,
}

/// Request to the upstream that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) sent_at: Instant,
    /// Order that was sent, `None` for a request for a ticket.
    order: Option<SentOrder>,
}

/// Order that was sent to the upstream.
#[derive(Clone, Debug)]
struct SentOrder {
    sequence: Sequence,
    valid_until_ms: u64,
    shards: Arc<[Grant]>,
}

/// Order that the upstream accepted.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub(crate) shards: Arc<[Grant]>,
    /// Time until which the order is proven to be valid.
    pub(crate) valid_until: Instant,
}

/// Moves of shards that wait until the next owner is ready.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) to: Upstream,
    pub(crate) shards: Vec<Shard>,
    pub(crate) asked_at: Instant,
    pub(crate) is_ready: bool,
    pub(crate) reason: Reason,
}

/// Order that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerMatch {
    /// The last order of this home under its present term.
    Current,
    /// An earlier order of this home under its present term.
    Late,
    /// No order of this home under its present term.
    Unrelated,
}

/// Earlier home, and the time by which its orders have expired if it is known.
#[derive(Clone, Debug)]
pub(crate) struct EarlierHome {
    pub(crate) prior: Prior,
    pub(crate) ended_at: Option<Instant>,
}

/// State of an upstream whose home is this router.
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
    /// Incarnation of the upstream that was known before the exchange that proved the
    /// term.
    pub(crate) proven_incarnation: Option<Arc<str>>,
    pub(crate) reading: Option<ClockReading>,
    pub(crate) outstanding: OutstandingOrders,
    pub(crate) sequence: Sequence,
    pub(crate) grants: Arc<[Grant]>,
    pub(crate) has_stale_grants: bool,
    /// Whether to send an order before the next heartbeat, since the grants changed or
    /// the last order may not be in force.
    pub(crate) is_order_due: bool,
    pub(crate) granted: Option<Granted>,
    pub(crate) request: Option<Request>,
    /// Requests that timed out, whose answers may still arrive.
    late_requests: Vec<Request>,
    pub(crate) next_heartbeat: Instant,
    pub(crate) answered_at: Instant,
    /// Shards whose prior owner has released them, with the epoch of the assignment.
    pub(crate) released: BTreeMap<Shard, Epoch>,
    /// Releases that were sent to the home of the next owner.
    pub(crate) announced: BTreeMap<Shard, Epoch>,
    pub(crate) next_release_request: Instant,
    pub(crate) is_leaving: bool,
    /// Writes in flight that take shards away without waiting for a release.
    pub(crate) reassignments_in_flight: usize,
    pub(crate) plans: Vec<Plan>,
    /// Router and nonce of the process in the home row, if this router continues the term
    /// of another router.
    pub(crate) holder: Option<(Router, Arc<str>)>,
    /// Earlier homes that may still give orders.
    pub(crate) priors: Vec<EarlierHome>,
    pub(crate) handovers_requested_at: Option<Instant>,
    /// Start of the delay after which released prior owners are cleared from the table.
    pub(crate) clear_delay_started_at: Option<Instant>,
    /// Busy share of the slots by shard.
    pub(crate) shard_utilization: BTreeMap<Shard, f64>,
    /// Whether the upstream could receive shards when its state was last checked. The
    /// other homes get a report when this changes.
    pub(crate) is_reported_available: bool,
    /// Whether any load was reported.
    pub(crate) has_load: bool,
    /// When the upstream gained each of its shards.
    pub(crate) gained_at: BTreeMap<Shard, Instant>,
    /// When this router became home.
    pub(crate) home_since: Instant,
    /// Time before which no shards move for better balance.
    pub(crate) next_rebalance: Instant,
    /// Whether this router continues the term of another router.
    pub(crate) is_acting: bool,
    liveness: InitializedStateMachine<Liveness>,
}

impl Held {
    /// Creates the state for a term that was proven by an exchange with the table. The
    /// exchange started at `proven_at`.
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
            authority_until: proven_at + settings.lower_bound(settings.authority),
            settles_at: now,
            proven_incarnation: None,
            reading: None,
            outstanding: OutstandingOrders::default(),
            sequence: Sequence(0),
            grants: Arc::new([]),
            has_stale_grants: true,
            is_order_due: true,
            granted: None,
            request: None,
            late_requests: Vec::new(),
            next_heartbeat: now,
            answered_at: now,
            released: BTreeMap::new(),
            announced: BTreeMap::new(),
            next_release_request: now,
            is_leaving: false,
            reassignments_in_flight: 0,
            plans: Vec::new(),
            holder: None,
            priors: Vec::new(),
            handovers_requested_at: None,
            clear_delay_started_at: None,
            shard_utilization: BTreeMap::new(),
            is_reported_available: false,
            has_load: false,
            gained_at: BTreeMap::new(),
            home_since: now,
            next_rebalance: now,
            is_acting: false,
            liveness: Liveness.uninitialized_state_machine().init(),
        }
    }

    /// Returns the liveness state of the upstream.
    pub(crate) fn state(&self) -> State {
        *self.liveness.state()
    }

    /// Passes a signal to the liveness state machine.
    pub(crate) fn handle(&mut self, signal: Signal) {
        self.liveness.handle(&signal);
    }

    /// Returns whether the rows of the shards are still being read.
    pub(crate) fn is_loading(&self) -> bool {
        self.state() == State::Loading {}
    }

    /// Returns whether the upstream has answered and its grants haven't all expired
    /// since.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.state(), State::Granting {} | State::Suspect {})
    }

    /// Brings `settles_at` forward to the time when the last earlier home has ended, if
    /// that time is known of all earlier homes.
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

    /// Returns the busy share of the slots of the upstream.
    pub(crate) fn utilization(&self) -> f64 {
        self.shard_utilization.values().sum()
    }

    /// Returns whether no earlier home can give orders.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        self.state() != State::Loading {} && now >= self.settles_at
    }

    /// Records that an exchange with the table proved the term. The exchange started at
    /// `sent_at`.
    pub(crate) fn prove(&mut self, sent_at: Instant, settings: &Settings) {
        if sent_at < self.proven_at {
            return;
        }
        self.proven_at = sent_at;
        let until = sent_at + settings.lower_bound(settings.authority);
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

    /// Records that a request for a ticket was sent.
    pub(crate) fn start_ticket(&mut self, id: u64, now: Instant) {
        self.request = Some(Request {
            id,
            sent_at: now,
            order: None,
        });
    }

    /// Creates the next order and records that it was sent. Returns `None` if no recent
    /// reading of the upstream's clock is known.
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
        let valid_for = settings.lower_bound(age) + settings.lease;
        let valid_until_ms = reading.clock_ms + millis(valid_for);
        self.sequence = self.sequence.next();
        self.outstanding.add(
            self.sequence,
            reading.incarnation.clone(),
            self.grants.clone(),
            now,
            now + settings.upper_bound(settings.lease) + CLOCK_ROUNDING,
        );
        let order = Order {
            router: settings.router.clone(),
            term: self.term,
            sequence: self.sequence,
            incarnation: reading.incarnation.clone(),
            valid_until_ms,
            shards: self.grants.clone(),
        };
        self.is_order_due = false;
        self.request = Some(Request {
            id,
            sent_at: now,
            order: Some(SentOrder {
                sequence: self.sequence,
                valid_until_ms,
                shards: self.grants.clone(),
            }),
        });
        Some(order)
    }

    /// Stops waiting for the answer to the present request.
    pub(crate) fn time_out_request(&mut self) {
        self.late_requests.extend(self.request.take());
        if self.late_requests.len() > MAX_LATE_REQUESTS {
            self.late_requests.remove(0);
        }
        self.handle(Signal::Missed);
    }

    /// Records the answer to a request for a ticket. Returns whether it answers the
    /// present request.
    pub(crate) fn record_ticket(&mut self, id: u64, ticket: &Ticket, now: Instant) -> bool {
        let Some(_) = self.request.take_if(|it| it.id == id) else {
            return false;
        };
        self.record_reading(ticket, now);
        true
    }

    /// Records that a request for a ticket failed.
    pub(crate) fn record_ticket_failure(&mut self, id: u64) {
        if self.request.take_if(|it| it.id == id).is_some() {
            self.handle(Signal::Missed);
        }
    }

    /// Records the answer to an order. Returns which order it belongs to.
    pub(crate) fn record_answer(
        &mut self,
        id: u64,
        answer: &Answer,
        checks_orders: bool,
        now: Instant,
        settings: &Settings,
    ) -> AnswerMatch {
        let last = self.request.take_if(|it| it.id == id);
        let is_last = last.is_some();
        let Some(request) = last.or_else(|| self.remove_late_request(id)) else {
            return AnswerMatch::Unrelated;
        };
        let Some(sent) = request.order else {
            return AnswerMatch::Unrelated;
        };
        match answer {
            Answer::Accepted(ticket) => {
                self.outstanding.accept(sent.sequence, checks_orders, now);
                if is_last {
                    self.record_reading(ticket, now);
                    let left = sent.valid_until_ms.saturating_sub(ticket.clock_ms);
                    let left = settings.lower_bound(Duration::from_millis(left));
                    self.granted = Some(Granted {
                        shards: sent.shards,
                        valid_until: request.sent_at + left,
                    });
                }
            }
            Answer::Refused { ticket, .. } => {
                self.outstanding.refuse(sent.sequence);
                if is_last {
                    self.is_order_due = true;
                    self.record_reading(ticket, now);
                }
            }
            Answer::Unknown => {
                if is_last {
                    self.is_order_due = true;
                    self.handle(Signal::Missed);
                }
            }
        }
        if is_last {
            AnswerMatch::Current
        } else {
            AnswerMatch::Late
        }
    }

    fn remove_late_request(&mut self, id: u64) -> Option<Request> {
        let index = self.late_requests.iter().position(|it| it.id == id)?;
        Some(self.late_requests.remove(index))
    }

    fn record_reading(&mut self, ticket: &Ticket, now: Instant) {
        self.answered_at = now;
        self.is_leaving = ticket.leaving;
        let known = self.reading.as_ref().map(|it| &it.incarnation);
        if known != Some(&ticket.incarnation) {
            self.outstanding.retain_incarnation(&ticket.incarnation);
            self.granted = None;
            self.is_order_due = true;
        }
        self.reading = Some(ClockReading {
            incarnation: ticket.incarnation.clone(),
            clock_ms: ticket.clock_ms,
            answered_at: now,
        });
        self.handle(Signal::Answered);
    }

    /// Returns whether the upstream may follow an order that grants `shard` at an epoch
    /// before `epoch`. Considers only orders of this home, not those of earlier homes.
    pub(crate) fn may_hold(&self, shard: Shard, epoch: Epoch) -> bool {
        let granted = |grants: &[Grant]| {
            let found = grants.binary_search_by_key(&shard, |grant| grant.shard);
            found.is_ok_and(|index| grants[index].epoch < epoch)
        };
        granted(&self.grants) || self.outstanding.may_hold(shard, epoch)
    }

    /// Returns the epoch and the expiry of the grant of `shard` in the last accepted
    /// order.
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
