//! Loopback addresses of a run.

use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// Number of networks of loopback addresses that a process may use, and the address in each
/// that reserves it.
const NETWORKS: u8 = 250;
const RESERVED_HOST: u8 = 254;
const RESERVED_PORT: u16 = 7_539;

/// Third byte of the next network. An earlier run of this process may not have closed all of its
/// sockets yet.
static NEXT: AtomicU8 = AtomicU8::new(0);

/// Second and third byte of the loopback addresses of a run.
#[derive(Debug)]
pub(super) struct Network {
    pub(super) high: u8,
    pub(super) low: u8,
    /// Keeps other runs from using the same addresses.
    _reserved: TcpListener,
}

impl Network {
    /// Reserves a network that no other run uses.
    pub(super) fn reserve() -> io::Result<Self> {
        let process = std::process::id();
        let mut error = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..NETWORKS {
            let low = NEXT.fetch_add(1, Ordering::Relaxed) % NETWORKS;
            let high = (64 + process % 128) as u8;
            let address = Ipv4Addr::new(127, high, low, RESERVED_HOST);
            match TcpListener::bind((address, RESERVED_PORT)) {
                Ok(reserved) => {
                    return Ok(Self {
                        high,
                        low,
                        _reserved: reserved,
                    });
                }
                Err(other) => error = other,
            }
        }
        Err(error)
    }
}
