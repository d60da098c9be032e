//! Child processes of a test, which are killed when they are dropped.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::OnceLock;

use tokio::time::{Instant, sleep};

use crate::support::{SECRET, WAIT_LIMIT};

use super::POLL;

/// Environment variable that holds the secret of the deployment.
pub const SECRET_VARIABLE: &str = "EELGRASSROCK_SECRET";

/// Running child process.
pub struct Process {
    child: Child,
}

/// Signal to a child process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill,
    Stop,
    Continue,
    Terminate,
}

impl Process {
    /// Starts a daemon with a settings file.
    pub fn daemon(settings: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_eelgrassrockd"));
        command.arg("--settings").arg(settings);
        command.env(SECRET_VARIABLE, SECRET).stdin(Stdio::null());
        let child = command.spawn().expect("the daemon starts");
        Self { child }
    }

    /// Starts a stand-in, and returns it with the two addresses that it prints: the one it
    /// listens on and that of its admin port.
    pub fn standin(program: &str, arguments: &[&str]) -> (Self, SocketAddr, SocketAddr) {
        let mut command = Command::new(standins().join(program));
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let mut child = command.spawn().expect("the stand-in starts");
        let output = child.stdout.take().expect("the output is piped");
        let mut lines = BufReader::new(output).lines();
        let mut address = |prefix: &str| -> SocketAddr {
            let line = lines.next().expect("a line").expect("text");
            let address = line.strip_prefix(prefix).expect("the line of an address");
            address.parse().expect("an address")
        };
        let (listen, admin) = (address("listening on "), address("admin on "));
        (Self { child }, listen, admin)
    }

    /// Sends a signal to this process only.
    pub fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        };
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "kill {name} {id}"
        );
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "the process doesn't exit");
            sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // This fails if the process has already exited. SIGKILL ends a paused process too.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Builds the stand-ins once per test process, with the profile of the daemon, and returns
/// the directory of the executables.
fn standins() -> &'static Path {
    static DIRECTORY: OnceLock<PathBuf> = OnceLock::new();
    DIRECTORY.get_or_init(|| {
        let daemon = Path::new(env!("CARGO_BIN_EXE_eelgrassrockd"));
        let directory = daemon.parent().expect("an executable has a directory");
        let mut command = Command::new(env!("CARGO"));
        command.args(["build", "--quiet", "--locked", "--bins"]);
        command.args(["--package", "eelgrassrock-standin"]);
        if directory.ends_with("release") {
            command.arg("--release");
        }
        let target = directory.parent().expect("the directory of a profile");
        let status = command.arg("--target-dir").arg(target).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "the stand-ins build"
        );
        directory.to_owned()
    })
}
