//! Command `eelgrassrock-load`: generates load and prints a report.

use std::process::ExitCode;

use eelgrassrock_load::flags::{Arguments, command};

/// Exit code for invalid arguments.
const USAGE_ERROR: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match Arguments::check(&command().get_matches()) {
        Ok(arguments) => arguments,
        Err(fault) => {
            eprintln!("eelgrassrock-load: {fault}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    let report = eelgrassrock_load::run(&arguments.plan).await;
    if arguments.json {
        println!(
            "{}",
            serde_json::to_string(&report).expect("a report is always valid JSON")
        );
    } else {
        println!("{report}");
    }
    ExitCode::SUCCESS
}
