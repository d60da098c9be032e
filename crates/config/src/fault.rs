//! Faults of an INI file: their location, the problem and the allowed values.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Problem that a fault reports.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// The file can't be read.
    #[display("the file can't be read: {_0}")]
    Unreadable(String),
    /// The line is neither a section, a property, a comment nor blank.
    #[display("the line is not valid INI syntax")]
    Syntax,
    /// No such section exists in this kind of file.
    #[display("unknown section")]
    UnknownSection,
    /// The file has an earlier section with the same heading.
    #[display("the section appears twice, first in line {first}")]
    DuplicateSection {
        /// Line of the first occurrence.
        first: u32,
    },
    /// A required section is missing.
    #[display("the section is missing")]
    MissingSection,
    /// No such key exists in this section.
    #[display("unknown key")]
    UnknownKey,
    /// The section has an earlier property with the same key.
    #[display("the key appears twice, first in line {first}")]
    DuplicateKey {
        /// Line of the first occurrence.
        first: u32,
    },
    /// A required key is missing.
    #[display("the key is missing")]
    MissingKey,
    /// The key doesn't allow this value.
    #[display("the value is not allowed")]
    Value,
    /// The value or section conflicts with another part of the file, or something it needs is
    /// missing. The text says which.
    #[display("{_0}")]
    Conflict(String),
}

/// One fault of a file, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: Arc<str>,
    /// Line number, counted from 1. Zero means the file as a whole.
    pub line: u32,
    /// Heading of the section, without brackets.
    pub section: Option<String>,
    /// Key of the property.
    pub key: Option<String>,
    /// Value as it stands in the file.
    pub value: Option<String>,
    /// Problem at this location.
    pub kind: Kind,
    /// Description of the allowed values.
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

/// All faults of one file, sorted by line.
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
