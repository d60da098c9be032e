//! One upstream as its home sees it.

use std::time::Duration;

use eelgrassrock_model::fleet::Upstream;

use crate::estimate::Estimate;
use crate::event::Grant;
use crate::queue::{Fresh, Queue};
use crate::settings::Settings;
use crate::snapshot;

/// Queue, slots and measurements of one upstream.
#[derive(Debug)]
pub(crate) struct Station {
    pub(crate) declared: Upstream,
    pub(crate) grant: Grant,
    pub(crate) busy: u32,
    pub(crate) queue: Queue,
    pub(crate) service: Estimate,
}

impl Station {
    pub(crate) fn new(declared: Upstream, service_time: Duration) -> Self {
        Self {
            declared,
            grant: Grant::Released,
            busy: 0,
            queue: Queue::default(),
            service: Estimate::new(service_time),
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
            Grant::Held | Grant::Leaving => self.declared.slots,
            Grant::Lapsed | Grant::Released => 0,
        }
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.busy < self.open_slots()
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
            health: "well",
            partners: flows
                .map(|(partner, flow)| (partner.clone(), flow.snapshot()))
                .collect(),
        }
    }
}
