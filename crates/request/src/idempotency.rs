//! Idempotency keys, which identify requests that run at most once.

use std::sync::Arc;

use derive_more::{Display, Error};
use eelgrassrock_model::{Digest, Name, Partner, Service, table};
use sha2::{Digest as _, Sha256};

/// Maximum length of an `Idempotency-Key`, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Value of the `Idempotency-Key` header.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub struct Key(Arc<str>);

/// Error for a text that isn't a valid idempotency key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The text is empty.
    #[display("Idempotency-Key is empty: send a text that is unique for this request")]
    Empty,
    /// The text is too long. Holds its length in bytes.
    #[display("Idempotency-Key has {_0} bytes: send at most {MAX_KEY_BYTES}")]
    Long(#[error(not(source))] usize),
    /// The text holds a byte that isn't visible ASCII.
    #[display("Idempotency-Key holds a byte that isn't visible ASCII: send letters and digits")]
    Byte,
}

impl Key {
    /// Returns the key as text.
    ///
    /// ```
    /// use eelgrassrock_request::idempotency::Key;
    ///
    /// let key = Key::try_from("8e03978e-40d5")?;
    /// assert_eq!(key.as_str(), "8e03978e-40d5");
    /// # Ok::<(), eelgrassrock_request::idempotency::Fault>(())
    /// ```
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key of the table row that holds the claim. Keys of different partners
    /// never share a row.
    ///
    /// ```
    /// use eelgrassrock_request::idempotency::Key;
    ///
    /// let key = Key::try_from("8e03978e-40d5")?;
    /// let service = "issue".parse().unwrap();
    /// let row = key.row(&service, &"broker".parse().unwrap());
    /// assert!(row.starts_with("claim/issue/"));
    /// assert_ne!(row, key.row(&service, &"chemist".parse().unwrap()));
    /// # Ok::<(), eelgrassrock_request::idempotency::Fault>(())
    /// ```
    pub fn row(&self, service: &Service, partner: &Partner) -> Arc<str> {
        let mut hasher = Sha256::new();
        hasher.update(partner.as_str());
        hasher.update([0]);
        hasher.update(self.as_str());
        let digest = Digest::from_bytes(hasher.finalize().into());
        Arc::from(format!("claim/{}/{digest}", service.as_str()))
    }
}

impl TryFrom<&str> for Key {
    type Error = Fault;

    fn try_from(text: &str) -> Result<Self, Fault> {
        if text.is_empty() {
            return Err(Fault::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(Fault::Long(text.len()));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Fault::Byte);
        }
        Ok(Self(Arc::from(text)))
    }
}

/// Idempotency key of a request, with the data that is needed to claim it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Key that the caller sent.
    pub key: Key,
    /// Digest of the method, the path and the body.
    pub body: Digest,
    /// Claim that another home took for this request and passed on with
    /// [`Action::Redirect`](crate::Action::Redirect).
    pub carried: Option<table::Check>,
}
