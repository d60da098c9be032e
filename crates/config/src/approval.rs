//! Approvals: signatures of approvers that are bound to one bundle.

use std::fmt;

use derive_more::{Display, Error};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use eelgrassrock_model::{Approver, Digest, Version};
use rand::CryptoRng;
use serde::{Deserialize, Serialize};

use crate::bundle::Bundle;

const KEY_BYTES: usize = 32;

/// Private key of an approver. It never appears in debug output.
pub struct Key(SigningKey);

/// Error for a text that isn't a private key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a private key: 64 hexadecimal digits are needed")]
pub struct Malformed;

impl Key {
    /// Creates a key from a secure random source.
    pub fn generate(random: &mut impl CryptoRng) -> Self {
        Self(SigningKey::generate(random))
    }

    /// Reads a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] for any other text.
    pub fn parse(text: &str) -> Result<Self, Malformed> {
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| Malformed)?;
        Ok(Self(SigningKey::from_bytes(&bytes)))
    }

    /// Returns the private key as 64 hexadecimal digits.
    pub fn expose(&self) -> String {
        hex::encode(self.0.as_bytes())
    }

    /// Returns the public key as 64 hexadecimal digits, as bundles hold it.
    pub fn public(&self) -> String {
        hex::encode(self.0.verifying_key().as_bytes())
    }

    /// Signs `bundle` in the name of `approver`.
    ///
    /// ```no_run
    /// use eelgrassrock_config::{approval::Key, bundle::Bundle};
    ///
    /// # fn example(bundle: Bundle, text: &str) -> Result<(), Box<dyn std::error::Error>> {
    /// let key = Key::parse(text)?;
    /// let approval = key.approve("imena".parse()?, &bundle);
    /// assert_eq!(approval.digest, bundle.digest());
    /// # Ok(())
    /// # }
    /// ```
    pub fn approve(&self, approver: Approver, bundle: &Bundle) -> Approval {
        let (version, digest) = (bundle.version(), bundle.digest());
        let signature = self.0.sign(&message(version, digest));
        Approval {
            approver,
            version,
            digest,
            signature: Mark(signature),
        }
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(hidden)")
    }
}

/// Signature of one approver for one bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approval {
    /// Who signed.
    pub approver: Approver,
    /// Version of the bundle.
    pub version: Version,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Signature of version and digest.
    pub signature: Mark,
}

/// Ed25519 signature, written as 128 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Mark(Signature);

/// Error for a text that isn't a signature.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a signature: 128 hexadecimal digits are needed")]
pub struct Unreadable;

impl TryFrom<String> for Mark {
    type Error = Unreadable;

    fn try_from(text: String) -> Result<Self, Unreadable> {
        let mut bytes = [0; Signature::BYTE_SIZE];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| Unreadable)?;
        Ok(Self(Signature::from_bytes(&bytes)))
    }
}

impl From<Mark> for String {
    fn from(mark: Mark) -> String {
        hex::encode(mark.0.to_bytes())
    }
}

/// Why an approval doesn't count.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flaw {
    /// It is for another bundle.
    #[display("it is for another version or digest")]
    OtherBundle,
    /// The bundle in force doesn't name the approver.
    #[display("the bundle in force has no such approver")]
    Stranger,
    /// The signature isn't by the approver's key.
    #[display("the signature is not by the key of this approver")]
    Forged,
    /// The approver signed before.
    #[display("the approver has signed before")]
    Repeated,
}

impl Approval {
    /// Returns the key of the table's row that holds this approval.
    pub fn row_key(&self) -> String {
        format!("{}{}", row_prefix(self.digest), self.approver)
    }

    /// Checks that the approval is for `bundle` and signed with `key`.
    pub(crate) fn check(&self, bundle: &Bundle, key: &VerifyingKey) -> Result<(), Flaw> {
        if self.digest != bundle.digest() || self.version != bundle.version() {
            return Err(Flaw::OtherBundle);
        }
        let message = message(self.version, self.digest);
        key.verify_strict(&message, &self.signature.0)
            .map_err(|_| Flaw::Forged)
    }
}

/// Returns the prefix of the rows that hold the approvals of a bundle.
pub fn row_prefix(digest: Digest) -> String {
    format!("approval/{digest}/")
}

fn message(version: Version, digest: Digest) -> Vec<u8> {
    format!("eelgrassrock bundle approval 1\nversion {version}\ndigest {digest}\n").into_bytes()
}
