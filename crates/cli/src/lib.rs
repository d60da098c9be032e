//! The operator's command line.
//!
//! Arguments are read in two steps: [`flags`] declares the flags and their help,
//! and [`args`] converts them into validated [`args::Arguments`]. [`run`] executes
//! the command and returns an [`output::Output`] instead of printing, so that
//! tests can check the text that an operator sees.

pub mod args;
mod bundle;
mod explain;
pub mod flags;
pub mod output;
mod replay;
mod settings;
mod shell;
mod status;
pub mod store;

use std::ffi::OsString;

use args::Arguments;
use output::Output;

/// Executes the command line `words`, which starts with the name of the program.
///
/// ```
/// use eelgrassrock_cli::output::Exit;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let output = eelgrassrock_cli::run(["eelgrassrock", "bundle", "check", "none.ini"]).await;
/// assert_eq!(output.exit, Exit::Refused);
/// assert!(output.stderr.contains("none.ini"));
/// # }
/// ```
pub async fn run<I>(words: I) -> Output
where
    I: IntoIterator,
    I::Item: Into<OsString> + Clone,
{
    let matches = match flags::command().try_get_matches_from(words) {
        Ok(matches) => matches,
        Err(error) => return Output::from(&error),
    };
    match Arguments::try_from(&matches) {
        Ok(arguments) => execute(arguments).await,
        Err(invalid) => Output::usage(&invalid),
    }
}

async fn execute(arguments: Arguments) -> Output {
    match arguments {
        Arguments::SettingsCheck { file } => settings::check(&file),
        Arguments::BundleCheck { file } => bundle::check::check(&file),
        Arguments::BundleDiff { old, new } => bundle::check::diff(&old, &new),
        Arguments::BundleKeygen { key_file } => bundle::keygen::keygen(&key_file),
        Arguments::BundleApprove(approve) => bundle::approve::approve(&approve).await,
        Arguments::BundleRoll { file, platform } => bundle::roll::roll(&file, &platform).await,
        Arguments::BundleStatus(status) => bundle::status::status(&status).await,
        Arguments::Status(status) => status::status(&status).await,
        Arguments::Replay { trace, json } => replay::replay(&trace, json),
        Arguments::Explain { id, files } => explain::explain(&id, &files),
        Arguments::Completions { shell } => shell::completions(shell),
        Arguments::Man => shell::man(),
    }
}
