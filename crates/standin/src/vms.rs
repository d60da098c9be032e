//! Stand-in for the platform's list of VMs.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Addresses;
use crate::answer::Answer;
use crate::fault::{self, Admin, Common, Desk, Outage};
use crate::serve::{Handler, Port};
use crate::tamper::Line;

const PATH: &str = "/v1/vms";

/// Entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the router or upstream.
    pub name: String,
    /// Address by IP number.
    pub address: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// `router` or `upstream`. Other texts are passed on, as a fault.
    pub kind: String,
    /// `live` or `leaving`. Other texts are passed on, as a fault.
    pub state: String,
}

/// Faults of the list, and the list itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How it is out of order.
    pub outage: Outage,
    /// Time added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Time after which a change of the list is shown, in milliseconds.
    pub lag_ms: u64,
    /// The list, `None` to leave it as it is.
    pub vms: Option<Vec<Vm>>,
}

/// List of VMs in the process of a test.
///
/// ```
/// use eelgrassrock_standin::{Addresses, vms::{Faults, Server}};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let server = Server::start(Addresses::free()).await?;
/// server.set_faults(Faults { vms: Some(Vec::new()), ..Faults::default() });
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Server {
    list: Arc<List>,
    port: Port,
    admin: Port,
}

#[derive(Debug, Default)]
struct List {
    changes: Mutex<Vec<Change>>,
    faults: watch::Sender<Faults>,
}

/// List that is shown from an instant on.
#[derive(Clone, Debug)]
struct Change {
    shown_from: Instant,
    vms: Vec<Vm>,
}

impl Server {
    /// Starts to listen, with an empty list.
    ///
    /// # Errors
    ///
    /// An address that can't be listened on.
    pub async fn start(addresses: Addresses) -> io::Result<Self> {
        let list = Arc::new(List::default());
        let port = Port::open(addresses.listen, list.clone()).await?;
        let admin = Port::open(addresses.admin, Arc::new(Desk(list.clone()))).await?;
        Ok(Self { list, port, admin })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the address that takes faults.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Replaces the faults, and the list if there is one.
    pub fn set_faults(&self, faults: Faults) {
        self.list.set_faults(faults);
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

impl Admin for List {
    type Faults = Faults;

    fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    fn set_faults(&self, faults: Faults) {
        if let Some(vms) = &faults.vms {
            self.change(vms.clone(), Duration::from_millis(faults.lag_ms));
        }
        self.faults.send_replace(faults);
    }
}

impl Handler for List {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _line: Line) -> Answer {
        if let Some(answer) = fault::gate(&self.faults).await {
            return answer;
        }
        if request.uri().path() != PATH {
            return Answer::status(StatusCode::NOT_FOUND);
        }
        Answer::json(StatusCode::OK, &json!({ "vms": self.shown() }))
    }
}

impl List {
    fn change(&self, vms: Vec<Vm>, lag: Duration) {
        let shown_from = Instant::now() + lag;
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push(Change { shown_from, vms });
    }

    fn shown(&self) -> Vec<Vm> {
        let now = Instant::now();
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let shown = changes.iter().rev().find(|change| change.shown_from <= now);
        shown.map_or_else(Vec::new, |change| change.vms.clone())
    }
}
