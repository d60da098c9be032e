//! SHA-256 digests that identify contents.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest. Its text form is 64 lower-case hexadecimal digits; upper-case digits
/// are accepted as well.
///
/// ```
/// use eelgrassrock_model::Digest;
///
/// let digest = Digest::from_bytes([0xab; 32]);
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

/// Error for a text that isn't a valid digest.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is not a valid digest: expected 64 hexadecimal digits")]
pub struct DigestError {
    text: String,
}

impl Digest {
    /// Creates a digest from its 32 bytes.
    pub const fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the 32 bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let error = || DigestError {
            text: text.to_owned(),
        };
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
