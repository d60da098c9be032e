//! Counts of requests under way, told to the routers whose subsets overlap.
//!
//! An upstream has a few slots for all routers. Those that prefer it tell each
//! other what they have under way there, soon after each change: the older a
//! count, the more routers choose the same free slot. Losing a datagram makes a
//! choice worse, not wrong.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::node::Node;
use crate::seam::Platform;

/// Time in which changes are gathered for one message: a small part of the time
/// for one request.
const GATHER: Duration = Duration::from_millis(25);
/// Time between two messages, at least and for each neighbour: at a hundred requests a
/// second there is always a change, and each datagram costs both ends processor time.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
const INTERVAL_PER_NEIGHBOUR: Duration = Duration::from_millis(3);
/// Time after which counts that don't change are told again, in case the last
/// message was lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two messages about keys, for every so many routers: a keeper
/// hears from all of them, and has to see a run of hot keys within a second.
const KEYS_INTERVAL: Duration = Duration::from_millis(100);
const ROUTERS_PER_INTERVAL: u32 = 96;
/// Keys in one message, so that it fits into a packet.
const MAX_KEYS: usize = 400;
/// Largest message that is read, in bytes.
const MAX_BYTES: usize = 8 << 10;
/// Pause after a failure of the socket.
const FAULT_PAUSE: Duration = Duration::from_millis(100);

/// Message between routers.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Counts(Counts),
    /// Keys that were asked for at the sender, for the keeper of a service.
    Keys(Arc<str>, Vec<u16>),
    /// Versions that the sender has of configuration and registry.
    Versions([Revision; 2]),
}

/// Service, upstream, and requests under way there.
type Count = (Arc<str>, Arc<str>, u32);

#[derive(Debug, Serialize, Deserialize)]
struct Counts {
    router: Arc<str>,
    counts: Vec<Count>,
}

/// Tells the counts of this router when they change, and as long as they aren't
/// zero.
pub(crate) async fn tell<P: Platform>(node: Rc<Node<P>>, socket: Rc<UdpSocket>) {
    let mut told: Vec<Count> = Vec::new();
    let mut repeat_due = clock::now();
    let mut told_at = clock::now();
    let mut keys_due = clock::now();
    loop {
        // Either there is a change, or something is due.
        let _ = timeout(KEYS_INTERVAL, node.counts_changed.notified()).await;
        let neighbours = node.state.borrow().neighbours.len() as u32;
        let interval = MIN_INTERVAL.max(INTERVAL_PER_NEIGHBOUR * neighbours);
        sleep(GATHER.max(told_at + interval - clock::now())).await;
        let now = clock::now();
        if now >= keys_due {
            tell_keys(&node, &socket);
            let crowd = node.state.borrow().routers.len() as u32 / ROUTERS_PER_INTERVAL;
            keys_due = now + KEYS_INTERVAL * (crowd + 1);
        }
        let counts = counts(&node);
        let is_due = now >= repeat_due && !counts.is_empty();
        if counts == told && !is_due {
            continue;
        }
        repeat_due = now + REPEAT_INTERVAL;
        told_at = now;
        told.clone_from(&counts);
        let message = Message::Counts(Counts {
            router: Arc::clone(&node.settings.router),
            counts,
        });
        if let Ok(bytes) = postcard::to_allocvec(&message) {
            for address in &node.state.borrow().neighbours {
                // The next message makes up for one that isn't sent.
                let _ = socket.try_send_to(&bytes, *address);
            }
        }
    }
}

/// Tells the keepers which keys were asked for.
fn tell_keys<P: Platform>(node: &Node<P>, socket: &UdpSocket) {
    for (service, address, keys) in node.duties.take_keys() {
        for part in keys.chunks(MAX_KEYS) {
            let message = Message::Keys(Arc::clone(&service), part.to_vec());
            if let Ok(bytes) = postcard::to_allocvec(&message) {
                // Losing some changes the counts by little.
                let _ = socket.try_send_to(&bytes, address);
            }
        }
    }
}

/// Tells which versions this router has, so that none relies on a relay that is
/// behind: the routers of its data centre, and of the others those that may be
/// their relays.
pub(crate) fn tell_versions<P: Platform>(node: &Node<P>) {
    let Some(socket) = node.socket.borrow().clone() else {
        return;
    };
    if node.state.borrow().directory.is_none() {
        return;
    }
    let Ok(bytes) = postcard::to_allocvec(&Message::Versions(node.relay.newest())) else {
        return;
    };
    for address in node.news_addresses() {
        // Each change is told by every relay, so one datagram may get lost.
        let _ = socket.try_send_to(&bytes, address);
    }
}

fn counts<P: Platform>(node: &Node<P>) -> Vec<Count> {
    let state = node.state.borrow();
    let mut counts = Vec::new();
    for (name, service) in &state.services {
        for (upstream, count) in service.in_flight() {
            counts.push((Arc::clone(name), Arc::clone(upstream), count));
        }
    }
    counts
}

/// Hears the counts of other routers.
pub(crate) async fn hear<P: Platform>(node: Rc<Node<P>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(FAULT_PAUSE).await;
            continue;
        };
        let sender = {
            let state = node.state.borrow();
            state.router_from(from.ip()).map(|router| router.address)
        };
        let (Some(sender), Ok(message)) = (sender, postcard::from_bytes(&buffer[..length])) else {
            continue;
        };
        match message {
            Message::Counts(counts) => take(&node, &counts),
            Message::Keys(service, keys) => node.duties.hear(&service, &keys),
            Message::Versions(versions) => node.hear_versions(versions, sender),
        }
    }
}

fn take<P: Platform>(node: &Rc<Node<P>>, message: &Counts) {
    let names: Vec<Arc<str>> = node.state.borrow().services.keys().cloned().collect();
    for name in names {
        node.with(&name, |service, now| {
            let counts = message.counts.iter().filter(|(of, _, _)| *of == name);
            let counts = counts.map(|(_, upstream, count)| (&**upstream, *count));
            service.record_peer_counts(&message.router, counts, now);
        });
    }
}
