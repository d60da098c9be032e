//! Entry point of `eelgrassrock`, the operator's command.

use std::io::{Write, stderr, stdout};
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let output = eelgrassrock_cli::run(std::env::args_os()).await;
    // A reader that closes the pipe early, such as `head`, doesn't change the exit code.
    let _ = stdout().write_all(output.stdout.as_bytes());
    let _ = stderr().write_all(output.stderr.as_bytes());
    ExitCode::from(output.exit.code())
}
