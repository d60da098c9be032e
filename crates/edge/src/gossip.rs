//! Exchange of counts of requests in flight between routers whose subsets of upstreams overlap.
//!
//! An upstream has a few slots for all routers. Routers that prefer it send each other their counts
//! of requests in flight there soon after each change: the older a count, the more routers choose
//! the same free slot. A lost datagram makes a choice worse, but not wrong.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Revision;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

/// Time for which changes are collected into one message. It is a small part of the time for one
/// request.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// Minimum interval between messages, which grows with the number of neighbours. At a hundred
/// requests per second the counts always change, and each datagram costs processor time at both
/// ends.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
const INTERVAL_PER_NEIGHBOUR: Duration = Duration::from_millis(3);
/// Interval at which unchanged counts are sent again, in case the last message was lost.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between messages about keys, extended once for every `ROUTERS_PER_INTERVAL` routers. A
/// leader receives them from all routers, and must detect a surge of hot keys within a second.
const KEYS_INTERVAL: Duration = Duration::from_millis(100);
const ROUTERS_PER_INTERVAL: u32 = 96;
/// Maximum number of keys in one message, so that it fits into a packet.
const MAX_KEYS: usize = 400;
/// Maximum size of a received message, in bytes.
const MAX_BYTES: usize = 8 << 10;
/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// Datagram between routers.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Counts(Counts),
    /// Keys that were requested at the sender, for the leader of a service.
    Keys(Arc<str>, Vec<u16>),
    /// Versions of configuration and registry at the sender.
    Versions([Revision; 2]),
}

/// Service, upstream, and number of requests in flight there.
type Count = (Arc<str>, Arc<str>, u32);

#[derive(Debug, Serialize, Deserialize)]
struct Counts {
    router: Arc<str>,
    counts: Vec<Count>,
}

/// Sends the counts of this router when they change, and repeats them while any request is in
/// flight.
pub(crate) async fn send<P: Platform>(node: Rc<Node<P>>, socket: Rc<UdpSocket>) {
    let mut sent: Vec<Count> = Vec::new();
    let mut repeat_due = clock::now();
    let mut sent_at = clock::now();
    let mut keys_due = clock::now();
    loop {
        // A change and a timeout are handled in the same way.
        let _ = timeout(KEYS_INTERVAL, node.counts_changed.notified()).await;
        let neighbours = node.state.borrow().neighbours.len() as u32;
        let interval = MIN_INTERVAL.max(INTERVAL_PER_NEIGHBOUR * neighbours);
        sleep(BATCH_DELAY.max(sent_at + interval - clock::now())).await;
        let now = clock::now();
        if now >= keys_due {
            send_keys(&node, &socket);
            let extra_intervals = node.state.borrow().routers.len() as u32 / ROUTERS_PER_INTERVAL;
            keys_due = now + KEYS_INTERVAL * (extra_intervals + 1);
        }
        let counts = counts(&node);
        let is_due = now >= repeat_due && !counts.is_empty();
        if counts == sent && !is_due {
            continue;
        }
        repeat_due = now + REPEAT_INTERVAL;
        sent_at = now;
        sent.clone_from(&counts);
        let message = Message::Counts(Counts {
            router: Arc::clone(&node.settings.router),
            counts,
        });
        if let Ok(bytes) = postcard::to_allocvec(&message) {
            for address in &node.state.borrow().neighbours {
                // The next message makes up for one that can't be sent.
                let _ = socket.try_send_to(&bytes, *address);
            }
        }
    }
}

/// Sends requested keys to the leaders.
fn send_keys<P: Platform>(node: &Node<P>, socket: &UdpSocket) {
    for (service, address, keys) in node.leaderships.take_keys() {
        for part in keys.chunks(MAX_KEYS) {
            let message = Message::Keys(Arc::clone(&service), part.to_vec());
            if let Ok(bytes) = postcard::to_allocvec(&message) {
                // Losing some keys has little effect on the measured load.
                let _ = socket.try_send_to(&bytes, address);
            }
        }
    }
}

/// Sends the versions that this router has, so that no router relies on a relay that lags behind.
/// They go to the routers of its data centre, and to likely relays of the others.
pub(crate) fn send_versions<P: Platform>(node: &Node<P>) {
    let Some(socket) = node.socket.borrow().clone() else {
        return;
    };
    if node.state.borrow().directory.is_none() {
        return;
    }
    let Ok(bytes) = postcard::to_allocvec(&Message::Versions(node.relay.newest_versions())) else {
        return;
    };
    for address in node.version_targets() {
        // Every relay announces each change, so one datagram may be lost.
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

/// Receives and applies messages of other routers.
pub(crate) async fn receive<P: Platform>(node: Rc<Node<P>>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            sleep(ERROR_PAUSE).await;
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
            Message::Counts(counts) => apply_counts(&node, &counts),
            Message::Keys(service, keys) => node.leaderships.record_remote_keys(&service, &keys),
            Message::Versions(versions) => node.learn_versions(versions, sender),
        }
    }
}

fn apply_counts<P: Platform>(node: &Rc<Node<P>>, message: &Counts) {
    let names: Vec<Arc<str>> = node.state.borrow().services.keys().cloned().collect();
    for name in names {
        node.with_service(&name, |service, now| {
            let counts = message.counts.iter().filter(|(of, _, _)| *of == name);
            let counts = counts.map(|(_, upstream, count)| (&**upstream, *count));
            service.record_peer_counts(&message.router, counts, now);
        });
    }
}
