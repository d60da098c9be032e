//! What routers share about a suspect.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{MAX_TRIALS, MIN_ROUNDS, SEND_TIMEOUT, TRIAL_PAUSE};

const FINGERPRINT_BYTES: usize = 16;

/// Digest of the contents of a request. Its text form is hexadecimal.
///
/// ```
/// use eelgrassrock_dispatch::suspect::Fingerprint;
///
/// let fingerprint = Fingerprint::new([b"GET".as_slice(), b"/v1/1"]);
/// assert_ne!(fingerprint, Fingerprint::new([b"GET/".as_slice(), b"v1/1"]));
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request from its fields.
    pub fn new<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Fingerprint {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

/// Process that ended while a request was in flight there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    pub(super) upstream: Arc<str>,
    pub(super) incarnation: u64,
    pub(super) round: u32,
}

impl Crash {
    pub(super) fn is_of(&self, upstream: &str, incarnation: u64) -> bool {
        *self.upstream == *upstream && self.incarnation == incarnation
    }
}

/// What the routers share about a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub(super) service: Arc<str>,
    pub(super) crashes: Vec<Crash>,
    /// Number of sends since it was suspected.
    pub(super) sends: u32,
    /// Number of sends since it was quarantined.
    pub(super) trials: u32,
}

impl Record {
    /// Returns the service that the request is for.
    pub fn service(&self) -> &Arc<str> {
        &self.service
    }

    /// Returns the identifiers of the upstreams whose processes have ended.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<str>> {
        self.crashes.iter().map(|crash| &crash.upstream)
    }

    /// Returns the number of trials since the request was quarantined.
    pub fn trials(&self) -> u32 {
        self.trials
    }

    /// Whether the request is refused.
    pub fn is_quarantined(&self) -> bool {
        self.rounds() >= MIN_ROUNDS
    }

    pub(super) fn rounds(&self) -> u32 {
        let rounds = self.crashes.iter().map(|crash| crash.round);
        rounds.max().unwrap_or(0)
    }

    pub(super) fn has(&self, upstream: &str, incarnation: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.is_of(upstream, incarnation))
    }

    /// Returns the time between the last send and the next, or `None` if there is no further one.
    pub(super) fn pause(&self) -> Option<Duration> {
        match (self.is_quarantined(), self.sends) {
            (true, _) => (self.trials < MAX_TRIALS).then_some(TRIAL_PAUSE),
            (false, 0) => Some(Duration::ZERO),
            (false, _) => Some(SEND_TIMEOUT),
        }
    }
}
