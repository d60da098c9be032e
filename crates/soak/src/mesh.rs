//! Links between routers: each router has an alias, at which a proxy listens and forwards what
//! the others send to it. The receiver sees the alias of the sender, at which it reaches it.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::time::sleep;

use crate::proxy::{Control, relay};

/// Added to the last byte of a router's address to make its alias.
const ALIAS_OFFSET: u8 = 128;
/// Maximum size of a datagram, in bytes.
const DATAGRAM_BYTES: usize = 16 << 10;

/// Links of all pairs of routers. They work until their runtime ends.
#[derive(Debug)]
pub(crate) struct Mesh {
    ends: Vec<End>,
    /// Control of the link between two routers, the one with the smaller number first.
    controls: HashMap<(usize, usize), Arc<Control>>,
}

/// Router with its alias.
#[derive(Debug)]
struct End {
    address: SocketAddr,
    alias: SocketAddr,
    datagrams: UdpSocket,
}

/// Returns the alias of a router's address.
pub(crate) fn alias(address: Ipv4Addr) -> Ipv4Addr {
    let [first, second, third, last] = address.octets();
    Ipv4Addr::new(first, second, third, last + ALIAS_OFFSET)
}

impl Mesh {
    /// Starts the links between routers at these addresses.
    pub(crate) async fn start(addresses: &[SocketAddr]) -> io::Result<Arc<Self>> {
        let mut ends = Vec::new();
        let mut listeners = Vec::new();
        for address in addresses {
            let IpAddr::V4(ip) = address.ip() else {
                return Err(io::Error::other("routers have IPv4 addresses"));
            };
            let alias = SocketAddr::new(IpAddr::V4(alias(ip)), address.port());
            listeners.push(TcpListener::bind(alias).await?);
            ends.push(End {
                address: *address,
                alias,
                datagrams: UdpSocket::bind(alias).await?,
            });
        }
        let pairs = (0..ends.len()).flat_map(|one| (0..one).map(move |other| (other, one)));
        let controls = pairs.map(|pair| (pair, Arc::default())).collect();
        let mesh = Arc::new(Self { ends, controls });
        for (number, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(Arc::clone(&mesh).accept(number, listener));
            tokio::spawn(Arc::clone(&mesh).forward(number));
        }
        Ok(mesh)
    }

    /// Returns the controls of a router's links to all others.
    pub(crate) fn links(&self, router: usize) -> Vec<Arc<Control>> {
        let own = self
            .controls
            .iter()
            .filter(|((one, other), _)| [*one, *other].contains(&router));
        own.map(|(_, control)| Arc::clone(control)).collect()
    }

    /// Returns the number of the router at an address, and the control of its link to `other`.
    fn link(&self, from: IpAddr, other: usize) -> Option<(usize, &Arc<Control>)> {
        let sender = self.ends.iter().position(|end| end.address.ip() == from)?;
        let pair = (sender.min(other), sender.max(other));
        Some((sender, self.controls.get(&pair)?))
    }

    async fn accept(self: Arc<Self>, receiver: usize, listener: TcpListener) {
        while let Ok((client, from)) = listener.accept().await {
            // A connection from elsewhere is closed.
            let Some((sender, control)) = self.link(from.ip(), receiver) else {
                continue;
            };
            let source = SocketAddr::new(self.ends[sender].alias.ip(), 0);
            let server = connect(source, self.ends[receiver].address);
            tokio::spawn(relay(client, server, control.subscribe()));
        }
    }

    async fn forward(self: Arc<Self>, receiver: usize) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.ends[receiver].datagrams.recv_from(&mut buffer).await
            else {
                // The receiver of an earlier datagram isn't running.
                continue;
            };
            let Some((sender, control)) = self.link(from.ip(), receiver) else {
                continue;
            };
            let mode = control.subscribe().borrow().clone();
            if mode.is_cut.contains(&true) {
                continue;
            }
            let (mesh, datagram) = (Arc::clone(&self), buffer[..length].to_vec());
            tokio::spawn(async move {
                sleep(mode.delay).await;
                let target = mesh.ends[receiver].address;
                // Datagrams may be lost.
                let _ = mesh.ends[sender].datagrams.send_to(&datagram, target).await;
            });
        }
    }
}

async fn connect(source: SocketAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(source)?;
    socket.connect(target).await
}
