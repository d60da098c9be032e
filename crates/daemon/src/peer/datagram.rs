//! Frames as UDP datagrams.

use std::io;
use std::net::SocketAddr;

use eelgrassrock_wire::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;

/// UDP port for heartbeats.
#[derive(Debug)]
pub(crate) struct Port {
    socket: UdpSocket,
}

impl Port {
    /// Opens the port.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
        })
    }

    /// Sends one frame, or drops it if the machine can't take it now.
    pub(crate) fn send(&self, address: SocketAddr, frame: &[u8]) {
        // Loss is expected of datagrams: the receiver's silence is the signal.
        let _ = self.socket.try_send_to(frame, address);
    }

    /// Waits for the next frame.
    pub(crate) async fn receive(&self) -> io::Result<(Vec<u8>, SocketAddr)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, from) = self.socket.recv_from(&mut buffer).await?;
        Ok((buffer[..length].to_vec(), from))
    }
}
