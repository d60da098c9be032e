//! Secret that all routers of a deployment share, and tokens derived from it.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Shortest secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Length of an HMAC-SHA-256 tag.
pub(crate) const TAG_BYTES: usize = 32;

/// Secret of the deployment, as HMAC-SHA-256 key. Its `Debug` output doesn't contain the secret, so
/// that logs don't either.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

/// Error for a secret that is shorter than [`MIN_SECRET_BYTES`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the secret has {length} bytes, at least {MIN_SECRET_BYTES} are needed")]
pub struct ShortSecret {
    length: usize,
}

/// Credential derived from the secret for one purpose, so that the secret
/// itself is never sent. Its `Debug` output doesn't contain the credential.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Secret {
    /// Creates a secret from its bytes, or fails if there are fewer than [`MIN_SECRET_BYTES`].
    pub fn new(bytes: &[u8]) -> Result<Self, ShortSecret> {
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(ShortSecret {
                length: bytes.len(),
            });
        }
        let mac = Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length");
        Ok(Self(mac))
    }

    /// Derives the credential for `purpose`. Different purposes give different tokens.
    ///
    /// ```
    /// use eelgrassrock_wire::Secret;
    ///
    /// let secret = Secret::new(b"0123456789abcdef")?;
    /// let token = secret.token("hop");
    /// assert!(token.matches(&token.to_string()));
    /// assert!(!token.matches(&secret.token("admin").to_string()));
    /// # Ok::<(), eelgrassrock_wire::ShortSecret>(())
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

    /// Returns whether `text` is this token. The comparison takes constant time.
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
    type Err = ShortSecret;

    fn from_str(text: &str) -> Result<Self, ShortSecret> {
        Self::new(text.trim().as_bytes())
    }
}
