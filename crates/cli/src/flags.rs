//! Declaration of the commands, their flags and their help.

use clap::{Arg, ArgAction, Command};

const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  refused, or a check failed; nothing was changed
  2  invalid arguments; nothing was done
  3  unknown: the write may have taken effect; the text names the command to
     find out";

/// Returns the declaration of all commands.
///
/// ```
/// use eelgrassrock_cli::flags;
///
/// flags::command().debug_assert();
/// ```
pub fn command() -> Command {
    Command::new("eelgrassrock")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Checks settings, approves and rolls bundles, and shows the state of routers")
        .long_about(
            "Checks settings, approves and rolls bundles, and shows the state of routers.\n\n\
             A bundle is an INI file that declares the services, upstreams, partners and routes \
             of a deployment. A roll brings it into force once enough approvers have signed it.",
        )
        .after_long_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            settings(),
            bundle(),
            status(),
            replay(),
            explain(),
            completions(),
            man(),
        ])
}

fn settings() -> Command {
    let check = Command::new("check")
        .about("Check a settings file and print the effective settings")
        .long_about(
            "Checks a settings file and prints the effective settings, defaults included. The \
             secret is read from the place that the file names, but never printed. All faults \
             are printed at once, each with file, line, section, key, value and allowed values.",
        )
        .after_long_help(
            "Example:\n  EELGRASSROCK_SECRET=0123456789abcdef \\\n    eelgrassrock settings check \
             examples/first/router.ini",
        )
        .arg(file("FILE", "Settings file"));
    group("settings", "Check the settings of a daemon").subcommand(check)
}

fn bundle() -> Command {
    group("bundle", "Check, compare, approve and roll bundles").subcommands([
        bundle_check(),
        bundle_diff(),
        bundle_keygen(),
        bundle_approve(),
        bundle_roll(),
        bundle_status(),
    ])
}

fn bundle_check() -> Command {
    Command::new("check")
        .about("Check a bundle and print what it declares")
        .long_about(
            "Checks a bundle and prints what it declares. All faults are printed at once, each \
             with file, line, section, key, value and allowed values.",
        )
        .after_long_help("Example:\n  eelgrassrock bundle check examples/umuhanga/bundle.ini")
        .arg(file("FILE", "Bundle file"))
}

fn bundle_diff() -> Command {
    Command::new("diff")
        .about("Show the changes between two bundles")
        .long_about(
            "Shows the changes from bundle OLD to bundle NEW, one per line. Changes that a roll \
             must not make, such as a different number of shards of a service, are marked with \
             `!` and make the command exit with 1.",
        )
        .after_long_help("Example:\n  eelgrassrock bundle diff v1.ini v2.ini")
        .arg(file("OLD", "Old bundle file"))
        .arg(file("NEW", "New bundle file"))
}

fn bundle_keygen() -> Command {
    Command::new("keygen")
        .about("Create the key of an approver")
        .long_about(
            "Creates an Ed25519 key. The private key is written to a new file that only its \
             owner can read. The public key is printed as a line for the `[approver NAME]` \
             section.",
        )
        .after_long_help("Example:\n  eelgrassrock bundle keygen --key-file imena.key")
        .arg(value("key-file", "PATH", "New file for the private key").required(true))
}

fn bundle_approve() -> Command {
    Command::new("approve")
        .about("Sign a bundle as an approver")
        .long_about(
            "Signs the version and digest of a bundle, stores the approval in the table and shows \
             what the bundle changes. Refuses if the approval would not count: approvers and \
             keys are those of the bundle in force, or of the bundle itself if it is the first.",
        )
        .after_long_help(
            "Example:\n  eelgrassrock bundle approve v2.ini --key-file imena.key --approver imena \
             \\\n    --table 10.20.0.2:9000 --objects 10.20.0.3:9000",
        )
        .arg(file("FILE", "Bundle file"))
        .arg(value("key-file", "PATH", "File with the private key").required(true))
        .arg(value("approver", "NAME", "Name of the approver in the bundle").required(true))
        .args(platform())
}

