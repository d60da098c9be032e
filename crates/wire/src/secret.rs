//! The secret that all routers of a deployment share.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Shortest secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

pub(crate) const TAG_BYTES: usize = 32;

/// Secret of the deployment. Its contents never show in logs.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

/// Error for a secret that is too short.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the secret has {length} bytes, at least {MIN_SECRET_BYTES} are needed")]
pub struct Short {
    length: usize,
}

/// Credential derived from the secret for one purpose, so that the secret
/// itself never travels.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Secret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, Short> {
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(Short {
                length: bytes.len(),
            });
        }
        let mac = Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length");
        Ok(Self(mac))
    }

    /// Derives the credential for `purpose`.
    ///
    /// ```
    /// use eelgrassrock_wire::Secret;
    ///
    /// let secret = Secret::new(b"0123456789abcdef")?;
    /// let token = secret.token("hop");
    /// assert!(token.matches(&token.to_string()));
    /// assert!(!token.matches(&secret.token("admin").to_string()));
    /// # Ok::<(), eelgrassrock_wire::Short>(())
    /// ```
    pub fn token(&self, purpose: &str) -> Token {
        let tag = self.tag(&[b"token", purpose.as_bytes()]);
        Token(tag.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(part);
        }
        mac.finalize().into_bytes().into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl Token {
    /// Returns the token as 64 hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Tells whether `text` is this token, in constant time.
    pub fn matches(&self, text: &str) -> bool {
        self.0.as_bytes().ct_eq(text.as_bytes()).into()
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(hidden)")
    }
}

impl FromStr for Secret {
    type Err = Short;

    fn from_str(text: &str) -> Result<Self, Short> {
        Self::new(text.trim().as_bytes())
    }
}
