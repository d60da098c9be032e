//! Encoding and checking of frames.
//!
//! Layout: format version (2 bytes, big endian), length of the content
//! (4 bytes, big endian), content (`postcard`), tag (32 bytes) over all of it.

use derive_more::{Display, Error};
use eelgrassrock_model::Router;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::secret::{Secret, TAG_BYTES};

/// Version of the format that this build reads and writes.
const FORMAT_VERSION: u16 = 1;

const HEAD_BYTES: usize = 6;

/// Longest frame that is read, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Longest frame that is sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Message from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<Body> {
    /// Router that sent it.
    pub sender: Router,
    /// What it says.
    pub body: Body,
}

/// Reason why a frame was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The frame ends before its stated length.
    #[display("the frame is cut: {present} of {stated} bytes")]
    Cut {
        /// Bytes that are there.
        present: usize,
        /// Bytes that there should be.
        stated: usize,
    },
    /// The frame is longer than stated, or than allowed.
    #[display("the frame has {length} bytes, {allowed} are allowed")]
    TooLong {
        /// Bytes of the frame.
        length: usize,
        /// Bytes that are allowed.
        allowed: usize,
    },
    /// The frame has another format version.
    #[display("the frame has format version {found}, this router speaks {FORMAT_VERSION}")]
    Version {
        /// Version of the frame.
        found: u16,
    },
    /// The tag doesn't match: the sender lacks the secret, or the frame was
    /// changed under way.
    #[display("the tag of the frame does not match the secret of this deployment")]
    Forged,
    /// The tag matches, but the content can't be read.
    #[display("the content of the frame can not be read")]
    Malformed,
}

impl<Body: Serialize> Frame<Body> {
    /// Encodes the frame and adds its tag.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::TooLong`] if the frame would be refused by a reader.
    pub fn seal(&self, secret: &Secret) -> Result<Vec<u8>, Fault> {
        let content = postcard::to_stdvec(self).map_err(|_| Fault::Malformed)?;
        let length = HEAD_BYTES + content.len() + TAG_BYTES;
        if length > MAX_FRAME_BYTES {
            return Err(Fault::TooLong {
                length,
                allowed: MAX_FRAME_BYTES,
            });
        }
        let stated = u32::try_from(content.len()).expect("the length was checked above");
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
        bytes.extend_from_slice(&stated.to_be_bytes());
        bytes.extend_from_slice(&content);
        let tag = secret.tag(&[&bytes]);
        bytes.extend_from_slice(&tag);
        Ok(bytes)
    }
}

impl<Body: DeserializeOwned> Frame<Body> {
    /// Checks and decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] that says why the frame was refused.
    pub fn open(secret: &Secret, bytes: &[u8]) -> Result<Self, Fault> {
        let (signed, tag) = split(bytes)?;
        if !bool::from(secret.tag(&[signed]).ct_eq(tag)) {
            return Err(Fault::Forged);
        }
        postcard::from_bytes(&signed[HEAD_BYTES..]).map_err(|_| Fault::Malformed)
    }
}

/// Splits a frame into what the tag covers and the tag.
fn split(bytes: &[u8]) -> Result<(&[u8], &[u8]), Fault> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Fault::TooLong {
            length: bytes.len(),
            allowed: MAX_FRAME_BYTES,
        });
    }
    if bytes.len() < HEAD_BYTES {
        return Err(Fault::Cut {
            present: bytes.len(),
            stated: HEAD_BYTES + TAG_BYTES,
        });
    }
    let found = u16::from_be_bytes([bytes[0], bytes[1]]);
    if found != FORMAT_VERSION {
        return Err(Fault::Version { found });
    }
    let content = u32::from_be_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]);
    let stated = (content as usize).saturating_add(HEAD_BYTES + TAG_BYTES);
    if bytes.len() < stated {
        return Err(Fault::Cut {
            present: bytes.len(),
            stated,
        });
    }
    if bytes.len() > stated {
        return Err(Fault::TooLong {
            length: bytes.len(),
            allowed: stated,
        });
    }
    Ok(bytes.split_at(stated - TAG_BYTES))
}
