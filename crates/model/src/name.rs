//! Names of the parts of a deployment, such as routers, data centres, partners and
//! upstreams.
//!
//! A name is a shared immutable string, so that cloning it doesn't copy its text. Each
//! kind of name has its own type: a [`Router`] can't be passed where an [`Upstream`] is
//! expected.

use std::borrow::Borrow;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Error for a text that isn't a valid name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is not a valid name: {reason}")]
pub struct NameError {
    text: String,
    reason: &'static str,
}

/// Operations that all kinds of names support.
pub trait Name: Clone + Eq + Ord + std::hash::Hash + FromStr<Err = NameError> {
    /// Returns the text of the name.
    fn as_str(&self) -> &str;
}

fn validate(text: &str) -> Result<(), NameError> {
    let error = |reason| NameError {
        text: text.to_owned(),
        reason,
    };
    if text.is_empty() {
        return Err(error("it must have at least one character"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(error("it must have at most 63 characters"));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !text.chars().all(allowed) {
        return Err(error("it may contain only a-z, 0-9 and `-`"));
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
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $kind {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
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
    /// Name of a service, which is a set of keys divided among its upstreams.
    ///
    /// ```
    /// use eelgrassrock_model::{Name, Service};
    ///
    /// let service: Service = "lookup".parse()?;
    /// assert_eq!(service.as_str(), "lookup");
    /// # Ok::<(), eelgrassrock_model::NameError>(())
    /// ```
    Service
}

name! {
    /// Name of an upstream, which is a server that owns its keys exclusively.
    Upstream
}

name! {
    /// Name of a router, which is one daemon on one entry VM.
    Router
}

name! {
    /// Name of a partner, which is a customer whose requests share a credential.
    Partner
}

name! {
    /// Name of a data centre.
    DataCentre
}

name! {
    /// Name of an approver, who is a person whose signature a bundle accepts.
    Approver
}

name! {
    /// Name of a route, which selects requests by method and path prefix.
    Route
}
