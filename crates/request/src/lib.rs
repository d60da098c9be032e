//! Decisions on each request: admission, fairness, retries, health and idempotency.
//!
//! The [`Machine`] holds the queue, the slots and the idempotency records of every upstream
//! that this router is home of. It performs no I/O and reads no clock: the caller passes in
//! the time and an [`Event`], and carries out each returned [`Action`].
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//!
//! use eelgrassrock_model::fleet::{Class, Patience, Repeat};
//! use eelgrassrock_model::shard::Shard;
//! use eelgrassrock_model::time::Instant;
//! use eelgrassrock_request::{Action, Arrival, Event, Grant, Id, Machine, Settings};
//!
//! # let fleet = eelgrassrock_request::example::fleet();
//! let now = Instant::from_millis(1);
//! let mut machine = Machine::new(Settings::builder().build());
//! machine.step(now, Event::Fleet(fleet));
//! let upstream: eelgrassrock_model::Upstream = "lookup-1".parse()?;
//! machine.step(now, Event::GrantChanged { upstream: upstream.clone(), grant: Grant::Held });
//! let class = Class {
//!     name: Arc::from("lookup"),
//!     repeat: Repeat::Idempotent,
//!     patience: Patience::Wait,
//!     deadline: Duration::from_secs(2),
//!     needs_idempotency_key: false,
//! };
//! let arrival = Arrival {
//!     request: Id(1),
//!     upstream,
//!     shard: Shard(7),
//!     partner: "broker".parse()?,
//!     class: Arc::new(class),
//!     deadline: now + Duration::from_secs(2),
//!     attempts: 0,
//!     bytes: 512,
//!     idempotency: None,
//! };
//! let actions = machine.step(now, Event::Arrive(arrival));
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: Id(1), .. })));
//! # Ok::<(), eelgrassrock_model::NameError>(())
//! ```

mod action;
mod budget;
mod claim;
mod estimate;
mod event;
pub mod example;
mod health;
pub mod idempotency;
mod machine;
mod queue;
mod settings;
pub mod simulation;
mod snapshot;

pub use action::{Action, Decision, Outcome, Reason, Step, Verdict};
pub use event::{Answer, Arrival, Event, Grant, Id, Stored, Unreadable};
pub use machine::Machine;
pub use settings::{Builder, Settings};
pub use snapshot::{Flow, Snapshot, UpstreamState};
