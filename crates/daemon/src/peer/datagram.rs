//! Sends and receives frames as UDP datagrams.

use std::io;
use std::net::SocketAddr;

use eelgrassrock_wire::MAX_DATAGRAM_BYTES;
use tokio::net::UdpSocket;

/// Open UDP port for heartbeats.
#[derive(Debug)]
pub(crate) struct Port {
    socket: UdpSocket,
}

impl Port {
    /// Binds a UDP socket to `address`.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
        })
    }

    /// Sends one frame without waiting. Drops it if the socket can't take it now.
    pub(crate) fn send(&self, address: SocketAddr, frame: &[u8]) {
        // Datagrams may be lost anyway. The failure detector notices missing answers.
        let _ = self.socket.try_send_to(frame, address);
    }

    /// Waits for the next frame and returns it with the address of its sender.
    pub(crate) async fn receive(&self) -> io::Result<(Vec<u8>, SocketAddr)> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let (length, from) = self.socket.recv_from(&mut buffer).await?;
        Ok((buffer[..length].to_vec(), from))
    }
}
