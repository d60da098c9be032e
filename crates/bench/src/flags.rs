//! Command-line arguments of the program.

use clap::{Arg, ArgMatches, Command};
use derive_more::{Display, Error};

use crate::capacity::Part;

/// Checked command-line arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arguments {
    /// Parts to measure, in the order of measurement.
    pub parts: Vec<Part>,
}

/// Error for a value of `--only` that isn't the name of a part.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("--only `{name}`: unknown part, expected one of {known}")]
pub struct UnknownPart {
    name: String,
    known: String,
}

/// Returns the definition of the subcommands and flags.
pub fn command() -> Command {
    let only = Arg::new("only")
        .long("only")
        .value_name("PART")
        .help("Measures only one part")
        .long_help(
            "Measures only the given part instead of all. Parts: membership, codec, spread, \
             shards, home, request, claims, bundle.",
        );
    let capacity = Command::new("capacity")
        .about("Measures how CPU time, memory and traffic grow with the size")
        .long_about(
            "Runs the state machines at several sizes and prints each series with its points and \
             the line fitted to them: slope, intercept and r². docs/CAPACITY.md multiplies \
             the slopes by the counts of the planned deployment. A release build takes less \
             than two minutes.",
        )
        .arg(only);
    Command::new("eelgrassrock-bench")
        .about("Measures the capacity of eelgrassrock")
        .subcommand_required(true)
        .subcommand(capacity)
}

/// Checks the parsed command line. Without `--only`, all parts are measured.
///
/// # Errors
///
/// Returns [`UnknownPart`] if `--only` names a part that doesn't exist.
///
/// ```
/// use eelgrassrock_bench::flags;
///
/// let matches = flags::command().get_matches_from(["bench", "capacity", "--only", "codec"]);
/// assert_eq!(flags::check(&matches)?.parts.len(), 1);
/// # Ok::<(), flags::UnknownPart>(())
/// ```
pub fn check(matches: &ArgMatches) -> Result<Arguments, UnknownPart> {
    let matches = matches.subcommand_matches("capacity");
    let only = matches.and_then(|matches| matches.get_one::<String>("only"));
    let Some(name) = only else {
        return Ok(Arguments {
            parts: Part::ALL.to_vec(),
        });
    };
    let part = Part::ALL.into_iter().find(|part| part.to_string() == *name);
    part.map(|part| Arguments { parts: vec![part] })
        .ok_or_else(|| UnknownPart {
            name: name.clone(),
            known: Part::ALL.map(|part| part.to_string()).join(", "),
        })
}
