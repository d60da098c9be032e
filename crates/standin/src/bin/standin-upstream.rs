//! Stand-in for an upstream.

use std::process::ExitCode;

use eelgrassrock_standin::upstream::Server;
use eelgrassrock_standin::{Addresses, args};

#[tokio::main]
async fn main() -> ExitCode {
    let matches = args::upstream_command().get_matches();
    let config = args::upstream_config(&matches);
    let addresses = args::addresses(&matches);
    args::serve(Server::start(config, addresses).await, bound_addresses).await
}

fn bound_addresses(server: &Server) -> Addresses {
    Addresses {
        listen: server.address(),
        admin: server.admin_address(),
    }
}
