//! Authenticated frames between routers.
//!
//! A [`Frame`] carries one message from one router to another, over UDP or
//! nng. It is encoded by `postcard` and closed by an HMAC-SHA-256 tag under
//! the secret of the deployment. A frame that is cut, too long, of another
//! version or without the secret is refused with a typed [`Fault`].
//!
//! ```
//! use eelgrassrock_wire::{Frame, Secret};
//!
//! let secret = Secret::new(b"0123456789abcdef")?;
//! let frame = Frame { sender: "r1".parse().unwrap(), body: "ping".to_owned() };
//! let bytes = frame.seal(&secret).unwrap();
//! assert_eq!(Frame::open(&secret, &bytes), Ok(frame));
//! # Ok::<(), eelgrassrock_wire::Short>(())
//! ```

mod frame;
mod secret;

pub use frame::{Fault, Frame, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use secret::{MIN_SECRET_BYTES, Secret, Short, Token};
