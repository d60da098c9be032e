//! The platform's list of VMs, which lags behind the truth.

use std::net::SocketAddr;

use eelgrassrock_model::{DataCentre, Router, Upstream};
use http::StatusCode;
use indexmap::IndexSet;

use crate::endpoint::{Call, Endpoint};
use crate::settings::Settings;
use crate::{Fault, Kind, wire};

const PATH: &str = "/v1/vms";

/// VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// What runs on it.
    pub role: Role,
    /// Address by IP number.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Whether it is about to go.
    pub state: State,
}

/// What runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// A daemon of ours.
    Router(Router),
    /// A server that holds keys.
    Upstream(Upstream),
}

/// Whether a VM is about to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// In service.
    Live,
    /// About to go.
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
    /// An entry that can't be read, or two entries of one name and kind, make
    /// the whole list unusable.
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
