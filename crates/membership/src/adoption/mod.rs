//! Adoption of bundles.
//!
//! A few routers per data centre read the row of the current bundle and tell
//! the others. Each router fetches the contents, has the approvals checked and
//! applies the bundle. It never applies a lower version than one that it has
//! seen, and a fresh one learns the highest version before it serves.

mod learn;
mod machine;
mod poll;
mod record;
mod roll;
mod settings;

pub use machine::Machine;
pub use record::{Action, Contents, Decision, Event, Outcome, Reading, Record, Source, Verdict};
pub use settings::Settings;
