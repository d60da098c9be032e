//! The deployment's secret, and where it is read from.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Shortest secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Secret that the routers of one deployment share. It never appears in debug
/// output.
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
    /// Creates a secret, `None` if it is shorter than [`MIN_SECRET_BYTES`] or
    /// holds characters that an HTTP header can't carry. White space at the
    /// ends is dropped.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (text.len() >= MIN_SECRET_BYTES && visible).then(|| Self(Arc::from(text)))
    }

    /// Returns the secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

/// Place that a secret is read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// File that holds nothing else.
    File(String),
    /// Variable of the environment.
    Environment(String),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path) => write!(f, "file {path}"),
            Self::Environment(name) => write!(f, "environment variable {name}"),
        }
    }
}

/// Why a place gives no secret.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// The file can't be read.
    #[display("the file can't be read: {_0}")]
    File(#[error(not(source))] String),
    /// The variable isn't set.
    #[display("the environment variable is not set")]
    Unset,
    /// What is there can't be a secret.
    #[display("the secret there is too short or not visible ASCII")]
    Unusable,
}

impl Source {
    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// Returns why there is none. The text never holds the secret.
    ///
    /// ```
    /// use eelgrassrock_config::secret::{Fault, Process, Source};
    ///
    /// let source = Source::Environment("NO_SUCH_VARIABLE".to_owned());
    /// assert_eq!(source.load(&Process), Err(Fault::Unset));
    /// ```
    pub fn load(&self, surroundings: &impl Surroundings) -> Result<Secret, Fault> {
        let text = match self {
            Self::File(path) => surroundings.file(path).map_err(Fault::File)?,
            Self::Environment(name) => surroundings.variable(name).ok_or(Fault::Unset)?,
        };
        Secret::new(&text).ok_or(Fault::Unusable)
    }
}

/// What reading settings needs from outside.
pub trait Surroundings {
    /// Returns the contents of the file at `path`.
    fn file(&self, path: &str) -> Result<String, String>;

    /// Returns the environment variable `name`.
    fn variable(&self, name: &str) -> Option<String>;
}

/// Files and environment of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Process;

impl Surroundings for Process {
    fn file(&self, path: &str) -> Result<String, String> {
        std::fs::read_to_string(path).map_err(|fault| fault.to_string())
    }

    fn variable(&self, name: &str) -> Option<String> {
        std::env::var(name).ok()
    }
}
