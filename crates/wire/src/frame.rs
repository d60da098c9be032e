//! Encoding, authentication and decoding of frames.
//!
//! Layout: format version (2 bytes, big endian), length of the content
//! (4 bytes, big endian), content (`postcard`), tag (32 bytes) over all
//! preceding bytes.

use derive_more::{Display, Error};
use eelgrassrock_model::Router;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::secret::{Secret, TAG_BYTES};

/// Version of the format that this build reads and writes.
const FORMAT_VERSION: u16 = 1;

/// Length of the format version and the content length.
const HEADER_BYTES: usize = 6;

/// Longest frame that is written or read, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Longest frame that is sent as one datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Message from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame<Body> {
    /// Router that sent the message.
    pub sender: Router,
    /// Content of the message.
    pub body: Body,
}

/// Reason why a frame was refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The frame ends within its header or before the length that the header states.
    #[display("the frame is truncated: it has {present} of {stated} bytes")]
    Truncated {
        /// Number of bytes that arrived.
        present: usize,
        /// Length of the frame by its header, or the least length if the header is incomplete.
        stated: usize,
    },
    /// The frame is longer than its header states, or than [`MAX_FRAME_BYTES`].
    #[display("the frame has {length} bytes, {allowed} are allowed")]
    TooLong {
        /// Length of the frame, in bytes.
        length: usize,
        /// Longest length that is allowed, in bytes.
        allowed: usize,
    },
    /// The frame has another format version.
    #[display("the frame has format version {found}, this router uses {FORMAT_VERSION}")]
    Version {
        /// Format version of the frame.
        found: u16,
    },
    /// The tag doesn't match: the sender doesn't have the secret, or the frame was
    /// changed in transit.
    #[display("the tag of the frame does not match the secret of this deployment")]
    TagMismatch,
    /// The tag matches, but the content can't be decoded. Also returned if a
    /// message can't be encoded.
    #[display("the content of the frame is malformed")]
    Malformed,
}

impl<Body: Serialize> Frame<Body> {
    /// Encodes the frame and adds its tag.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::TooLong`] if the frame exceeds [`MAX_FRAME_BYTES`], since the receiver
    /// would refuse it, and [`Fault::Malformed`] if the message can't be encoded.
    pub fn seal(&self, secret: &Secret) -> Result<Vec<u8>, Fault> {
        let content = postcard::to_stdvec(self).map_err(|_| Fault::Malformed)?;
        let length = HEADER_BYTES + content.len() + TAG_BYTES;
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
    /// Checks the length, version and tag of a frame, then decodes it.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] that says why the frame was refused.
    pub fn open(secret: &Secret, bytes: &[u8]) -> Result<Self, Fault> {
        let (covered, tag) = split(bytes)?;
        if !bool::from(secret.tag(&[covered]).ct_eq(tag)) {
            return Err(Fault::TagMismatch);
        }
        postcard::from_bytes(&covered[HEADER_BYTES..]).map_err(|_| Fault::Malformed)
    }
}

/// Checks the length and version of a frame, and splits it into the bytes that the tag covers and
/// the tag.
fn split(bytes: &[u8]) -> Result<(&[u8], &[u8]), Fault> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Fault::TooLong {
            length: bytes.len(),
            allowed: MAX_FRAME_BYTES,
        });
    }
    if bytes.len() < HEADER_BYTES {
        return Err(Fault::Truncated {
            present: bytes.len(),
            stated: HEADER_BYTES + TAG_BYTES,
        });
    }
    let found = u16::from_be_bytes([bytes[0], bytes[1]]);
    if found != FORMAT_VERSION {
        return Err(Fault::Version { found });
    }
    let content = u32::from_be_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]);
    let stated = (content as usize).saturating_add(HEADER_BYTES + TAG_BYTES);
    if bytes.len() < stated {
        return Err(Fault::Truncated {
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
