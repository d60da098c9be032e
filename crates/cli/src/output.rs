//! Output of a command: its text and its exit status.

use std::fmt::Display;

use crate::args::InvalidArgument;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command was refused, or a check failed. Nothing was changed.
    Refused,
    /// The arguments are invalid. Nothing was done.
    Usage,
    /// A write may or may not have taken effect.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process.
    ///
    /// ```
    /// use eelgrassrock_cli::output::Exit;
    ///
    /// assert_eq!(Exit::Unknown.code(), 3);
    /// ```
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
        }
    }
}

/// Text that a command prints, and its exit status.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Output {
    /// Exit status of the command.
    pub exit: Exit,
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
}

impl Output {
    pub(crate) fn done(stdout: impl Display) -> Self {
        Self {
            exit: Exit::Done,
            stdout: with_newline(stdout),
            stderr: String::new(),
        }
    }

    pub(crate) fn refused(stderr: impl Display) -> Self {
        Self {
            exit: Exit::Refused,
            stdout: String::new(),
            stderr: with_newline(stderr),
        }
    }

    pub(crate) fn unknown(stderr: impl Display) -> Self {
        Self {
            exit: Exit::Unknown,
            stdout: String::new(),
            stderr: with_newline(stderr),
        }
    }

    pub(crate) fn usage(usage: &InvalidArgument) -> Self {
        Self {
            exit: Exit::Usage,
            stdout: String::new(),
            stderr: with_newline(format!("error: {usage}\n\nFor more, try `--help`.")),
        }
    }
}

impl From<&clap::Error> for Output {
    /// Converts help texts to successful output, and other errors to usage errors.
    fn from(error: &clap::Error) -> Self {
        let text = error.render().to_string();
        if error.use_stderr() {
            Self {
                exit: Exit::Usage,
                stdout: String::new(),
                stderr: text,
            }
        } else {
            Self::done(text)
        }
    }
}

/// Returns `text` with exactly one newline at its end.
fn with_newline(text: impl Display) -> String {
    format!("{}\n", text.to_string().trim_end())
}
