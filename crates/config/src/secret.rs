//! The secret that the routers of a deployment share, and its sources.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Secret that the routers of one deployment share. Debug output hides it.
///
/// ```
/// use eelgrassrock_config::secret::Secret;
///
/// let secret = Secret::new("0123456789abcdef").unwrap();
/// assert_eq!(secret.expose(), "0123456789abcdef");
/// assert_eq!(format!("{secret:?}"), "Secret(hidden)");
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Creates a secret from `text` without leading and trailing white space.
    ///
    /// Returns `None` if it is shorter than [`MIN_SECRET_BYTES`] or contains
    /// characters other than visible ASCII, which an HTTP header can't carry.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (text.len() >= MIN_SECRET_BYTES && visible).then(|| Self(Arc::from(text)))
    }

    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// Source that a secret is read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Path of a file that contains only the secret.
    File(String),
    /// Name of an environment variable.
    Variable(String),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path) => write!(f, "file {path}"),
            Self::Variable(name) => write!(f, "environment variable {name}"),
        }
    }
}

/// Reason why a source yields no secret.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The file can't be read.
    #[display("the file can't be read: {_0}")]
    File(#[error(not(source))] String),
    /// The environment variable isn't set.
    #[display("the environment variable is not set")]
    Unset,
    /// The text is too short or has characters other than visible ASCII.
    #[display("the secret is too short or has characters other than visible ASCII")]
    Invalid,
}

impl Source {
    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no usable secret. The error text never
    /// contains the secret.
    ///
    /// ```
    /// use eelgrassrock_config::secret::{Fault, Process, Source};
    ///
    /// let source = Source::Variable("NO_SUCH_VARIABLE".to_owned());
    /// assert_eq!(source.load(&Process), Err(Fault::Unset));
    /// ```
    pub fn load(&self, environment: &impl Environment) -> Result<Secret, Fault> {
        let text = match self {
            Self::File(path) => environment.file(path).map_err(Fault::File)?,
            Self::Variable(name) => environment.variable(name).ok_or(Fault::Unset)?,
        };
        Secret::new(&text).ok_or(Fault::Invalid)
    }
}

/// Files and environment variables that the settings refer to.
pub trait Environment {
    /// Returns the contents of the file at `path`, or the reason why it can't be read.
    fn file(&self, path: &str) -> Result<String, String>;

    /// Returns the environment variable `name`, or `None` if it isn't set or isn't UTF-8.
    fn variable(&self, name: &str) -> Option<String>;
}

/// Files and environment variables of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Process;

impl Environment for Process {
    fn file(&self, path: &str) -> Result<String, String> {
        std::fs::read_to_string(path).map_err(|error| error.to_string())
    }

    fn variable(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }
}
