//! What a command prints, and how it ends.

use std::fmt::Display;

use crate::args::Usage;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It was done, or all is well.
    Done,
    /// It was refused or found wanting. Nothing was changed.
    Refused,
    /// The arguments are wrong. Nothing was done.
    Usage,
    /// The write may or may not have taken effect.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process.
    ///
    /// ```
    /// use eelgrassrock_cli::answer::Exit;
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

/// Text for the operator, and how the command ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Answer {
    /// How the command ended.
    pub exit: Exit,
    /// Text for standard output.
    pub out: String,
    /// Text for standard error.
    pub err: String,
}

impl Answer {
    pub(crate) fn done(out: impl Display) -> Self {
        Self {
            exit: Exit::Done,
            out: lines(out),
            err: String::new(),
        }
    }

    pub(crate) fn refused(err: impl Display) -> Self {
        Self {
            exit: Exit::Refused,
            out: String::new(),
            err: lines(err),
        }
    }

    pub(crate) fn unknown(err: impl Display) -> Self {
        Self {
            exit: Exit::Unknown,
            out: String::new(),
            err: lines(err),
        }
    }

    pub(crate) fn usage(usage: &Usage) -> Self {
        Self {
            exit: Exit::Usage,
            out: String::new(),
            err: lines(format!("error: {usage}\n\nFor more, try `--help`.")),
        }
    }
}

impl From<&clap::Error> for Answer {
    /// Help goes to standard output and is no error.
    fn from(error: &clap::Error) -> Self {
        let text = error.render().to_string();
        if error.use_stderr() {
            Self {
                exit: Exit::Usage,
                out: String::new(),
                err: text,
            }
        } else {
            Self::done(text)
        }
    }
}

fn lines(text: impl Display) -> String {
    format!("{}\n", text.to_string().trim_end())
}
