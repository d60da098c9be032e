//! Entry point of `eelgrassrockd`: reads the settings, starts the daemon and waits for
//! a signal to stop it.

use std::process::ExitCode;

use eelgrassrock_config::settings::Settings;
use eelgrassrock_daemon::{Daemon, Flags, Shutdown};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code if the settings are invalid, a port can't be opened or the signal handlers
/// can't be installed.
const STARTUP_FAILURE: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::read();
    let settings = match Settings::read(&flags.settings) {
        Ok(settings) => settings,
        Err(report) => return exit_with_error(&report),
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => return exit_with_error(&error),
    };
    let mut signals = match Signals::listen() {
        Ok(signals) => signals,
        Err(error) => return exit_with_error(&error),
    };
    signals.next().await;
    let stopped = tokio::select! {
        stopped = daemon.stop() => stopped,
        () = signals.next() => Shutdown::Forced,
    };
    match stopped {
        Shutdown::Graceful => ExitCode::SUCCESS,
        Shutdown::Forced => ExitCode::FAILURE,
    }
}

fn exit_with_error(reason: &impl std::fmt::Display) -> ExitCode {
    eprintln!("eelgrassrockd: {reason}");
    ExitCode::from(STARTUP_FAILURE)
}

/// Signals that ask the daemon to stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
