//! Seals messages to other routers and opens those that arrive.

use std::net::SocketAddr;
use std::sync::Arc;

use eelgrassrock_model::Router;
use eelgrassrock_wire::{Fault, Frame, MAX_DATAGRAM_BYTES, Secret};

use crate::admin::recorder::Recorder;
use crate::peer::message::{Envelope, Message};
use crate::peer::{Outbox, Port};

/// Sends messages to other routers, authenticated by the secret of the deployment.
pub(crate) struct Sender {
    me: Router,
    address: SocketAddr,
    secret: Secret,
    outbox: Outbox,
    port: Port,
    recorder: Arc<Recorder>,
}

impl Sender {
    /// Creates the sender of the router `me`, whose address for messages is `address`.
    pub(crate) fn new(
        me: Router,
        address: SocketAddr,
        secret: Secret,
        port: Port,
        recorder: Arc<Recorder>,
    ) -> Self {
        Self {
            me,
            address,
            secret,
            outbox: Outbox::default(),
            port,
            recorder,
        }
    }

    /// Sends a message over nng.
    pub(crate) fn send(&self, to: SocketAddr, message: Message) {
        // A message that is too long to be sealed is dropped. The state machines request
        // its contents again in smaller parts.
        if let Ok(bytes) = self.seal(message) {
            self.recorder.count_sent_bytes(bytes.len());
            self.outbox.send(to, bytes);
        }
    }

    /// Sends a message as a datagram. Drops it if it is longer than
    /// [`MAX_DATAGRAM_BYTES`].
    pub(crate) fn send_datagram(&self, to: SocketAddr, message: Message) {
        match self.seal(message) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => {
                self.recorder.count_sent_bytes(bytes.len());
                self.port.send(to, &bytes);
            }
            _ => {}
        }
    }

    /// Waits for the next datagram and returns it with the address of its sender.
    pub(crate) async fn receive_datagram(&self) -> std::io::Result<(Vec<u8>, SocketAddr)> {
        self.port.receive().await
    }

    /// Authenticates and decodes a frame of another router.
    pub(crate) fn open(&self, bytes: &[u8]) -> Result<Frame<Envelope>, Fault> {
        Frame::open(&self.secret, bytes)
    }

    /// Drops the queues of routers that aren't among `addresses`.
    pub(crate) fn retain(&self, addresses: &[SocketAddr]) {
        self.outbox.retain(addresses);
    }

    fn seal(&self, message: Message) -> Result<Vec<u8>, Fault> {
        let body = Envelope {
            from: self.address,
            message,
        };
        Frame {
            sender: self.me.clone(),
            body,
        }
        .seal(&self.secret)
    }
}
