//! Stand-in for the transactional table of the platform.

use std::process::ExitCode;

use eelgrassrock_standin::table::Server;
use eelgrassrock_standin::{Addresses, args};

#[tokio::main]
async fn main() -> ExitCode {
    let command = args::command("standin-table", "Stand-in for the transactional table");
    let addresses = args::addresses(&command.get_matches());
    args::serve(Server::start(addresses).await, bound_addresses).await
}

fn bound_addresses(server: &Server) -> Addresses {
    Addresses {
        listen: server.address(),
        admin: server.admin_address(),
    }
}
