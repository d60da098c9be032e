//! Encoding and authentication of messages between routers.

use std::hint::black_box;
use std::net::SocketAddr;

use eelgrassrock_membership::member::{Body, Message, Rumour, State, Tag};
use eelgrassrock_wire::{Frame, Secret};
use serde::Serialize;

use super::{Series, micros, names};
use crate::cpu;

/// Bytes of an IPv4 header and a UDP header.
pub(crate) const IP_UDP_HEADER_BYTES: usize = 28;

const RUMOUR_COUNTS: [usize; 4] = [0, 4, 8, 16];
const MESSAGES_PER_RUN: usize = 200;
const MIN_RUNS: usize = 5;

/// Incarnation of the routers. A router uses its start time in milliseconds.
pub(crate) const INCARNATION: u64 = 1_900_000_000_000;

/// Returns the number of bytes of a message on the wire: the sealed frame with the address of
/// the sender, the kind and the message, and the IPv4 and UDP headers.
pub(crate) fn datagram_bytes(sender: usize, message: &impl Serialize) -> usize {
    seal(sender, message).len() + IP_UDP_HEADER_BYTES
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

/// Returns the body of a ping from the router `sender`.
pub(crate) fn ping_body(sender: usize, sequence: u64) -> Body {
    Body::Ping {
        sequence,
        from: Tag::from(&names::router(sender)),
        incarnation: INCARNATION,
    }
}

/// Returns a ping that carries the given number of rumours.
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
    let mut message_bytes = Series::new("codec.bytes", "B", "rumour");
    let mut seal_time = Series::new("codec.seal", "us", "rumour");
    let mut open_time = Series::new("codec.open", "us", "rumour");
    for count in RUMOUR_COUNTS {
        let message = ping(count);
        message_bytes.push(count, datagram_bytes(1, &message) as f64);
        let time = cpu::median_time(
            MIN_RUNS,
            || (),
            |()| {
                (0..MESSAGES_PER_RUN).for_each(|_| drop(black_box(seal(1, &message))));
            },
        );
        seal_time.push(count, micros(time) / MESSAGES_PER_RUN as f64);
        let (bytes, secret) = (seal(1, &message), secret());
        let time = cpu::median_time(
            MIN_RUNS,
            || (),
            |()| {
                for _ in 0..MESSAGES_PER_RUN {
                    let frame = Frame::<(SocketAddr, u8, Message)>::open(&secret, &bytes);
                    black_box(frame.expect("the frame was just sealed"));
                }
            },
        );
        open_time.push(count, micros(time) / MESSAGES_PER_RUN as f64);
    }
    vec![message_bytes, seal_time, open_time]
}
