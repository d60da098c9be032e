//! Command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

/// Checked arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flags {
    /// File with the settings.
    pub settings: PathBuf,
}

/// Returns the description of the command line.
pub fn command() -> Command {
    Command::new("eelgrassrockd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Router for servers that hold keys exclusively")
        .long_about(
            "Router for servers that hold keys exclusively.\n\n\
             The daemon runs on every entry VM. It reads its settings from one INI file \
             and everything else from the platform and the other routers. \
             `eelgrassrock settings check FILE` shows what is wrong with a file.\n\n\
             SIGTERM or SIGINT stops it gracefully: it hands over what it holds and lets \
             all requests end, for as long as `[drain] limit` allows. A second signal \
             stops it at once.",
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
    /// Reads the command line of the process. Prints help or an error and ends
    /// the process if it can't be used.
    pub fn read() -> Self {
        let matches = command().get_matches();
        let settings = matches.get_one::<PathBuf>("settings");
        Self {
            settings: settings.expect("the argument is required").clone(),
        }
    }
}
