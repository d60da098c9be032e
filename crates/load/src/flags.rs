//! Command line of the load generator.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::plan::Plan;

/// Error for an invalid argument.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The target isn't a loopback address.
    #[display("--target {_0} is not a loopback address: only this machine may be a target")]
    Target(#[error(not(source))] SocketAddr),
    /// The header isn't of the form `name: value`.
    #[display("--header `{_0}` is not of the form `name: value`")]
    Header(#[error(not(source))] String),
    /// The method isn't a valid HTTP method.
    #[display("--method `{_0}` is not an HTTP method")]
    Method(#[error(not(source))] String),
}

/// Validated arguments.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Requests to send.
    pub plan: Plan,
    /// Whether to print the report as JSON instead of text.
    pub json: bool,
}

/// Returns the definition of the command line for `clap`.
pub fn command() -> Command {
    let with_default = |name, value, default, help| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .default_value(default)
            .help(help)
    };
    Command::new("eelgrassrock-load")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Sends open-loop load to routers or upstreams on this machine")
        .after_long_help(
            "At a given rate, the latency of each request counts from the time at which it \
             was due, so that a stall of the server shows in the latencies.\n\n\
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
                .help("Address to send requests to; several are used in turn"),
        )
        .arg(
            with_default(
                "rate",
                "N",
                "100",
                "Requests per second; 0 sends the next request after each answer",
            )
            .value_parser(value_parser!(f64)),
        )
        .arg(
            with_default("seconds", "N", "5", "Duration of the run, in seconds")
                .value_parser(value_parser!(u64).range(1..=600)),
        )
        .arg(
            with_default(
                "connections",
                "N",
                "1",
                "Number of connections, only used if the rate is 0",
            )
            .value_parser(value_parser!(u64).range(1..=1_000)),
        )
        .arg(
            with_default("keys", "N", "1", "Number of different keys")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            with_default(
                "deadline-ms",
                "N",
                "1000",
                "Latency up to which an answer counts as in time, in ms",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(
            with_default("seed", "N", "0", "Seed of the random keys and send times")
                .value_parser(value_parser!(u64)),
        )
        .arg(with_default("method", "METHOD", "GET", "HTTP method"))
        .arg(with_default(
            "path",
            "PATH",
            "/",
            "Path of the requests; `{n}` is replaced by the number of a random key",
        ))
        .arg(
            Arg::new("header")
                .long("header")
                .value_name("NAME: VALUE")
                .action(ArgAction::Append)
                .help("Header field to add to each request"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON"),
        )
}

impl Arguments {
    /// Validates the parsed arguments.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] that names the invalid argument.
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
        if let Some(remote) = targets.iter().find(|target| !target.ip().is_loopback()) {
            return Err(Fault::Target(*remote));
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
