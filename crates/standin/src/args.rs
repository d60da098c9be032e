//! Command-line arguments of the stand-in binaries.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::Addresses;
use crate::upstream::Config;

/// Returns the command with the `--listen` and `--admin` arguments of all stand-ins.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(address(
            "listen",
            "Address to serve on; port 0 takes a free port",
        ))
        .arg(address(
            "admin",
            "Address of the admin port, where faults are set; port 0 takes a free port",
        ))
}

/// Returns the command of the upstream stand-in, with its own arguments added.
pub fn upstream_command() -> Command {
    command("standin-upstream", "Stand-in for an upstream")
        .arg(
            Arg::new("name")
                .long("name")
                .required(true)
                .help("Name that the upstream puts into its answers"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .default_value("2")
                .value_parser(value_parser!(u16).range(1..))
                .help("Number of requests that run at the same time"),
        )
        .arg(flag(
            "checks-orders",
            "Refuse orders older than the last one, by term and sequence",
        ))
        .arg(flag(
            "checks-idempotency",
            "Run a request with an Idempotency-Key at most once",
        ))
}

/// Returns the addresses to listen on from parsed arguments.
pub fn addresses(matches: &ArgMatches) -> Addresses {
    let address = |name| {
        *matches
            .get_one::<SocketAddr>(name)
            .expect("the argument has a default")
    };
    Addresses {
        listen: address("listen"),
        admin: address("admin"),
    }
}

/// Returns the upstream's configuration from parsed arguments.
pub fn upstream_config(matches: &ArgMatches) -> Config {
    let name = matches
        .get_one::<String>("name")
        .expect("the argument is required");
    let slots = matches
        .get_one::<u16>("slots")
        .expect("the argument has a default");
    Config {
        name: name.clone(),
        slots: usize::from(*slots),
        checks_orders: matches.get_flag("checks-orders"),
        checks_idempotency: matches.get_flag("checks-idempotency"),
    }
}

/// Prints the addresses of a started server and keeps it running forever.
///
/// If the server failed to start, prints the error and returns a failure code.
pub async fn serve<S>(server: std::io::Result<S>, addresses: fn(&S) -> Addresses) -> ExitCode {
    match server {
        Ok(server) => {
            print_addresses(addresses(&server));
            std::future::pending::<()>().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: failed to start listening: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print_addresses(addresses: Addresses) {
    let mut out = std::io::stdout().lock();
    let lines = format!(
        "listening on {}\nadmin on {}\n",
        addresses.listen, addresses.admin
    );
    // A closed stdout is not an error: nobody is reading the addresses.
    let _ = out.write_all(lines.as_bytes()).and_then(|()| out.flush());
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}
