//! The daemon `eelgrassrockd`.

use std::process::ExitCode;

use eelgrassrock_config::settings::Settings;
use eelgrassrock_daemon::{Daemon, Flags, Stopped};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code when the settings or a port can't be used.
const REFUSED: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::read();
    let settings = match Settings::read(&flags.settings) {
        Ok(settings) => settings,
        Err(report) => return refuse(&report),
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => return refuse(&error),
    };
    let mut signals = match Signals::listen() {
        Ok(signals) => signals,
        Err(error) => return refuse(&error),
    };
    signals.next().await;
    let stopped = tokio::select! {
        stopped = daemon.stop() => stopped,
        () = signals.next() => Stopped::AtOnce,
    };
    match stopped {
        Stopped::Graceful => ExitCode::SUCCESS,
        Stopped::AtOnce => ExitCode::FAILURE,
    }
}

fn refuse(reason: &impl std::fmt::Display) -> ExitCode {
    eprintln!("eelgrassrockd: {reason}");
    ExitCode::from(REFUSED)
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
