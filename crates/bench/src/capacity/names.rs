//! Names and addresses of a synthetic deployment, derived from numbers.

use std::net::SocketAddr;
use std::str::FromStr;

use eelgrassrock_membership::member::{Live, Member};
use eelgrassrock_model::{DataCentre, Router};

/// Returns the name `{prefix}-{number}`.
pub(crate) fn name<T: FromStr>(prefix: &str, number: usize) -> T {
    let name = format!("{prefix}-{number}").parse();
    name.unwrap_or_else(|_| unreachable!("a prefix and a number form a valid name"))
}

pub(crate) fn router(number: usize) -> Router {
    name("eelgrassrock", number)
}

pub(crate) fn data_centre() -> DataCentre {
    name("region-1-centre", 1)
}

/// Returns the address of the router or upstream `number`. Addresses are distinct for numbers
/// below 2^24.
pub(crate) fn address(number: usize) -> SocketAddr {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7_000))
}

/// Returns the number whose address this is, the inverse of [`address`].
pub(crate) fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, a, b, c] = address.ip().octets();
            u32::from_be_bytes([0, a, b, c]) as usize
        }
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

pub(crate) fn member(number: usize, incarnation: u64) -> Member {
    Member {
        router: router(number),
        data_centre: data_centre(),
        address: address(number),
        incarnation,
    }
}

pub(crate) fn live(number: usize) -> Live {
    Live {
        router: router(number),
        data_centre: data_centre(),
        address: address(number),
    }
}
