//! Command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// Parsed command line arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flags {
    /// Path of the INI file with the settings.
    pub settings: PathBuf,
}

/// Returns the clap definition of the command line.
pub fn command() -> Command {
    Command::new("eelgrassrockd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Router for servers that hold keys exclusively")
        .long_about(
            "Router for servers that hold keys exclusively.\n\n\
             The daemon runs on every entry VM. It reads its settings from one INI file \
             and everything else from the platform and the other routers. \
             `eelgrassrock settings check FILE` shows what is wrong with a file.\n\n\
             SIGTERM or SIGINT stops it gracefully: it hands its upstreams over to other \
             routers and waits until all requests are complete, at most for `[drain] limit`. \
             A second signal stops it immediately.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("INI file with the settings of this daemon"),
        )
}

impl Flags {
    /// Parses the command line of the process. Prints help, the version or an error and
    /// exits the process if it was asked for or the arguments are invalid.
    pub fn read() -> Self {
        let matches = command().get_matches();
        let settings = matches.get_one::<PathBuf>("settings");
        Self {
            settings: settings.expect("the argument is required").clone(),
        }
    }
}
