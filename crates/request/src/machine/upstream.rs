//! State that the home keeps for one upstream.

use std::time::Duration;

use eelgrassrock_model::fleet::Upstream;
use eelgrassrock_model::time::Instant;
use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::estimate::Estimate;
use crate::event::{Arrival, Grant};
use crate::health::{Command, Context, Health, Observation, State};
use crate::queue::{Flow, FlowDefaults, Queue};
use crate::settings::Settings;
use crate::snapshot;

/// Multiple of the tail service time without any answer after which an upstream counts as
/// stalled.
const STALL_FACTOR: u32 = 8;
const MIN_STALL_TIME: Duration = Duration::from_millis(250);

/// Queue, slots and measurements of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) declared: Upstream,
    pub(crate) grant: Grant,
    pub(crate) busy: u32,
    pub(crate) queue: Queue,
    pub(crate) service: Estimate,
    /// Time of the last answer, or of the first request that was sent while none was
    /// unanswered, whichever is later.
    pub(crate) last_progress_at: Instant,
    /// Number of running requests whose answer head was passed on.
    pub(crate) responding_count: u32,
    /// Time until which the upstream asked not to be sent requests.
    pub(crate) paused_until: Instant,
    /// Time of the next scheduled check.
    pub(crate) check_at: Option<Instant>,
    health: InitializedStateMachine<Health>,
}

impl UpstreamState {
    pub(crate) fn new(declared: Upstream, service_time: Duration) -> Self {
        Self {
            declared,
            grant: Grant::Released,
            busy: 0,
            queue: Queue::default(),
            service: Estimate::new(service_time),
            last_progress_at: Instant::default(),
            responding_count: 0,
            paused_until: Instant::default(),
            check_at: None,
            health: Health::new()
                .uninitialized_state_machine()
                .init_with_context(&mut Context {
                    slots: 1,
                    may_stop: true,
                    commands: Vec::new(),
                }),
        }
    }

    pub(crate) fn flow_defaults(&self, settings: &Settings) -> FlowDefaults {
        FlowDefaults {
            retry_budget_ratio: settings.retry_budget_ratio,
            service: self.service,
        }
    }

    /// Returns the number of slots that may be in use now.
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

    /// Returns the flow of the partner of a request, and adds the flow if it is missing.
    pub(crate) fn flow_or_insert(
        &mut self,
        arrival: &Arrival,
        settings: &Settings,
    ) -> Option<&mut Flow> {
        if self.queue.flow(&arrival.partner).is_none() {
            let flow_defaults = self.flow_defaults(settings);
            self.queue.set_weight(&arrival.partner, 1, flow_defaults);
        }
        self.queue.flow_mut(&arrival.partner)
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        self.has_free_slot() && now >= self.paused_until
    }

    pub(crate) fn observe(&mut self, observation: Observation, may_stop: bool) -> Vec<Command> {
        let mut context = Context {
            slots: self.declared.slots,
            may_stop,
            commands: Vec::new(),
        };
        self.health.handle_with_context(&observation, &mut context);
        context.commands
    }

    pub(crate) fn is_unwell(&self) -> bool {
        matches!(self.health.state(), State::Unwell {})
    }

    /// Returns the time until an unwell upstream is tried again.
    pub(crate) fn pause(&self) -> Duration {
        self.health.inner().pause()
    }

    /// Returns the number of requests that wait for the head of an answer.
    pub(crate) fn awaiting_response(&self) -> u32 {
        self.busy - self.responding_count
    }

    fn stalls_at(&self) -> Instant {
        let patience = self.service.tail() * STALL_FACTOR;
        self.last_progress_at + patience.max(MIN_STALL_TIME)
    }

    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        self.awaiting_response() > 0 && now >= self.stalls_at()
    }

    /// Returns when the upstream has to be checked again, if at all.
    pub(crate) fn next_check(&self, now: Instant) -> Option<Instant> {
        let stall = (self.awaiting_response() > 0).then(|| self.stalls_at());
        let resume = (self.paused_until > now).then_some(self.paused_until);
        [stall, resume].into_iter().flatten().min()
    }

    /// Returns the expected wait behind `ahead` service times.
    pub(crate) fn expected_wait(&self, ahead: f64) -> Duration {
        if self.has_free_slot() && self.queue.len() == 0 {
            return Duration::ZERO;
        }
        let slots = f64::from(self.open_slots().max(1));
        self.service.mean().mul_f64((ahead + 1.0) / slots)
    }

    pub(crate) fn snapshot(&self) -> snapshot::UpstreamState {
        let flows = self.queue.flows();
        snapshot::UpstreamState {
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
