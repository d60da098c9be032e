//! Digests that identify contents.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest, shown as 64 lower-case hexadecimal digits.
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

/// Error for a text that isn't a digest.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is not a digest: 64 hexadecimal digits are needed")]
pub struct Fault {
    text: String,
}

impl Digest {
    /// Creates a digest from its bytes.
    pub const fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
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
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let fault = || Fault {
            text: text.to_owned(),
        };
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(fault());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| fault())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Fault;

    fn try_from(text: String) -> Result<Self, Fault> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}
