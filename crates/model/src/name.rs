//! Names of the machines, zones, customers and back ends of a deployment.
//!
//! Every name is a shared immutable string, so that cloning one never copies
//! its text. Each kind of name is a type of its own: a [`Router`] can't be
//! passed where an [`Upstream`] is expected.

use std::borrow::Borrow;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest name that is accepted, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Reason why a text isn't a valid name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is not a valid name: {reason}")]
pub struct Fault {
    text: String,
    reason: &'static str,
}

/// Behaviour that all kinds of names have in common.
pub trait Name: Clone + Eq + Ord + std::hash::Hash + FromStr<Err = Fault> {
    /// Returns the name as text.
    fn as_str(&self) -> &str;
}

fn check(text: &str) -> Result<(), Fault> {
    let fault = |reason| Fault {
        text: text.to_owned(),
        reason,
    };
    if text.is_empty() {
        return Err(fault("a name has at least one character"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(fault("a name has at most 63 characters"));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !text.chars().all(allowed) {
        return Err(fault("a name is made of a-z, 0-9 and `-`"));
    }
    Ok(())
}

macro_rules! name {
    ($(#[$doc:meta])* $kind:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $kind(Arc<str>);

        impl Name for $kind {
            fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $kind {
            type Err = Fault;

            fn from_str(text: &str) -> Result<Self, Fault> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $kind {
            type Error = Fault;

            fn try_from(text: String) -> Result<Self, Fault> {
                text.parse()
            }
        }

        impl From<$kind> for String {
            fn from(name: $kind) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $kind {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// Name of a service: a set of keys that is divided among its upstreams.
    ///
    /// ```
    /// use eelgrassrock_model::{Name, Service};
    ///
    /// let service: Service = "lookup".parse()?;
    /// assert_eq!(service.as_str(), "lookup");
    /// # Ok::<(), eelgrassrock_model::Fault>(())
    /// ```
    Service
}

name! {
    /// Name of an upstream: a server that holds keys exclusively.
    Upstream
}

name! {
    /// Name of a router: one daemon on one entry VM.
    Router
}

name! {
    /// Name of a partner: a customer whose requests share a credential.
    Partner
}

name! {
    /// Name of a data centre.
    DataCentre
}

name! {
    /// Name of an approver: a person whose signature a bundle accepts.
    Approver
}

name! {
    /// Name of a route: requests that one method and path prefix select.
    Route
}
