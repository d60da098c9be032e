//! Command-line arguments of the soak binary.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::plan::{Earlier, Mix, Plan};

/// Parsed arguments.
#[derive(Clone, Debug)]
pub struct Arguments {
    /// Size and duration of each run.
    pub plan: Plan,
    /// Seeds to run.
    pub seeds: RangeInclusive<u64>,
    /// Number of runs at the same time.
    pub parallel: usize,
}

/// Returns the clap command with all arguments.
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
        .about(
            "Runs routers as processes under faults, and checks what callers and upstreams observe",
        )
        .after_help(
            "Each seed prints one line. A failed seed also prints its faults and violations, and \
             keeps the routers' logs. Exit code: 0 if no guarantee was violated, 1 if one was or \
             the run failed, 2 for invalid arguments.",
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("A..B")
                .default_value("1..1")
                .value_parser(seeds)
                .help("Seeds to run, both ends included; one number runs one seed"),
        )
        .arg(number(
            "seconds",
            "20",
            "Seconds of each run during which faults are injected",
        ))
        .arg(
            number(
                "routers",
                "4",
                "Number of router processes of each run, at most 250",
            )
            .value_parser(value_parser!(u64).range(1..=250)),
        )
        .arg(
            number(
                "upstreams",
                "12",
                "Number of upstreams of each run, at least 6 so that each service has some",
            )
            .value_parser(value_parser!(u64).range(6..)),
        )
        .arg(number("callers", "10", "Number of callers of each router"))
        .arg(number("parallel", "1", "Number of runs at the same time"))
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("PATH")
                .value_parser(value_parser!(PathBuf))
                .help("Router binary [default: eelgrassrock-edge in the folder of this binary]"),
        )
        .arg(
            Arg::new("earlier")
                .long("earlier")
                .value_name("PATH")
                .value_parser(value_parser!(PathBuf))
                .help("Router binary of an earlier version, drawn at random for each start"),
        )
        .arg(
            Arg::new("upgrade")
                .long("upgrade")
                .action(ArgAction::SetTrue)
                .requires("earlier")
                .help("Uses the earlier version for the first start of each router only"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for the routers' logs [default: a temporary folder]"),
        )
}

/// Parses `A..B`, both ends included, or one number.
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
    /// Builds the arguments from clap's matches.
    ///
    /// # Errors
    ///
    /// Returns a message if the router binary isn't found.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, String> {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
        let path = |name: &str| matches.get_one::<PathBuf>(name).cloned();
        let program = path("program").or_else(default_program);
        let program = program
            .ok_or("the folder of this binary is unknown; set the router binary with --program")?;
        check_exists(&program, "--program")?;
        let mix = if matches.get_flag("upgrade") {
            Mix::First
        } else {
            Mix::Any
        };
        let earlier = path("earlier").map(|program| Earlier { program, mix });
        if let Some(earlier) = &earlier {
            check_exists(&earlier.program, "--earlier")?;
        }
        let seeds = matches.get_one::<RangeInclusive<u64>>("seeds").cloned();
        let logs = path("logs")
            .unwrap_or_else(|| std::env::temp_dir().join(format!("soak-{}", std::process::id())));
        Ok(Self {
            plan: Plan {
                program,
                earlier,
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

fn check_exists(program: &Path, option: &str) -> Result<(), String> {
    if program.exists() {
        return Ok(());
    }
    let program = program.display();
    Err(format!(
        "the router binary `{program}` doesn't exist; build it or set it with {option}"
    ))
}

/// Returns the path of `eelgrassrock-edge` in the folder of this binary.
fn default_program() -> Option<PathBuf> {
    Some(
        std::env::current_exe()
            .ok()?
            .with_file_name("eelgrassrock-edge"),
    )
}
