//! Client of the platform's list of VMs. The list may lag behind the actual state of the VMs.

use std::net::SocketAddr;

use eelgrassrock_model::{DataCentre, Router, Upstream};
use http::StatusCode;
use indexmap::IndexSet;

use crate::endpoint::{Call, Endpoint};
use crate::settings::Settings;
use crate::{Fault, Kind, wire};

const PATH: &str = "/v1/vms";

/// Entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Router or upstream that runs on the VM.
    pub role: Role,
    /// IP address and port of the router or upstream.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Whether the VM is in service or about to be removed.
    pub state: State,
}

/// Process that runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// A router of this deployment.
    Router(Router),
    /// A server that holds keys and is reached through the routers.
    Upstream(Upstream),
}

/// Whether a VM is in service or about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// Client of the list of VMs.
///
/// ```
/// use eelgrassrock_store::settings::Settings;
/// use eelgrassrock_store::vms::Client;
///
/// # async fn example() -> Result<(), eelgrassrock_store::Fault> {
/// let client = Client::new(([127, 0, 0, 1], 7003).into(), Settings::default());
/// for vm in client.list().await? {
///     println!("{:?} at {}", vm.role, vm.address);
/// }
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client. It connects when the first call is made.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        let endpoint = Endpoint::new(address, settings);
        Self { endpoint }
    }

    /// Returns all VMs that the platform lists at present.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Malformed`] for the whole list if one entry can't be
    /// parsed or two entries have the same name and kind, and any other
    /// [`Fault`] if the call failed.
    pub async fn list(&self) -> Result<Vec<Vm>, Fault> {
        let call = Call::get(PATH);
        let answer = self.endpoint.call(&call).await?;
        let result = match answer.status {
            StatusCode::OK => parse(&answer.body),
            _ => Err(answer.refusal()),
        };
        result.map_err(|kind| self.endpoint.fault(&call, kind))
    }
}

fn parse(body: &[u8]) -> Result<Vec<Vm>, Kind> {
    let list: wire::VmList = wire::parse(body)?;
    let vms: Vec<Vm> = list
        .vms
        .into_iter()
        .map(Vm::try_from)
        .collect::<Result<_, _>>()?;
    let mut seen = IndexSet::new();
    for vm in &vms {
        if !seen.insert(&vm.role) {
            return Err(Kind::malformed(format!("{:?} is listed twice", vm.role)));
        }
    }
    Ok(vms)
}
