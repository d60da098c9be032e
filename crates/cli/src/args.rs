//! Validated arguments of the commands.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;
use clap_complete::Shell;
use derive_more::{Display, Error};
use eelgrassrock_config::secret::Source;
use eelgrassrock_model::Approver;

const SECRET_VARIABLE: &str = "EELGRASSROCK_SECRET";

/// Command with its validated arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arguments {
    /// `settings check`
    SettingsCheck {
        /// Settings file.
        file: PathBuf,
    },
    /// `bundle check`
    BundleCheck {
        /// Bundle file.
        file: PathBuf,
    },
    /// `bundle diff`
    BundleDiff {
        /// File of the old bundle.
        old: PathBuf,
        /// File of the new bundle.
        new: PathBuf,
    },
    /// `bundle keygen`
    BundleKeygen {
        /// File to create for the private key.
        key_file: PathBuf,
    },
    /// `bundle approve`
    BundleApprove(Approve),
    /// `bundle roll`
    BundleRoll {
        /// Bundle file.
        file: PathBuf,
        /// Addresses of the platform's services.
        platform: Platform,
    },
    /// `bundle status`
    BundleStatus(BundleStatus),
    /// `status`
    Status(Status),
    /// `replay`
    Replay {
        /// File with the recorded trace.
        trace: PathBuf,
        /// Whether to print JSON.
        json: bool,
    },
    /// `explain`
    Explain {
        /// Identifier of the request.
        id: String,
        /// Log files; standard input if there are none.
        files: Vec<PathBuf>,
    },
    /// `completions`
    Completions {
        /// Shell to print completions for.
        shell: Shell,
    },
    /// `man`
    Man,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("--table {table} --objects {objects}")]
pub struct Platform {
    /// Transactional table.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
}

/// Arguments of `bundle approve`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Approve {
    /// Bundle file.
    pub file: PathBuf,
    /// File with the private key.
    pub key_file: PathBuf,
    /// Name of the approver who signs.
    pub approver: Approver,
    /// Addresses of the platform's services.
    pub platform: Platform,
}

/// Arguments of `bundle status`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleStatus {
    /// Bundle file to look up. `None` asks for the bundle in force.
    pub file: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// Addresses of the platform's services.
    pub platform: Platform,
}

/// Arguments of `status`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Address of the admin port of the router.
    pub admin: SocketAddr,
    /// Source of the deployment's secret.
    pub secret: Source,
    /// Whether to print JSON.
    pub json: bool,
}

/// Argument with a value that isn't allowed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{flag} `{value}` is not allowed; allowed: {allowed}")]
pub struct InvalidArgument {
    /// Flag, or name of the positional argument.
    pub flag: &'static str,
    /// Value from the command line.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: &'static str,
}

impl TryFrom<&ArgMatches> for Arguments {
    type Error = InvalidArgument;

    fn try_from(matches: &ArgMatches) -> Result<Self, InvalidArgument> {
        match matches.subcommand() {
            Some(("settings", group)) => Ok(settings(subcommand(group).1)),
            Some(("bundle", group)) => bundle(group),
            Some(("status", matches)) => status(matches),
            Some(("replay", matches)) => Ok(Self::Replay {
                trace: path(matches, "TRACE"),
                json: matches.get_flag("json"),
            }),
            Some(("explain", matches)) => Ok(Self::Explain {
                id: required(matches, "ID").to_owned(),
                files: matches
                    .get_many::<String>("LOG")
                    .map(|files| files.map(PathBuf::from).collect())
                    .unwrap_or_default(),
            }),
            Some(("completions", matches)) => completions(matches),
            _ => Ok(Self::Man),
        }
    }
}

/// Returns the subcommand of a group. The declaration in [`crate::flags`] requires one.
fn subcommand(group: &ArgMatches) -> (&str, &ArgMatches) {
    group
        .subcommand()
        .expect("clap requires a subcommand in each group")
}

fn settings(matches: &ArgMatches) -> Arguments {
    Arguments::SettingsCheck {
        file: path(matches, "FILE"),
    }
}

fn bundle(group: &ArgMatches) -> Result<Arguments, InvalidArgument> {
    let (name, matches) = subcommand(group);
    match name {
        "check" => Ok(Arguments::BundleCheck {
            file: path(matches, "FILE"),
        }),
        "diff" => Ok(Arguments::BundleDiff {
            old: path(matches, "OLD"),
            new: path(matches, "NEW"),
        }),
        "keygen" => Ok(Arguments::BundleKeygen {
            key_file: path(matches, "key-file"),
        }),
        "approve" => approve(matches),
        "roll" => Ok(Arguments::BundleRoll {
            file: path(matches, "FILE"),
            platform: platform(matches)?,
        }),
        _ => Ok(Arguments::BundleStatus(BundleStatus {
            file: text(matches, "FILE").map(PathBuf::from),
            json: matches.get_flag("json"),
            platform: platform(matches)?,
        })),
    }
}

fn approve(matches: &ArgMatches) -> Result<Arguments, InvalidArgument> {
    let name = required(matches, "approver");
    let approver = name.parse().map_err(|_| InvalidArgument {
        flag: "--approver",
        value: name.to_owned(),
        allowed: "a name of 1 to 63 characters made of a-z, 0-9 and `-`",
    })?;
    Ok(Arguments::BundleApprove(Approve {
        file: path(matches, "FILE"),
        key_file: path(matches, "key-file"),
        approver,
        platform: platform(matches)?,
    }))
}

fn status(matches: &ArgMatches) -> Result<Arguments, InvalidArgument> {
    let file = text(matches, "secret-file").map(|path| Source::File(path.to_owned()));
    let variable = text(matches, "secret-env").unwrap_or(SECRET_VARIABLE);
    Ok(Arguments::Status(Status {
        admin: address(matches, "admin", "--admin")?,
        secret: file.unwrap_or_else(|| Source::Variable(variable.to_owned())),
        json: matches.get_flag("json"),
    }))
}

fn completions(matches: &ArgMatches) -> Result<Arguments, InvalidArgument> {
    let name = required(matches, "SHELL");
    let shell = name.parse().map_err(|_| InvalidArgument {
        flag: "SHELL",
        value: name.to_owned(),
        allowed: "bash, elvish, fish, powershell or zsh",
    })?;
    Ok(Arguments::Completions { shell })
}

fn platform(matches: &ArgMatches) -> Result<Platform, InvalidArgument> {
    Ok(Platform {
        table: address(matches, "table", "--table")?,
        objects: address(matches, "objects", "--objects")?,
    })
}

fn address(
    matches: &ArgMatches,
    id: &str,
    flag: &'static str,
) -> Result<SocketAddr, InvalidArgument> {
    let value = required(matches, id);
    value.parse().map_err(|_| InvalidArgument {
        flag,
        value: value.to_owned(),
        allowed: "an IP address and a port, such as `10.20.0.2:9000`",
    })
}

fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    PathBuf::from(required(matches, id))
}

fn required<'a>(matches: &'a ArgMatches, id: &str) -> &'a str {
    text(matches, id).expect("clap requires the argument")
}

fn text<'a>(matches: &'a ArgMatches, id: &str) -> Option<&'a str> {
    matches.get_one::<String>(id).map(String::as_str)
}
