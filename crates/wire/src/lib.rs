//! Authenticated frames between routers.
//!
//! A [`Frame`] carries one message from one router to another, over UDP or
//! nng. It is encoded by `postcard` and ends with an HMAC-SHA-256 tag, whose key
//! is the secret of the deployment. A frame that is truncated, too long, of
//! another version or tagged with another secret is refused with a [`Fault`].
//!
//! ```
//! use eelgrassrock_wire::{Frame, Secret};
//!
//! let secret = Secret::new(b"0123456789abcdef")?;
//! let frame = Frame { sender: "r1".parse().unwrap(), body: "ping".to_owned() };
//! let bytes = frame.seal(&secret).unwrap();
//! assert_eq!(Frame::open(&secret, &bytes), Ok(frame));
//! # Ok::<(), eelgrassrock_wire::ShortSecret>(())
//! ```

mod frame;
mod secret;

pub use frame::{Fault, Frame, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use secret::{MIN_SECRET_BYTES, Secret, ShortSecret, Token};
