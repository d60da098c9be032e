//! Settings and bundles: reading, checking, comparing and approving INI files.
//!
//! Settings belong to one daemon and are read from its own file. A bundle
//! belongs to the deployment: it declares services, upstreams, partners and
//! routes, and comes into force by a roll that its approvers signed.
//!
//! Every fault of a file is reported at once as a [`Report`]. Apart from
//! [`settings::Settings::read`] nothing here performs I/O.

pub mod approval;
pub mod bundle;
pub mod diff;
mod document;
mod fault;
mod fields;
pub mod key;
pub mod roll;
pub mod route;
mod rule;
pub mod secret;
pub mod settings;

pub use fault::{Fault, Kind, Report};
