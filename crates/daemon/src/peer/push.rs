//! Sending of frames to other routers over nng push sockets.
//!
//! Messages to a router that can't be reached are dropped after a short wait:
//! every message is sent again by the decisions when its effect is missing.

use std::collections::HashMap;
use std::ffi::CString;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anng::Message;
use anng::protocols::pipeline0::Push0;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Most frames that wait for one router.
const QUEUE_FRAMES: usize = 256;

/// Longest wait for a router to take a frame.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait before a new try to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Frames under way to other routers. Cloning it shares the queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    queues: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>>>,
}

impl Outbox {
    /// Queues a frame for the router at `address`. Drops it if the queue is
    /// full.
    pub(crate) fn send(&self, address: SocketAddr, frame: Vec<u8>) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(address).or_insert_with(|| start(address));
        if let Err(mpsc::error::TrySendError::Closed(frame)) = queue.try_send(frame) {
            *queue = start(address);
            let _ = queue.try_send(frame);
        }
    }

    /// Forgets the routers that aren't among `addresses`.
    pub(crate) fn retain(&self, addresses: &[SocketAddr]) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.retain(|address, _| addresses.contains(address));
    }
}

fn start(address: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
    tokio::spawn(deliver(address, receiver));
    sender
}

async fn deliver(address: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let url = CString::new(format!("tcp://{address}")).expect("an address has no zero byte");
    while let Some(frame) = frames.recv().await {
        let mut socket = match Push0::dial(&url).await {
            Ok(socket) => socket,
            Err(_) => {
                sleep(RECONNECT_DELAY).await;
                continue;
            }
        };
        let mut next = Some(frame);
        while let Some(frame) = next {
            let sent = timeout(SEND_TIMEOUT, socket.push(Message::from(frame.as_slice()))).await;
            if !matches!(sent, Ok(Ok(()))) {
                break;
            }
            next = frames.recv().await;
        }
    }
}
