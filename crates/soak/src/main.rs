//! The `eelgrassrock-soak` binary: runs a range of seeds and reports violations.

use std::io;
use std::process::ExitCode;

use eelgrassrock_soak::flags::{Arguments, command};
use eelgrassrock_soak::run::{Report, execute};
use eelgrassrock_soak::schedule::draw;
use tokio::signal::ctrl_c;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

/// Exit code for invalid arguments.
const USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = match Arguments::from_matches(&command().get_matches()) {
        Ok(arguments) => arguments,
        Err(fault) => {
            eprintln!("eelgrassrock-soak: {fault}");
            return ExitCode::from(USAGE);
        }
    };
    let done = tokio::select! {
        done = run(arguments) => done,
        // Dropping the runs kills the routers that they started.
        stopped = stop_requested() => Err(stopped),
    };
    match done {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            println!("{failed} seeds failed");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("eelgrassrock-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT, and returns the error to exit with.
async fn stop_requested() -> io::Error {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => return error,
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = ctrl_c() => {}
    }
    io::Error::other("stopped by a signal before all seeds were run")
}

/// Runs all seeds and returns the number of seeds that failed.
async fn run(arguments: Arguments) -> io::Result<usize> {
    let mut failed = 0;
    let mut runs = JoinSet::new();
    for seed in arguments.seeds {
        if runs.len() >= arguments.parallel {
            failed += usize::from(report_result(runs.join_next().await)?);
        }
        let mut plan = arguments.plan.clone();
        plan.logs = plan.logs.join(seed.to_string());
        std::fs::create_dir_all(&plan.logs)?;
        let events = draw(seed, plan.length, plan.routers, plan.upstreams);
        runs.spawn(async move {
            let report = execute(&plan, seed, events).await?;
            if report.violations.is_empty() {
                std::fs::remove_dir_all(&plan.logs)?;
            } else {
                println!("routers' lines: {}", plan.logs.display());
            }
            Ok(report)
        });
    }
    while !runs.is_empty() {
        failed += usize::from(report_result(runs.join_next().await)?);
    }
    Ok(failed)
}

/// Prints a report and returns whether its seed failed.
fn report_result(
    done: Option<Result<io::Result<Report>, tokio::task::JoinError>>,
) -> io::Result<bool> {
    let Some(done) = done else {
        return Ok(false);
    };
    let report = done.map_err(io::Error::other)??;
    println!("{report}");
    if report.violations.is_empty() {
        return Ok(false);
    }
    for event in &report.events {
        println!("  {event}");
    }
    for violation in &report.violations {
        println!("  BROKEN at {violation}");
    }
    Ok(true)
}
