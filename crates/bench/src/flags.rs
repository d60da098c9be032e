//! Command line of the measurements.

use clap::{Arg, ArgMatches, Command};
use derive_more::{Display, Error};

use crate::capacity::Part;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Parts to measure, in order.
    pub parts: Vec<Part>,
}

/// Command line that asks for something that doesn't exist.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("--only `{name}`: there is no such part; use one of {known}")]
pub struct Fault {
    name: String,
    known: String,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let only = Arg::new("only")
        .long("only")
        .value_name("PART")
        .help("Measures one part")
        .long_help(
            "Measures one part in place of all. Parts: membership, codec, spread, shards, \
             home, request, claims, bundle.",
        );
    let capacity = Command::new("capacity")
        .about("Measures slopes of processor time, memory and traffic")
        .long_about(
            "Drives the decisions at several sizes and prints for each series its points and \
             the line through them: slope, intercept and r². docs/CAPACITY.md multiplies the \
             slopes by the counts of the size ahead. Takes less than two minutes in release.",
        )
        .arg(only);
    Command::new("eelgrassrock-bench")
        .about("Measures eelgrassrock")
        .subcommand_required(true)
        .subcommand(capacity)
}

/// Checks the raw flags.
///
/// # Errors
///
/// Returns [`Fault`] for the name of an unknown part.
///
/// ```
/// use eelgrassrock_bench::flags;
///
/// let raw = flags::command().get_matches_from(["bench", "capacity", "--only", "codec"]);
/// assert_eq!(flags::check(&raw)?.parts.len(), 1);
/// # Ok::<(), flags::Fault>(())
/// ```
pub fn check(raw: &ArgMatches) -> Result<Job, Fault> {
    let raw = raw.subcommand_matches("capacity");
    let only = raw.and_then(|raw| raw.get_one::<String>("only"));
    let Some(name) = only else {
        return Ok(Job {
            parts: Part::ALL.to_vec(),
        });
    };
    let part = Part::ALL.into_iter().find(|part| part.to_string() == *name);
    part.map(|part| Job { parts: vec![part] })
        .ok_or_else(|| Fault {
            name: name.clone(),
            known: Part::ALL.map(|part| part.to_string()).join(", "),
        })
}
