//! `bundle keygen`: creates the key of an approver.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use eelgrassrock_config::approval::Key;

use crate::output::Output;

const OWNER_ONLY: u32 = 0o600;

pub(crate) fn keygen(path: &Path) -> Output {
    let key = Key::generate(&mut rand::rng());
    match write(path, &key) {
        Ok(()) => Output::done(format!("public-key = {}", key.public())),
        Err(error) => Output::refused(format!(
            "{}: the key can't be written: {error}; allowed: the path of a new file",
            path.display()
        )),
    }
}

fn write(path: &Path, key: &Key) -> io::Result<()> {
    let mut options = OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY)
        .open(path)?;
    writeln!(file, "{}", key.expose())
}
