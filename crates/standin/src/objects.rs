//! Stand-in for the object store.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::watch;

use crate::Addresses;
use crate::answer::Answer;
use crate::fault::{self, Admin, Common, Desk, Outage};
use crate::serve::{Handler, Port};
use crate::tamper::Line;

const PREFIX: &str = "/v1/objects/";
const MAX_OBJECT_BYTES: usize = 64 << 20;

/// Faults of the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How it is out of order.
    pub outage: Outage,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Contents are answered with one bit flipped.
    pub corrupt: bool,
    /// Answers that are still to be cut in the middle of their body.
    pub cut_answers: u32,
}

/// Object store in the process of a test.
///
/// ```
/// use eelgrassrock_standin::{Addresses, objects::{Faults, Server}};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let server = Server::start(Addresses::free()).await?;
/// server.set_faults(Faults { corrupt: true, ..Faults::default() });
/// assert_ne!(server.address().port(), 0);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Server {
    store: Arc<Store>,
    port: Port,
    admin: Port,
}

#[derive(Debug, Default)]
struct Store {
    objects: Mutex<IndexMap<String, Bytes>>,
    faults: watch::Sender<Faults>,
}

impl Server {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn start(addresses: Addresses) -> io::Result<Self> {
        let store = Arc::new(Store::default());
        let port = Port::open(addresses.listen, store.clone()).await?;
        let admin = Port::open(addresses.admin, Arc::new(Desk(store.clone()))).await?;
        Ok(Self { store, port, admin })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the address that takes faults.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.store.set_faults(faults);
    }
}

impl Common for Faults {
    fn outage(&self) -> Outage {
        self.outage
    }

    fn slow(&self) -> Duration {
        Duration::from_millis(self.slow_ms)
    }
}

impl Admin for Store {
    type Faults = Faults;

    fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }
}

impl Handler for Store {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _line: Line) -> Answer {
        if let Some(answer) = fault::gate(&self.faults).await {
            return answer;
        }
        let answer = self.answer(request).await;
        if fault::take(&self.faults, |faults| &mut faults.cut_answers) {
            return answer.cut().await;
        }
        answer
    }
}

impl Store {
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let Some(digest) = request.uri().path().strip_prefix(PREFIX) else {
            return Answer::status(StatusCode::NOT_FOUND);
        };
        let digest = digest.to_owned();
        match *request.method() {
            Method::GET => self.get(&digest),
            Method::PUT => self.put(digest, request.into_body()).await,
            _ => Answer::status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn get(&self, digest: &str) -> Answer {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(contents) = objects.get(digest) else {
            return Answer::status(StatusCode::NOT_FOUND);
        };
        if self.faults.borrow().corrupt {
            return Answer::bytes(StatusCode::OK, corrupted(contents));
        }
        Answer::bytes(StatusCode::OK, contents.clone())
    }

    async fn put(&self, digest: String, body: Incoming) -> Answer {
        let Ok(body) = Limited::new(body, MAX_OBJECT_BYTES).collect().await else {
            return Answer::status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let contents = body.to_bytes();
        if hex::encode(Sha256::digest(&contents)) != digest {
            return Answer::status(StatusCode::UNPROCESSABLE_ENTITY);
        }
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        match objects.insert(digest, contents) {
            Some(_) => Answer::status(StatusCode::OK),
            None => Answer::status(StatusCode::CREATED),
        }
    }
}

fn corrupted(contents: &Bytes) -> Bytes {
    let mut corrupted = contents.to_vec();
    match corrupted.first_mut() {
        Some(byte) => *byte ^= 1,
        None => corrupted.push(0),
    }
    corrupted.into()
}
