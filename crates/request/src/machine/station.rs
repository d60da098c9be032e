//! One upstream as its home sees it.

use std::time::Duration;

use eelgrassrock_model::fleet::Upstream;
use eelgrassrock_model::time::Instant;
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::estimate::Estimate;
use crate::event::{Arrival, Grant};
use crate::health::{Context, Evidence, Health, Order, State};
use crate::queue::{Flow, Fresh, Queue};
use crate::settings::Settings;
use crate::snapshot;

/// Times of the tail of the service time without any answer, after which an
/// upstream is taken to be stalled.
const STALL_FACTOR: u32 = 8;
const MIN_STALL: Duration = Duration::from_millis(250);

/// Queue, slots and measurements of one upstream.
#[derive(Debug)]
pub(crate) struct Station {
    pub(crate) declared: Upstream,
    pub(crate) grant: Grant,
    pub(crate) busy: u32,
    pub(crate) queue: Queue,
    pub(crate) service: Estimate,
    /// Last time at which it answered, or at which the first of the requests
    /// was sent that it hasn't answered.
    pub(crate) progress_at: Instant,
    /// Running requests of which the head of the answer was passed on.
    pub(crate) responding: u32,
    /// Time until which it asked to be left alone.
    pub(crate) paused_until: Instant,
    /// Time at which it is looked at again.
    pub(crate) alarm: Option<Instant>,
    health: InitializedStateMachine<Health>,
}

impl Station {
    pub(crate) fn new(declared: Upstream, service_time: Duration) -> Self {
        Self {
            declared,
            grant: Grant::Released,
            busy: 0,
            queue: Queue::default(),
            service: Estimate::new(service_time),
            progress_at: Instant::default(),
            responding: 0,
            paused_until: Instant::default(),
            alarm: None,
            health: Health::new()
                .uninitialized_state_machine()
                .init_with_context(&mut Context {
                    slots: 1,
                    may_stop: true,
                    orders: Vec::new(),
                }),
        }
    }

    pub(crate) fn fresh(&self, settings: &Settings) -> Fresh {
        Fresh {
            retry_share: settings.retry_share,
            service: self.service,
        }
    }

    /// Returns the number of slots that may be used now.
    pub(crate) fn open_slots(&self) -> u32 {
        match self.grant {
            Grant::Held | Grant::Leaving => {
                let state = *self.health.state();
                self.health.inner().open_slots(state, self.declared.slots)
            }
            Grant::Lapsed | Grant::Released => 0,
        }
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.busy < self.open_slots()
    }

    /// Returns the flow of the partner of a request, adding it if need be.
    pub(crate) fn flow_for(&mut self, arrival: &Arrival, settings: &Settings) -> Option<&mut Flow> {
        if self.queue.flow(&arrival.partner).is_none() {
            let fresh = self.fresh(settings);
            self.queue.set_weight(&arrival.partner, 1, fresh);
        }
        self.queue.flow_mut(&arrival.partner)
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        self.has_free_slot() && now >= self.paused_until
    }

    pub(crate) fn observe(&mut self, evidence: Evidence, may_stop: bool) -> Vec<Order> {
        let mut context = Context {
            slots: self.declared.slots,
            may_stop,
            orders: Vec::new(),
        };
        self.health.handle_with_context(&evidence, &mut context);
        context.orders
    }

    pub(crate) fn is_unwell(&self) -> bool {
        matches!(self.health.state(), State::Unwell {})
    }

    /// Returns the time until an upstream that is unwell is tried again.
    pub(crate) fn pause(&self) -> Duration {
        self.health.inner().pause()
    }

    /// Returns the number of requests that wait for the head of an answer.
    pub(crate) fn awaited(&self) -> u32 {
        self.busy - self.responding
    }

    fn stalls_at(&self) -> Instant {
        let patience = self.service.tail() * STALL_FACTOR;
        self.progress_at + patience.max(MIN_STALL)
    }

    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        self.awaited() > 0 && now >= self.stalls_at()
    }

    /// Returns when it is to be looked at again, if at all.
    pub(crate) fn next_look(&self, now: Instant) -> Option<Instant> {
        let stall = (self.awaited() > 0).then(|| self.stalls_at());
        let resume = (self.paused_until > now).then_some(self.paused_until);
        [stall, resume].into_iter().flatten().min()
    }

    /// Returns the expected wait behind `ahead` service times.
    pub(crate) fn wait(&self, ahead: f64) -> Duration {
        if self.has_free_slot() && self.queue.len() == 0 {
            return Duration::ZERO;
        }
        let slots = f64::from(self.open_slots().max(1));
        self.service.mean().mul_f64((ahead + 1.0) / slots)
    }

    pub(crate) fn snapshot(&self) -> snapshot::Station {
        let flows = self.queue.flows();
        snapshot::Station {
            grant: self.grant,
            slots: self.declared.slots,
            open_slots: self.open_slots(),
            busy: self.busy,
            queued: self.queue.len(),
            service_us: u64::try_from(self.service.mean().as_micros()).unwrap_or(u64::MAX),
            health: self.health.state().name(),
            partners: flows
                .map(|(partner, flow)| (partner.clone(), flow.snapshot()))
                .collect(),
        }
    }
}
