//! Stand-in for the platform's object store, which stores objects by SHA-256 digest.

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
use crate::fault::{self, Admin, AdminHandler, Outage, ServiceFaults};
use crate::serve::{Handler, Port};
use crate::tamper::Tamper;

const PREFIX: &str = "/v1/objects/";
const MAX_OBJECT_BYTES: usize = 64 << 20;

/// Faults of the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the store, if any.
    pub outage: Outage,
    /// Delay before each call is handled, in milliseconds.
    pub slow_ms: u64,
    /// Whether contents are returned with one bit flipped.
    pub corrupt: bool,
    /// Number of coming answers to cut in the middle of their body.
    pub cut_answers: u32,
}

/// Object store that runs in the process of a test.
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
    /// Starts the server with no objects.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(addresses: Addresses) -> io::Result<Self> {
        let store = Arc::new(Store::default());
        let port = Port::open(addresses.listen, store.clone()).await?;
        let admin = Port::open(addresses.admin, Arc::new(AdminHandler(store.clone()))).await?;
        Ok(Self { store, port, admin })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the address of the admin port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.store.set_faults(faults);
    }
}

impl ServiceFaults for Faults {
    fn outage(&self) -> Outage {
        self.outage
    }

    fn delay(&self) -> Duration {
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
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _tamper: Tamper) -> Answer {
        if let Some(answer) = fault::apply_outage(&self.faults).await {
            return answer;
        }
        let answer = self.answer(request).await;
        if fault::consume(&self.faults, |faults| &mut faults.cut_answers) {
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
