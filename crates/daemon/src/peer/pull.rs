//! Receives frames from other routers over an nng pull socket.

use std::ffi::CString;
use std::net::SocketAddr;

use anng::protocols::pipeline0::Pull0;
use anng::{AioError, Socket};
use derive_more::{Display, Error};

/// Error when the nng port for messages of other routers can't be opened.
#[derive(Debug, Display, Error)]
#[display("the peer port {address} can't be opened: {error}")]
pub struct InboxError {
    address: SocketAddr,
    error: std::io::Error,
}

/// Socket that receives frames of other routers. The frames aren't authenticated yet.
#[derive(Debug)]
pub(crate) struct Inbox {
    socket: Socket<Pull0>,
}

impl Inbox {
    /// Listens on `address`.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, InboxError> {
        let url = CString::new(format!("tcp://{address}")).expect("an address has no zero byte");
        match Pull0::listen(&url).await {
            Ok(socket) => Ok(Self { socket }),
            Err(error) => Err(InboxError { address, error }),
        }
    }

    /// Waits for the next frame.
    pub(crate) async fn receive(&mut self) -> Result<Vec<u8>, AioError> {
        let message = self.socket.pull().await?;
        Ok(message.as_slice().to_vec())
    }
}
