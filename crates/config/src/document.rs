//! Sections and properties of an INI file, with their line numbers.

use std::sync::Arc;

use indexmap::IndexMap;
use ini_core::{Item, Parser};

use crate::fault::{Fault, Kind};

const SYNTAX_ALLOWED: &str = "`[section]`, `key = value`, `; comment` or a blank line";

/// INI file that has been split into sections, but whose values aren't checked yet.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) file: Arc<str>,
    pub(crate) sections: IndexMap<String, Section>,
}

/// Section with its heading and properties.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    /// Heading without brackets, with one space between words.
    pub(crate) heading: String,
    pub(crate) line: u32,
    pub(crate) properties: IndexMap<String, Property>,
}

/// Value of a property, and its line.
#[derive(Clone, Debug)]
pub(crate) struct Property {
    pub(crate) line: u32,
    pub(crate) value: String,
}

impl Section {
    /// Splits the heading into kind and name: `[upstream a]` has the kind
    /// `upstream` and the name `a`.
    pub(crate) fn title(&self) -> (&str, Option<&str>) {
        match self.heading.split_once(' ') {
            Some((kind, name)) => (kind, Some(name)),
            None => (&self.heading, None),
        }
    }
}

/// Splits `text` into sections, and adds syntax errors and duplicates to `faults`.
pub(crate) fn read(file: &str, text: &str, faults: &mut Vec<Fault>) -> Document {
    let mut reader = Reader {
        file: Arc::from(file),
        sections: IndexMap::new(),
        current: None,
        faults,
    };
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        match parser.next() {
            Some(item) => reader.add_item(line, item),
            None => break,
        }
    }
    reader.finish()
}

struct Reader<'a> {
    file: Arc<str>,
    sections: IndexMap<String, Section>,
    current: Option<Section>,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn add_item(&mut self, line: u32, item: Item<'_>) {
        match item {
            Item::Section(heading) => self.begin_section(line, heading),
            Item::SectionEnd => self.end_section(),
            Item::Property(key, Some(value)) => self.add_property(line, key, value),
            Item::Property(text, None) | Item::Error(text) => {
                self.add_fault(line, None, Some(text), Kind::Syntax, SYNTAX_ALLOWED);
            }
            Item::Comment(_) | Item::Blank => {}
        }
    }

    fn begin_section(&mut self, line: u32, heading: &str) {
        let words: Vec<&str> = heading.split_ascii_whitespace().collect();
        self.current = Some(Section {
            heading: words.join(" "),
            line,
            properties: IndexMap::new(),
        });
    }

    fn end_section(&mut self) {
        let Some(section) = self.current.take() else {
            return;
        };
        if let Some(first) = self.sections.get(&section.heading) {
            let first = first.line;
            let kind = Kind::DuplicateSection { first };
            // `add_fault` takes the heading from the current section.
            self.current = Some(section);
            let line = self.current.as_ref().map_or(0, |section| section.line);
            self.add_fault(line, None, None, kind, "each section once");
            self.current = None;
            return;
        }
        self.sections.insert(section.heading.clone(), section);
    }

    fn add_property(&mut self, line: u32, key: &str, value: &str) {
        let Some(section) = &mut self.current else {
            let allowed = "properties below a `[section]`";
            self.add_fault(line, Some(key), Some(value), Kind::Syntax, allowed);
            return;
        };
        if let Some(first) = section.properties.get(key) {
            let kind = Kind::DuplicateKey { first: first.line };
            self.add_fault(
                line,
                Some(key),
                Some(value),
                kind,
                "each key once in a section",
            );
            return;
        }
        let value = value.to_owned();
        section
            .properties
            .insert(key.to_owned(), Property { line, value });
    }

    fn add_fault(
        &mut self,
        line: u32,
        key: Option<&str>,
        value: Option<&str>,
        kind: Kind,
        allowed: &str,
    ) {
        self.faults.push(Fault {
            file: Arc::clone(&self.file),
            line,
            section: self.current.as_ref().map(|section| section.heading.clone()),
            key: key.map(str::to_owned),
            value: value.map(str::to_owned),
            kind,
            allowed: allowed.to_owned(),
        });
    }

    fn finish(self) -> Document {
        Document {
            file: self.file,
            sections: self.sections,
        }
    }
}
