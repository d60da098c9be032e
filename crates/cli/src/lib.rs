//! The operator's command line.
//!
//! Arguments are read in two layers: [`flags`] declares the raw flags and their
//! help, [`args`] turns them into checked [`args::Arguments`]. [`run`] carries
//! them out and returns an [`answer::Answer`] instead of printing, so that
//! tests see what an operator sees.

pub mod answer;
pub mod args;
mod bundle;
mod explain;
pub mod flags;
mod replay;
mod settings;
mod shell;
mod status;
pub mod store;

use std::ffi::OsString;

use answer::Answer;
use args::Arguments;

/// Carries out the command that `words` give, the program's name first.
///
/// ```
/// use eelgrassrock_cli::answer::Exit;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let answer = eelgrassrock_cli::run(["eelgrassrock", "bundle", "check", "none.ini"]).await;
/// assert_eq!(answer.exit, Exit::Refused);
/// assert!(answer.err.contains("none.ini"));
/// # }
/// ```
pub async fn run<I>(words: I) -> Answer
where
    I: IntoIterator,
    I::Item: Into<OsString> + Clone,
{
    let matches = match flags::command().try_get_matches_from(words) {
        Ok(matches) => matches,
        Err(error) => return Answer::from(&error),
    };
    match Arguments::try_from(&matches) {
        Ok(arguments) => execute(arguments).await,
        Err(usage) => Answer::usage(&usage),
    }
}

async fn execute(arguments: Arguments) -> Answer {
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
