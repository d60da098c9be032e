//! Adoption of bundles.
//!
//! A few routers per data centre poll the row of the current bundle and announce
//! its record to the others. Each router fetches the contents, has the approvals
//! checked and applies the bundle. A router never applies a version lower than the
//! highest valid one that it has seen. A fresh router learns the highest version
//! from its peers or the table before it serves.

mod bootstrap;
mod machine;
mod poll;
mod record;
mod rollout;
mod settings;

pub use machine::Machine;
pub use record::{
    Action, Decision, Event, FetchOutcome, Outcome, Reading, Record, Source, Verdict,
};
pub use settings::Settings;
