//! Encoding and authentication of messages between routers.

use std::hint::black_box;
use std::net::SocketAddr;

use eelgrassrock_membership::member::{Body, Message, Rumour, State, Tag};
use eelgrassrock_wire::{Frame, Secret};
use serde::Serialize;

use super::{Series, micros, names};
use crate::cpu;

/// Bytes of the headers of IPv4 and UDP.
pub(crate) const HEADER_BYTES: usize = 28;

const RUMOURS: [usize; 4] = [0, 4, 8, 16];
const REPEATS: usize = 200;
const RUNS: usize = 5;

/// Incarnation of a router: the time of its start in milliseconds.
pub(crate) const INCARNATION: u64 = 1_900_000_000_000;

/// Returns the bytes of a message on the wire: address of the sender, kind,
/// message, frame and headers.
pub(crate) fn datagram_bytes(sender: usize, message: &impl Serialize) -> usize {
    seal(sender, message).len() + HEADER_BYTES
}

fn secret() -> Secret {
    Secret::new(b"0123456789abcdef0123456789abcdef").expect("the secret is long enough")
}

fn seal(sender: usize, message: &impl Serialize) -> Vec<u8> {
    const KIND: u8 = 0;
    let body = (names::address(sender), KIND, message);
    let frame = Frame {
        sender: names::router(sender),
        body,
    };
    frame.seal(&secret()).expect("the message is short")
}

/// Returns the purpose of a ping by the router `sender`.
pub(crate) fn ping_body(sender: usize, sequence: u64) -> Body {
    Body::Ping {
        sequence,
        from: Tag::from(&names::router(sender)),
        incarnation: INCARNATION,
    }
}

/// Returns a ping with the given number of rumours.
pub(crate) fn ping(rumours: usize) -> Message {
    let rumour = |number| Rumour {
        member: names::member(number, INCARNATION),
        state: State::Alive,
    };
    Message {
        body: ping_body(1, 70_000),
        view_digest: 0xdead_beef,
        news_digest: 0xdead_beef,
        rumours: (0..rumours).map(|number| rumour(1_000 + number)).collect(),
    }
}

pub(crate) fn measure() -> Vec<Series> {
    let mut size = Series::new("codec.bytes", "B", "rumour");
    let mut sealing = Series::new("codec.seal", "us", "rumour");
    let mut opening = Series::new("codec.open", "us", "rumour");
    for count in RUMOURS {
        let message = ping(count);
        size.push(count, datagram_bytes(1, &message) as f64);
        let span = cpu::median(
            RUNS,
            || (),
            |()| {
                (0..REPEATS).for_each(|_| drop(black_box(seal(1, &message))));
            },
        );
        sealing.push(count, micros(span) / REPEATS as f64);
        let (bytes, secret) = (seal(1, &message), secret());
        let span = cpu::median(
            RUNS,
            || (),
            |()| {
                for _ in 0..REPEATS {
                    let frame = Frame::<(SocketAddr, u8, Message)>::open(&secret, &bytes);
                    black_box(frame.expect("the frame was just sealed"));
                }
            },
        );
        opening.push(count, micros(span) / REPEATS as f64);
    }
    vec![size, sealing, opening]
}
