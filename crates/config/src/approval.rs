//! Keys of approvers, and the approvals that they sign for one bundle.

use std::fmt;

use derive_more::{Display, Error};
use ed25519_dalek::{Signature as Ed25519Signature, Signer, SigningKey, VerifyingKey};
use eelgrassrock_model::{Approver, Digest, Version};
use rand::CryptoRng;
use serde::{Deserialize, Serialize};

use crate::bundle::Bundle;

const KEY_BYTES: usize = 32;

/// Ed25519 private key of an approver. Debug output hides it.
pub struct Key(SigningKey);

/// The text isn't a private key of 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a private key: expected 64 hexadecimal digits")]
pub struct InvalidKey;

impl Key {
    /// Creates a key from a secure random source.
    pub fn generate(random: &mut impl CryptoRng) -> Self {
        Self(SigningKey::generate(random))
    }

    /// Reads a key from 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidKey`] for any other text.
    pub fn parse(text: &str) -> Result<Self, InvalidKey> {
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| InvalidKey)?;
        Ok(Self(SigningKey::from_bytes(&bytes)))
    }

    /// Returns the private key as 64 hexadecimal digits.
    pub fn expose(&self) -> String {
        hex::encode(self.0.as_bytes())
    }

    /// Returns the public key as 64 hexadecimal digits, the form that bundles use.
    pub fn public(&self) -> String {
        hex::encode(self.0.verifying_key().as_bytes())
    }

    /// Signs the version and digest of `bundle` as `approver`.
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
        let signature = self.0.sign(&signed_message(version, digest));
        Approval {
            approver,
            version,
            digest,
            signature: Signature(signature),
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
    /// Approver who signed.
    pub approver: Approver,
    /// Version of the signed bundle.
    pub version: Version,
    /// Digest of the signed bundle.
    pub digest: Digest,
    /// Signature over version and digest.
    pub signature: Signature,
}

/// Ed25519 signature, written as 128 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Signature(Ed25519Signature);

/// The text isn't a signature of 128 hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a signature: expected 128 hexadecimal digits")]
pub struct InvalidSignature;

impl TryFrom<String> for Signature {
    type Error = InvalidSignature;

    fn try_from(text: String) -> Result<Self, InvalidSignature> {
        let mut bytes = [0; Ed25519Signature::BYTE_SIZE];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| InvalidSignature)?;
        Ok(Self(Ed25519Signature::from_bytes(&bytes)))
    }
}

impl From<Signature> for String {
    fn from(signature: Signature) -> String {
        hex::encode(signature.0.to_bytes())
    }
}

/// Reason why an approval isn't counted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The approval is for another bundle.
    #[display("it is for another version or digest")]
    OtherBundle,
    /// The bundle in force doesn't declare the approver.
    #[serde(rename = "stranger")]
    #[display("the bundle in force has no such approver")]
    UnknownApprover,
    /// The signature doesn't verify with the approver's public key.
    #[display("the signature is not by the key of this approver")]
    Forged,
    /// An earlier approval by the same approver was already counted.
    #[display("the approver has signed before")]
    Repeated,
}

impl Approval {
    /// Returns the key of the table row that stores this approval.
    pub fn row_key(&self) -> String {
        format!("{}{}", row_prefix(self.digest), self.approver)
    }

    /// Checks that the approval is for `bundle` and that its signature verifies with `key`.
    pub(crate) fn check(&self, bundle: &Bundle, key: &VerifyingKey) -> Result<(), Rejection> {
        if self.digest != bundle.digest() || self.version != bundle.version() {
            return Err(Rejection::OtherBundle);
        }
        let signed_message = signed_message(self.version, self.digest);
        key.verify_strict(&signed_message, &self.signature.0)
            .map_err(|_| Rejection::Forged)
    }
}

/// Returns the key prefix of the table rows that store the approvals of a bundle.
pub fn row_prefix(digest: Digest) -> String {
    format!("approval/{digest}/")
}

/// Returns the bytes that an approver signs.
fn signed_message(version: Version, digest: Digest) -> Vec<u8> {
    format!("eelgrassrock bundle approval 1\nversion {version}\ndigest {digest}\n").into_bytes()
}