fn bundle_roll() -> Command {
    Command::new("roll")
        .about("Bring an approved bundle into force")
        .long_about(
            "Brings an approved bundle into force. It must replace the version in force, and \
             have the approvals that the bundle in force requires. Of two concurrent rolls \
             exactly one takes effect. The other reports which version is in force and what \
             differs.\n\n\
             If the response of the table is lost, the command reads the row back. If that \
             fails as well, it exits with 3 and names the command to find out.",
        )
        .after_long_help(
            "Example:\n  eelgrassrock bundle roll v2.ini \\\n    --table 10.20.0.2:9000 --objects \
             10.20.0.3:9000",
        )
        .arg(file("FILE", "Bundle file"))
        .args(platform())
}

fn bundle_status() -> Command {
    Command::new("status")
        .about("Show the bundle in force")
        .long_about(
            "Shows the bundle in force and who approved it. With FILE, shows instead whether \
             exactly this bundle has been rolled: exits with 0 if it has, and with 1 if not.",
        )
        .after_long_help(
            "Example:\n  eelgrassrock bundle status --table 10.20.0.2:9000 --objects \
             10.20.0.3:9000",
        )
        .arg(file("FILE", "Bundle file to look up").required(false))
        .arg(json())
        .args(platform())
}

fn status() -> Command {
    Command::new("status")
        .about("Show homes, leases, assignments and queues of a router")
        .long_about(
            "Queries the admin port of a router for its state: homes, leases, assignments, the \
             queue of each upstream and the versions that routers have in force.\n\n\
             The deployment's secret is read from the environment variable EELGRASSROCK_SECRET \
             unless a flag names another source.",
        )
        .after_long_help("Example:\n  eelgrassrock status --admin 10.20.1.5:7402 --json")
        .arg(
            value(
                "admin",
                "ADDRESS",
                "Admin port of the router, such as 10.20.1.5:7402",
            )
            .required(true),
        )
        .arg(
            value("secret-file", "PATH", "File that holds the secret").conflicts_with("secret-env"),
        )
        .arg(value(
            "secret-env",
            "NAME",
            "Environment variable that holds the secret",
        ))
        .arg(json())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explain from the routers' log lines how a request was handled")
        .arg(
            Arg::new("ID")
                .required(true)
                .help("Identifier of the request"),
        )
        .arg(
            Arg::new("LOG")
                .num_args(0..)
                .help("Log files, each of one or more routers [default: standard input]"),
        )
        .after_long_help(
            "Lines may begin with the name of their router, as log collectors write it. Otherwise \
             the name of the file is taken as the name of the router.\n\nExample:\n  \
             eelgrassrock explain 9c41d07be2a35f68 router-1.log router-2.log",
        )
}

fn replay() -> Command {
    Command::new("replay")
        .about("Replay a recorded trace and print its metrics")
        .long_about(
            "Feeds the events of a trace to the decision logic, compares the decisions with those \
             in the trace, and prints imbalance, churn and unavailable time. Exits with 1 if a \
             decision differs or a bound in the trace is exceeded.",
        )
        .after_long_help("Example:\n  eelgrassrock replay testdata/ownership/losses.jsonl")
        .arg(file("TRACE", "File with one JSON object per line"))
        .arg(json())
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print completions for a shell")
        .long_about("Prints completions for a shell.")
        .after_long_help(
            "Example:\n  eelgrassrock completions bash > \
             /etc/bash_completion.d/eelgrassrock",
        )
        .arg(file("SHELL", "bash, elvish, fish, powershell or zsh"))
}

fn man() -> Command {
    Command::new("man")
        .about("Print the manual page")
        .long_about("Prints the manual page in roff.")
        .after_long_help("Example:\n  eelgrassrock man | man -l -")
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name(name).help(help).required(true)
}

fn value(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help)
}

fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print JSON instead of text")
        .action(ArgAction::SetTrue)
}

fn platform() -> [Arg; 2] {
    let table = "Address of the transactional table, such as 10.20.0.2:9000";
    let objects = "Address of the object store, such as 10.20.0.3:9000";
    [
        value("table", "ADDRESS", table).required(true),
        value("objects", "ADDRESS", objects).required(true),
    ]
}
