//! Files, environment and texts that the tests share.
#![allow(dead_code, reason = "each test file uses a part")]

use eelgrassrock_config::secret::Surroundings;

/// One environment variable, and no files.
pub(crate) struct Given {
    name: String,
    value: String,
}

impl Given {
    pub(crate) fn variable(name: &str, value: &str) -> Self {
        Self {
            name: name.to_owned(),
            value: value.to_owned(),
        }
    }
}

impl Surroundings for Given {
    fn file(&self, _path: &str) -> Result<String, String> {
        Err("no such file".to_owned())
    }

    fn variable(&self, name: &str) -> Option<String> {
        (name == self.name).then(|| self.value.clone())
    }
}
