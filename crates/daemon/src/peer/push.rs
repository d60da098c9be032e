//! Sends frames to other routers over nng push sockets.
//!
//! Frames to an unreachable router are dropped after a timeout. The state machines send
//! a message again if it has no effect.

use std::collections::HashMap;
use std::ffi::CString;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anng::Message;
use anng::protocols::pipeline0::Push0;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Maximum number of frames queued for one router.
const QUEUE_FRAMES: usize = 256;

/// Timeout for sending one frame.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before another attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Queues of frames to other routers. Clones share the queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    queues: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>>>,
}

impl Outbox {
    /// Queues a frame for the router at `address`. Drops the frame if the queue is full.
    pub(crate) fn send(&self, address: SocketAddr, frame: Vec<u8>) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(address).or_insert_with(|| start(address));
        if let Err(mpsc::error::TrySendError::Closed(frame)) = queue.try_send(frame) {
            *queue = start(address);
            let _ = queue.try_send(frame);
        }
    }

    /// Drops the queues of routers that aren't among `addresses`.
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
