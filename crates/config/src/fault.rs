//! Faults of an INI file: where they are, what is wrong and what is allowed.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};

/// What is wrong with one place of a file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// The file can't be read.
    #[display("the file can't be read: {_0}")]
    Unreadable(String),
    /// The line is neither a section, a property, a comment nor blank.
    #[display("the line is not understood")]
    Syntax,
    /// The section has no meaning here.
    #[display("unknown section")]
    UnknownSection,
    /// The section appeared before.
    #[display("the section appears twice, first in line {first}")]
    DuplicateSection {
        /// Line of the first appearance.
        first: u32,
    },
    /// A section that is needed is absent.
    #[display("the section is missing")]
    MissingSection,
    /// The key has no meaning in its section.
    #[display("unknown key")]
    UnknownKey,
    /// The key appeared before in its section.
    #[display("the key appears twice, first in line {first}")]
    DuplicateKey {
        /// Line of the first appearance.
        first: u32,
    },
    /// A key that is needed is absent.
    #[display("the key is missing")]
    MissingKey,
    /// The value isn't one that the key allows.
    #[display("the value is not allowed")]
    Value,
    /// The value contradicts another one.
    #[display("{_0}")]
    Conflict(String),
}

/// Fault at one place of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line, counted from 1, or zero for the file as a whole.
    pub line: u32,
    /// Heading of the section, without brackets.
    pub section: Option<String>,
    /// Key of the property.
    pub key: Option<String>,
    /// Value as it was written.
    pub value: Option<String>,
    /// What is wrong.
    pub kind: Kind,
    /// What is allowed instead.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        write!(f, ":")?;
        if let Some(section) = &self.section {
            write!(f, " [{section}]")?;
        }
        if let Some(key) = &self.key {
            write!(f, " {key}")?;
        }
        if let Some(value) = &self.value {
            write!(f, " `{value}`")?;
        }
        write!(f, ": {}; allowed: {}", self.kind, self.allowed)
    }
}

/// All faults of one file, in the order of its lines.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct Report {
    faults: Vec<Fault>,
}

impl Report {
    pub(crate) fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort_by_key(|fault| fault.line);
        Self { faults }
    }

    /// Returns the faults, at least one.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
