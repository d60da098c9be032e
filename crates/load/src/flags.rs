//! Command line of the load generator.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::plan::Plan;

/// Error for an argument that can't be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// A target that isn't on this machine.
    #[display("--target {_0} is not a loopback address: this tool loads this machine only")]
    Target(#[error(not(source))] SocketAddr),
    /// A header that can't be read.
    #[display("--header `{_0}` is not of the form `name: value`")]
    Header(#[error(not(source))] String),
    /// A method that can't be read.
    #[display("--method `{_0}` is not an HTTP method")]
    Method(#[error(not(source))] String),
}

/// Checked arguments.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// What is sent.
    pub plan: Plan,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

/// Returns the description of the command line.
pub fn command() -> Command {
    let number = |name, value, default, help| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .default_value(default)
            .help(help)
    };
    Command::new("eelgrassrock-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Sends an open load to routers or upstreams on this machine")
        .after_long_help(
            "Each request has a time at which it is due, and its latency counts from that \
             time, so that a server that stalls doesn't hide its stall.\n\n\
             Example:\n  eelgrassrock-load --target 127.0.0.1:8080 --rate 500 --seconds 10 \
             --path '/sheets/key-{n}' --keys 1000 --header 'authorization: Bearer C'",
        )
        .arg(
            Arg::new("target")
                .long("target")
                .value_name("IP:PORT")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address to send to; several are used in turn"),
        )
        .arg(
            number(
                "rate",
                "N",
                "100",
                "Requests per second, 0 for as many as are answered",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            number("seconds", "N", "5", "Time for which requests are sent")
                .value_parser(value_parser!(u64).range(1..=600)),
        )
        .arg(
            number("connections", "N", "1", "Connections if the rate is 0")
                .value_parser(value_parser!(u64).range(1..=1_000)),
        )
        .arg(number("keys", "N", "1", "Number of keys").value_parser(value_parser!(u64).range(1..)))
        .arg(
            number(
                "deadline-ms",
                "N",
                "1000",
                "Time after which an answer counts as late",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(number("seed", "N", "0", "Seed of keys and times").value_parser(value_parser!(u64)))
        .arg(number("method", "METHOD", "GET", "HTTP method"))
        .arg(number(
            "path",
            "PATH",
            "/",
            "Path; `{n}` is replaced by the number of the key",
        ))
        .arg(
            Arg::new("header")
                .long("header")
                .value_name("NAME: VALUE")
                .action(ArgAction::Append)
                .help("Header of each request"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}

impl Arguments {
    /// Checks what was parsed.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] that names the argument.
    pub fn check(matches: &ArgMatches) -> Result<Self, Fault> {
        let count = |name| {
            *matches
                .get_one::<u64>(name)
                .expect("the argument has a default")
        };
        let text = |name| {
            matches
                .get_one::<String>(name)
                .expect("the argument has a default")
        };
        let targets = matches
            .get_many("target")
            .expect("the argument is required");
        let targets: Vec<SocketAddr> = targets.copied().collect();
        if let Some(foreign) = targets.iter().find(|target| !target.ip().is_loopback()) {
            return Err(Fault::Target(*foreign));
        }
        let method = text("method");
        let plan = Plan {
            targets,
            rate: *matches
                .get_one::<f64>("rate")
                .expect("the argument has a default"),
            duration: Duration::from_secs(count("seconds")),
            connections: usize::try_from(count("connections")).unwrap_or(1),
            method: method
                .parse::<Method>()
                .map_err(|_| Fault::Method(method.clone()))?,
            path: text("path").clone(),
            keys: count("keys"),
            headers: headers(matches)?,
            deadline: Duration::from_millis(count("deadline-ms")),
            seed: count("seed"),
        };
        Ok(Self {
            plan,
            json: matches.get_flag("json"),
        })
    }
}

fn headers(matches: &ArgMatches) -> Result<HeaderMap, Fault> {
    let mut headers = HeaderMap::new();
    for text in matches.get_many::<String>("header").into_iter().flatten() {
        let fault = || Fault::Header(text.clone());
        let (name, value) = text.split_once(':').ok_or_else(fault)?;
        let name: HeaderName = name.trim().parse().map_err(|_| fault())?;
        let value = HeaderValue::from_str(value.trim()).map_err(|_| fault())?;
        headers.append(name, value);
    }
    Ok(headers)
}
