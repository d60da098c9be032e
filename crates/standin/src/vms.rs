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
use crate::fault::{self, Admin, AdminHandler, Outage, ServiceFaults};
use crate::serve::{Handler, Port};
use crate::tamper::Tamper;

const PATH: &str = "/v1/vms";

/// Entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the router or upstream.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// `router` or `upstream`. Other values are returned unchanged, to simulate faulty data.
    pub kind: String,
    /// `live` or `leaving`. Other values are returned unchanged, to simulate faulty data.
    pub state: String,
}

/// Faults of the service, and the list that it returns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the service, if any.
    pub outage: Outage,
    /// Delay before each call is handled, in milliseconds.
    pub slow_ms: u64,
    /// Delay until a change of the list becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// New list, or `None` to keep the present one.
    pub vms: Option<Vec<Vm>>,
}

/// List of VMs that runs in the process of a test.
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
    list: Arc<VmList>,
    port: Port,
    admin: Port,
}

#[derive(Debug, Default)]
struct VmList {
    changes: Mutex<Vec<Change>>,
    faults: watch::Sender<Faults>,
}

/// List that is returned from an instant on.
#[derive(Clone, Debug)]
struct Change {
    shown_from: Instant,
    vms: Vec<Vm>,
}

impl Server {
    /// Starts the server with an empty list.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(addresses: Addresses) -> io::Result<Self> {
        let list = Arc::new(VmList::default());
        let port = Port::open(addresses.listen, list.clone()).await?;
        let admin = Port::open(addresses.admin, Arc::new(AdminHandler(list.clone()))).await?;
        Ok(Self { list, port, admin })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the address of the admin port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Replaces all faults, and the list if `faults` has one.
    pub fn set_faults(&self, faults: Faults) {
        self.list.set_faults(faults);
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

impl Admin for VmList {
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

impl Handler for VmList {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _tamper: Tamper) -> Answer {
        if let Some(answer) = fault::apply_outage(&self.faults).await {
            return answer;
        }
        if request.uri().path() != PATH {
            return Answer::status(StatusCode::NOT_FOUND);
        }
        Answer::json(StatusCode::OK, &json!({ "vms": self.shown() }))
    }
}

impl VmList {
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
