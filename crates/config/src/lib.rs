//! Settings and bundles: reading, checking, comparing and approving INI files.
//!
//! Settings configure one daemon and are read from its own file. A bundle
//! configures the whole deployment: it declares services, upstreams, partners
//! and routes. A roll puts it into force once enough approvers have signed it.
//!
//! All faults of a file are returned together in one [`Report`]. Only
//! [`settings::Settings::read`] and [`secret::Process`] perform I/O.

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
