//! Routers as processes, started again when they end.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eelgrassrock_platform_standin::settings::Router as Settings;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

use crate::ledger::Ledger;
use crate::promise::Promise;

/// Pause before a router that ended is started again.
pub(crate) const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks at a process.
const POLL: Duration = Duration::from_millis(10);
/// Port of the metrics, the same on each address.
const METRICS_PORT: &str = "9464";
/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = eelgrassrock_platform_standin::settings::PATH_VARIABLE;

/// A router that is kept running.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) number: usize,
    pub(crate) settings: Settings,
    program: PathBuf,
    file: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether the end of the current process was asked for.
    is_ending: AtomicBool,
    is_over: AtomicBool,
    pub(crate) starts: AtomicU32,
}

impl Router {
    pub(crate) fn new(
        number: usize,
        settings: Settings,
        program: &Path,
        folder: &Path,
    ) -> io::Result<Self> {
        let file = folder.join(format!("router-{number}.json"));
        fs::write(&file, settings.file())?;
        Ok(Self {
            number,
            settings,
            program: program.to_owned(),
            file,
            log: folder.join(format!("router-{number}.log")),
            child: Mutex::new(None),
            is_ending: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            starts: AtomicU32::new(0),
        })
    }

    /// Starts the process, and again whenever it ends, until [`Self::finish`].
    pub(crate) async fn supervise(self: Arc<Self>, ledger: Arc<Ledger>) {
        while !self.is_over.load(Ordering::Relaxed) {
            if let Err(error) = self.start() {
                panic!("can't start {}: {error}", self.program.display());
            }
            while self.is_running() {
                sleep(POLL).await;
            }
            if !self.is_ending.load(Ordering::Relaxed) {
                let what = format!("router {} ended by itself", self.number);
                ledger.violate(Promise::StaysUp, what);
            }
            sleep(RESTART_PAUSE).await;
        }
    }

    fn start(&self) -> io::Result<()> {
        let output: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let errors = output.try_clone()?;
        let mut command = Command::new(&self.program);
        command
            .args(["--metrics-port", METRICS_PORT])
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

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        if signal == Signal::KILL || signal == Signal::TERM {
            self.is_ending.store(true, Ordering::Relaxed);
        }
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        let running = child
            .as_mut()
            .and_then(|child| matches!(child.try_wait(), Ok(None)).then_some(child));
        if let Some(id) = running.and_then(|child| i32::try_from(child.id()).ok()) {
            // The process may have ended just now.
            let _ = Pid::from_raw(id).map(|id| kill_process(id, signal));
        }
    }

    /// Tells the process to stop, and kills it if it runs after its grace.
    pub(crate) async fn terminate(&self) {
        let starts = self.starts.load(Ordering::Relaxed);
        self.signal(Signal::TERM);
        let told = Instant::now();
        while told.elapsed() < self.settings.grace {
            sleep(POLL).await;
            if starts != self.starts.load(Ordering::Relaxed) || !self.is_running() {
                return;
            }
        }
        self.signal(Signal::KILL);
    }

    /// Ends the process for good, and says whether it ended within its grace.
    pub(crate) async fn finish(&self) -> bool {
        self.is_over.store(true, Ordering::Relaxed);
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let told = Instant::now();
        while self.is_running() {
            if told.elapsed() > self.settings.grace {
                self.signal(Signal::KILL);
                return false;
            }
            sleep(POLL).await;
        }
        true
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(child) = child.as_mut() {
            // It may have ended by itself. A stopped process is killed as well.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
