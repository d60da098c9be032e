//! Stand-in for the list of VMs of the platform.

use std::process::ExitCode;

use eelgrassrock_standin::vms::Server;
use eelgrassrock_standin::{Addresses, args};

#[tokio::main]
async fn main() -> ExitCode {
    let command = args::command("standin-vms", "Stand-in for the list of VMs");
    let addresses = args::addresses(&command.get_matches());
    args::serve(Server::start(addresses).await, bound_addresses).await
}

fn bound_addresses(server: &Server) -> Addresses {
    Addresses {
        listen: server.address(),
        admin: server.admin_address(),
    }
}
