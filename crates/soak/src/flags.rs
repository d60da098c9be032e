//! Arguments of the program.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::plan::Plan;

/// What the arguments ask for.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Size and length of each run.
    pub plan: Plan,
    /// Seeds to play.
    pub seeds: RangeInclusive<u64>,
    /// Runs at the same time.
    pub parallel: usize,
}

/// Describes the arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..))
            .help(help)
    };
    Command::new("eelgrassrock-soak")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs routers as processes under faults, and checks what callers and upstreams see")
        .after_help(
            "Each seed prints a line; a failed one prints its faults and what was broken, and keeps \
             the routers' lines. Exit code: 0 if no promise was broken, 1 if one was, 2 for \
             arguments that can't be used.",
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("A..B")
                .default_value("1..1")
                .value_parser(seeds)
                .help("Plays these seeds, both ends included; one number plays one seed"),
        )
        .arg(number("seconds", "20", "Seconds of each run in which faults come"))
        .arg(
            number("routers", "4", "Routers of each run, each a process, at most 250")
                .value_parser(value_parser!(u64).range(1..=250)),
        )
        .arg(
            number("upstreams", "12", "Upstreams of each run, at least 6: each service has some")
                .value_parser(value_parser!(u64).range(6..)),
        )
        .arg(number("callers", "10", "Callers of each router"))
        .arg(number("parallel", "1", "Runs at the same time"))
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("PATH")
                .value_parser(value_parser!(PathBuf))
                .help("The router's program [default: eelgrassrock-edge beside this one]"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Keeps the routers' lines here [default: a folder for temporary files]"),
        )
}

/// Reads `A..B`, both ends included, or one number.
fn seeds(text: &str) -> Result<RangeInclusive<u64>, String> {
    let number = |text: &str| {
        let parsed = text.parse::<u64>();
        parsed.map_err(|_| format!("`{text}` is not a number; expected A..B or one number"))
    };
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let (first, last) = (number(first)?, number(last)?);
    if last < first {
        return Err(format!(
            "{last} is below {first}; expected A..B with A first"
        ));
    }
    Ok(first..=last)
}

impl Arguments {
    /// Reads the arguments.
    ///
    /// # Errors
    ///
    /// Returns what is missing and how to name it.
    pub fn check(matches: &ArgMatches) -> Result<Self, String> {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
        let path = |name: &str| matches.get_one::<PathBuf>(name).cloned();
        let program = path("program").or_else(beside);
        let program = program
            .ok_or("this program's own folder is not known; name the router by --program")?;
        if !program.exists() {
            let program = program.display();
            return Err(format!(
                "the router's program `{program}` doesn't exist; build it or name it by --program"
            ));
        }
        let seeds = matches.get_one::<RangeInclusive<u64>>("seeds").cloned();
        let logs = path("logs")
            .unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
        Ok(Self {
            plan: Plan {
                program,
                routers: number("routers") as usize,
                upstreams: number("upstreams") as usize,
                callers: number("callers") as usize,
                length: Duration::from_secs(number("seconds")),
                logs,
            },
            seeds: seeds.unwrap_or(1..=1),
            parallel: number("parallel") as usize,
        })
    }
}

fn beside() -> Option<PathBuf> {
    Some(
        std::env::current_exe()
            .ok()?
            .with_file_name("eelgrassrock-edge"),
    )
}
