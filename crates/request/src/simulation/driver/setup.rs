//! Sets up a simulation: the fleet, the machines and the scheduled events.

use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use eelgrassrock_model::fleet::{Class, Fleet, Goal, Partner, Repeat, Service, Upstream};
use eelgrassrock_model::shard::Count;
use eelgrassrock_model::time::Instant;

use super::{Driver, ScheduledEvent};
use crate::simulation::load::{Fault, Load};
use crate::simulation::report::Report;
use crate::simulation::server::Server;
use crate::simulation::table::Table;
use crate::simulation::trace::Trace;
use crate::{Event, Grant, Machine, Settings};

const SHARDS: u32 = 64;
/// Transaction rate of all ten routers of a deployment together.
const CLAIMS_PER_SECOND: u32 = 200;

impl<'a> Driver<'a> {
    pub(super) fn new(load: &'a Load, trace: &'a Trace, routers: u32) -> Self {
        let count = load.upstreams as usize;
        let name = |index| format!("{}-{index}", load.name).parse();
        let names = (0..count).map(|index| name(index).expect("a valid name"));
        let partners = load.partners.iter().map(|partner| partner.name.parse());
        let class = Class {
            name: Arc::from(load.name),
            repeat: load.repeat,
            patience: load.patience,
            deadline: load.deadline,
            needs_idempotency_key: load.repeat == Repeat::Once,
        };
        let machine = |router: u32| {
            let settings = Settings::builder()
                .router(Arc::from(format!("router-{router}")))
                .seed(load.seed + u64::from(router))
                .initial_service_time(load.service_time)
                .claims_per_second(CLAIMS_PER_SECOND);
            Machine::new(settings.build())
        };
        Self {
            load,
            trace,
            machines: (0..routers).map(machine).collect(),
            servers: (0..count).map(|_| Server::new(load.slots)).collect(),
            names: names.collect(),
            partners: partners.map(|name| name.expect("a valid name")).collect(),
            class: Arc::new(class),
            event_queue: BinaryHeap::new(),
            scheduled_events: HashMap::new(),
            serial: 0,
            running: HashMap::new(),
            attempt_ids: HashMap::new(),
            started: HashMap::new(),
            wakes: vec![None; routers as usize],
            table: Table::default(),
            replaced: false,
            report: Report::new(load),
        }
    }

    pub(super) fn prepare(&mut self) {
        let now = Instant::default();
        let fleet = self.fleet();
        for router in 0..self.machines.len() {
            self.step(now, router, Event::Fleet(fleet.clone()));
            for upstream in self.names.clone() {
                let grant = Grant::Held;
                self.step(now, router, Event::GrantChanged { upstream, grant });
            }
        }
        for index in 0..self.trace.requests.len() {
            self.schedule(
                self.trace.requests[index].at,
                ScheduledEvent::Arrival(index),
            );
        }
        self.schedule_fault(now);
    }

    fn schedule_fault(&mut self, start: Instant) {
        let fault_at = start + self.load.fault_at();
        if self.load.fault != Fault::None {
            self.schedule(fault_at, ScheduledEvent::InjectFault);
        }
        if matches!(self.load.fault, Fault::Frozen | Fault::Lost) {
            let lease = self.load.lease;
            self.schedule(fault_at + lease / 2, ScheduledEvent::LapseGrant);
            self.schedule(fault_at + lease, ScheduledEvent::FailOver);
        }
    }

    fn fleet(&self) -> Fleet {
        let routers = u32::try_from(self.machines.len()).expect("few routers");
        let service: eelgrassrock_model::Service = self.load.name.parse().expect("a valid name");
        let declared = Upstream {
            service: service.clone(),
            data_centre: "one".parse().expect("a valid name"),
            address: ([127, 0, 0, 1], 9000).into(),
            slots: (self.load.slots / routers).max(1),
            connections: self.load.connections / routers,
            checks_orders: false,
            checks_idempotency: false,
        };
        let shards = Count::try_from(SHARDS).expect("a power of two");
        let goal = Goal::Availability;
        let weights = self.load.partners.iter().map(|partner| Partner {
            weight: partner.weight,
        });
        Fleet {
            services: [(service, Service { shards, goal })].into_iter().collect(),
            upstreams: self
                .names
                .iter()
                .map(|name| (name.clone(), declared.clone()))
                .collect(),
            partners: self.partners.iter().cloned().zip(weights).collect(),
            ..Fleet::default()
        }
    }
}
