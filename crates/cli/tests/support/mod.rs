//! Platform of stand-ins, files and commands that the tests share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::path::{Path, PathBuf};

use eelgrassrock_cli::output::Output;
use eelgrassrock_standin::{Addresses, objects, table};
use tempfile::TempDir;

/// Stand-ins for the table and the object store, and a directory for files.
pub(crate) struct Platform {
    pub(crate) table: table::Server,
    pub(crate) objects: objects::Server,
    directory: TempDir,
}

impl Platform {
    pub(crate) async fn start() -> Self {
        Self {
            table: table::Server::start(Addresses::free()).await.unwrap(),
            objects: objects::Server::start(Addresses::free()).await.unwrap(),
            directory: TempDir::new().unwrap(),
        }
    }

    /// Writes a file and returns its path.
    pub(crate) fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Returns the path of a file that doesn't exist.
    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    /// Runs a command against the stand-ins.
    pub(crate) async fn run(&self, words: &[&str]) -> Output {
        let (table, objects) = (
            self.table.address().to_string(),
            self.objects.address().to_string(),
        );
        let flags = ["--table", &table, "--objects", &objects];
        run(&[words, &flags].concat()).await
    }

    pub(crate) async fn approve(&self, file: &str, approver: &str) -> Output {
        self.approve_with(file, approver, approver).await
    }

    /// Approves as `approver`, but with the key of `signer`.
    pub(crate) async fn approve_with(&self, file: &str, approver: &str, signer: &str) -> Output {
        let key = example(&format!("keys/{signer}.key"));
        let key = key.to_str().unwrap();
        let words = [
            "bundle",
            "approve",
            file,
            "--approver",
            approver,
            "--key-file",
            key,
        ];
        self.run(&words).await
    }

    pub(crate) async fn approve_by_two(&self, file: &str) {
        for approver in ["imena", "keza"] {
            let output = self.approve(file, approver).await;
            assert_eq!(output.exit.code(), 0, "{output:?}");
        }
    }

    pub(crate) async fn roll(&self, file: &str) -> Output {
        self.run(&["bundle", "roll", file]).await
    }

    /// Approves and rolls the first version.
    pub(crate) async fn roll_first(&self) {
        let file = self.file("v1.ini", &bundle(1));
        self.approve_by_two(&file).await;
        let output = self.roll(&file).await;
        assert_eq!(output.exit.code(), 0, "{output:?}");
    }

    /// Returns the bundle in force as JSON, null if there is none.
    pub(crate) async fn in_force(&self) -> serde_json::Value {
        let output = self.run(&["bundle", "status", "--json"]).await;
        assert_eq!(output.exit.code(), 0, "{output:?}");
        serde_json::from_str(&output.stdout).unwrap()
    }
}

pub(crate) async fn run(words: &[&str]) -> Output {
    eelgrassrock_cli::run(["eelgrassrock"].iter().chain(words)).await
}

pub(crate) fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(path)
}

/// Returns the example bundle of Umuhanga with another version. Two of its three
/// approvers must approve the next bundle.
pub(crate) fn bundle(version: u64) -> String {
    let text = std::fs::read_to_string(example("umuhanga/bundle.ini")).unwrap();
    let header = format!("version = {version}\nreplaces = {}", version - 1);
    text.replace("version = 1\nreplaces = 0", &header)
}
