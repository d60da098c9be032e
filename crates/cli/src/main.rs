//! `eelgrassrock`, the operator's command.

use std::io::{Write, stderr, stdout};
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let answer = eelgrassrock_cli::run(std::env::args_os()).await;
    // A reader that went away, such as `head`, doesn't change the outcome.
    let _ = stdout().write_all(answer.out.as_bytes());
    let _ = stderr().write_all(answer.err.as_bytes());
    ExitCode::from(answer.exit.code())
}
