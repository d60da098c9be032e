//! Router processes, which are restarted whenever they exit.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eelgrassrock_platform_standin::settings::Router as Settings;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::guarantee::Guarantee;
use crate::plan::Plan;

/// Delay before a router that exited is started again.
pub(crate) const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Interval between two checks of a process's state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Port of the metrics endpoint. Each router has its own IP address, so all can use it.
const METRICS_PORT: u16 = 9464;
/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = eelgrassrock_platform_standin::settings::PATH_VARIABLE;

/// Router process that is restarted when it exits.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) number: usize,
    pub(crate) settings: Settings,
    plan: Plan,
    seed: u64,
    file: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the current process was told to end.
    is_ending: AtomicBool,
    /// Whether the process must not be started again.
    is_finished: AtomicBool,
    /// Number of times that the process was started.
    pub(crate) starts: AtomicU32,
}

impl Router {
    pub(crate) fn new(number: usize, settings: Settings, plan: &Plan, seed: u64) -> Self {
        let folder = &plan.logs;
        let file = folder.join(format!("router-{number}.json"));
        Self {
            number,
            settings,
            plan: plan.clone(),
            seed,
            file,
            log: folder.join(format!("router-{number}.log")),
            child: Mutex::new(None),
            is_ending: AtomicBool::new(false),
            is_finished: AtomicBool::new(false),
            starts: AtomicU32::new(0),
        }
    }

    /// Returns the address of its metrics.
    pub(crate) fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.settings.address, METRICS_PORT)
    }

    /// Starts the process, and restarts it whenever it exits, until [`Self::finish`].
    pub(crate) async fn supervise(self: Arc<Self>, checker: Arc<Checker>) {
        while !self.is_finished.load(Ordering::Relaxed) {
            if let Err(error) = self.start() {
                panic!("failed to start router {}: {error}", self.number);
            }
            while self.is_running() {
                sleep(POLL_INTERVAL).await;
            }
            if !self.is_ending.load(Ordering::Relaxed) {
                let details = format!("router {} exited without being told to", self.number);
                checker.report(Guarantee::NoCrash, details);
            }
            sleep(RESTART_PAUSE).await;
        }
    }

    fn start(&self) -> io::Result<()> {
        let start = self.starts.load(Ordering::Relaxed);
        let is_first = start == 0;
        let settings = if is_first {
            self.settings.first_file()
        } else {
            self.settings.file()
        };
        fs::write(&self.file, settings)?;
        let output: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let errors = output.try_clone()?;
        let program = self.plan.program_of(self.seed, self.number, start);
        let mut command = Command::new(program);
        command
            .args(["--metrics-port", &METRICS_PORT.to_string()])
            .env(SETTINGS_VARIABLE, &self.file)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors);
        self.is_ending.store(false, Ordering::Relaxed);
        self.starts.fetch_add(1, Ordering::Relaxed);
        *self.child.lock().unwrap_or_else(PoisonError::into_inner) = Some(command.spawn()?);
        Ok(())
    }

    fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal to the process, if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        if signal == Signal::KILL || signal == Signal::TERM {
            self.is_ending.store(true, Ordering::Relaxed);
        }
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        let running = child
            .as_mut()
            .and_then(|child| matches!(child.try_wait(), Ok(None)).then_some(child));
        if let Some(id) = running.and_then(|child| i32::try_from(child.id()).ok()) {
            // The process may have exited since the check, so a failure is harmless.
            let _ = Pid::from_raw(id).map(|id| kill_process(id, signal));
        }
    }

    /// Sends SIGTERM, and kills the process if it still runs after its grace period.
    pub(crate) async fn terminate(&self) {
        let starts = self.starts.load(Ordering::Relaxed);
        self.signal(Signal::TERM);
        let requested_at = Instant::now();
        while requested_at.elapsed() < self.settings.grace {
            sleep(POLL_INTERVAL).await;
            if starts != self.starts.load(Ordering::Relaxed) || !self.is_running() {
                return;
            }
        }
        self.signal(Signal::KILL);
    }

    /// Stops the process for good. Returns whether it exited within its grace period.
    pub(crate) async fn finish(&self) -> bool {
        self.is_finished.store(true, Ordering::Relaxed);
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let requested_at = Instant::now();
        while self.is_running() {
            if requested_at.elapsed() > self.settings.grace {
                self.signal(Signal::KILL);
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
        true
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(child) = child.as_mut() {
            // The process may have exited already. SIGKILL also ends a process that SIGSTOP
            // has suspended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
