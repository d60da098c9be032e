//! Typed access to the keys of a section, with validation.

use std::sync::Arc;

use indexmap::IndexSet;

use crate::document::{Document, Section};
use crate::fault::{Fault, Kind};
use crate::rule::Rule;

/// Typed reader of one section. It records each fault and continues, so that
/// one pass finds all faults.
pub(crate) struct Fields<'a> {
    file: &'a Arc<str>,
    section: &'a Section,
    known: IndexSet<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(
        document: &'a Document,
        section: &'a Section,
        faults: &'a mut Vec<Fault>,
    ) -> Self {
        Self {
            file: &document.file,
            section,
            known: IndexSet::new(),
            faults,
        }
    }

    /// Reads a required key. Returns `None` if it is missing or its value isn't allowed.
    pub(crate) fn required<R: Rule>(&mut self, key: &'static str, rule: R) -> Option<R::Value> {
        if self.contains(key) {
            return self.optional(key, rule);
        }
        self.known.insert(key);
        let line = self.section.line;
        self.push(line, Some(key), None, Kind::MissingKey, rule.allowed());
        None
    }

    /// Reads an optional key. Returns `None` if it is absent or its value isn't allowed.
    pub(crate) fn optional<R: Rule>(&mut self, key: &'static str, rule: R) -> Option<R::Value> {
        self.known.insert(key);
        let property = self.section.properties.get(key)?;
        let value = rule.parse(&property.value);
        if value.is_none() {
            let text = property.value.clone();
            self.push(
                property.line,
                Some(key),
                Some(text),
                Kind::Value,
                rule.allowed(),
            );
        }
        value
    }

    /// Reads an optional key, with a default if it is absent or its value isn't allowed.
    pub(crate) fn with_default<R: Rule>(
        &mut self,
        key: &'static str,
        rule: R,
        default: R::Value,
    ) -> R::Value {
        self.optional(key, rule).unwrap_or(default)
    }

    /// Returns whether the section has the key.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.section.properties.contains_key(key)
    }

    /// Reports that the value of `key` conflicts with another value.
    pub(crate) fn conflict(&mut self, key: &'static str, reason: String, allowed: &str) {
        let property = self.section.properties.get(key);
        let line = property.map_or(self.section.line, |property| property.line);
        let value = property.map(|property| property.value.clone());
        self.push(
            line,
            Some(key),
            value,
            Kind::Conflict(reason),
            allowed.to_owned(),
        );
    }

    /// Reports an unknown key for each property that no call has read.
    pub(crate) fn finish(mut self) {
        let known: Vec<String> = self.known.iter().map(|key| format!("`{key}`")).collect();
        let allowed = known.join(", ");
        for (key, property) in &self.section.properties {
            if !self.known.contains(key.as_str()) {
                let value = Some(property.value.clone());
                self.push(
                    property.line,
                    Some(key),
                    value,
                    Kind::UnknownKey,
                    allowed.clone(),
                );
            }
        }
    }

    fn push(
        &mut self,
        line: u32,
        key: Option<&str>,
        value: Option<String>,
        kind: Kind,
        allowed: String,
    ) {
        self.faults.push(Fault {
            file: Arc::clone(self.file),
            line,
            section: Some(self.section.heading.clone()),
            key: key.map(str::to_owned),
            value,
            kind,
            allowed,
        });
    }
}

/// Creates a fault that concerns a section as a whole.
pub(crate) fn section_fault(
    document: &Document,
    section: &Section,
    kind: Kind,
    allowed: &str,
) -> Fault {
    Fault {
        file: Arc::clone(&document.file),
        line: section.line,
        section: Some(section.heading.clone()),
        key: None,
        value: None,
        kind,
        allowed: allowed.to_owned(),
    }
}

/// Creates a fault for a section that is missing.
pub(crate) fn missing_section(document: &Document, heading: &str, allowed: &str) -> Fault {
    Fault {
        file: Arc::clone(&document.file),
        line: 0,
        section: Some(heading.to_owned()),
        key: None,
        value: None,
        kind: Kind::MissingSection,
        allowed: allowed.to_owned(),
    }
}
