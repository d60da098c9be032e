//! A platform of stand-ins, files and commands that the tests share.
#![allow(dead_code, reason = "each test file uses a part")]

use std::path::{Path, PathBuf};

use eelgrassrock_cli::answer::Answer;
use eelgrassrock_standin::{Addresses, objects, table};
use tempfile::TempDir;

/// Stand-ins and a directory for files.
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
    pub(crate) async fn run(&self, words: &[&str]) -> Answer {
        let (table, objects) = (
            self.table.address().to_string(),
            self.objects.address().to_string(),
        );
        let flags = ["--table", &table, "--objects", &objects];
        run(&[words, &flags].concat()).await
    }

    pub(crate) async fn approve(&self, file: &str, approver: &str) -> Answer {
        self.approve_with(file, approver, approver).await
    }

    /// Approves in the name of `approver` with the key of `signer`.
    pub(crate) async fn approve_with(&self, file: &str, approver: &str, signer: &str) -> Answer {
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
            let answer = self.approve(file, approver).await;
            assert_eq!(answer.exit.code(), 0, "{answer:?}");
        }
    }

    pub(crate) async fn roll(&self, file: &str) -> Answer {
        self.run(&["bundle", "roll", file]).await
    }

    /// Approves and rolls the first version.
    pub(crate) async fn roll_first(&self) {
        let file = self.file("v1.ini", &bundle(1));
        self.approve_by_two(&file).await;
        let answer = self.roll(&file).await;
        assert_eq!(answer.exit.code(), 0, "{answer:?}");
    }

    /// Returns the state in force as JSON.
    pub(crate) async fn in_force(&self) -> serde_json::Value {
        let answer = self.run(&["bundle", "status", "--json"]).await;
        assert_eq!(answer.exit.code(), 0, "{answer:?}");
        serde_json::from_str(&answer.out).unwrap()
    }
}

pub(crate) async fn run(words: &[&str]) -> Answer {
    eelgrassrock_cli::run(["eelgrassrock"].iter().chain(words)).await
}

pub(crate) fn example(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(path)
}

/// Returns Umuhanga's bundle as another version. Two of three approvers must
/// approve the next one.
pub(crate) fn bundle(version: u64) -> String {
    let text = std::fs::read_to_string(example("umuhanga/bundle.ini")).unwrap();
    let header = format!("version = {version}\nreplaces = {}", version - 1);
    text.replace("version = 1\nreplaces = 0", &header)
}
