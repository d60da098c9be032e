//! Sections and properties of an INI file, with the lines they stand in.

use std::sync::Arc;

use indexmap::IndexMap;
use ini_core::{Item, Parser};

use crate::fault::{Fault, Kind};

const SYNTAX_ALLOWED: &str = "`[section]`, `key = value`, `; comment` or a blank line";

/// File whose lines were understood, but not yet their meaning.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) file: Arc<str>,
    pub(crate) sections: IndexMap<String, Section>,
}

/// Heading and properties.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    /// Heading without brackets, words separated by one space.
    pub(crate) heading: String,
    pub(crate) line: u32,
    pub(crate) properties: IndexMap<String, Property>,
}

/// Value and the line it stands in.
#[derive(Clone, Debug)]
pub(crate) struct Property {
    pub(crate) line: u32,
    pub(crate) value: String,
}

impl Section {
    /// Returns the kind of the section and its name: `[upstream a]` is `a` of
    /// the kind `upstream`.
    pub(crate) fn title(&self) -> (&str, Option<&str>) {
        match self.heading.split_once(' ') {
            Some((kind, name)) => (kind, Some(name)),
            None => (&self.heading, None),
        }
    }
}

/// Reads `text`, and adds what isn't understood to `faults`.
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
            Some(item) => reader.item(line, item),
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
    fn item(&mut self, line: u32, item: Item<'_>) {
        match item {
            Item::Section(heading) => self.open(line, heading),
            Item::SectionEnd => self.close(),
            Item::Property(key, Some(value)) => self.property(line, key, value),
            Item::Property(text, None) | Item::Error(text) => {
                self.fault(line, None, Some(text), Kind::Syntax, SYNTAX_ALLOWED);
            }
            Item::Comment(_) | Item::Blank => {}
        }
    }

    fn open(&mut self, line: u32, heading: &str) {
        let words: Vec<&str> = heading.split_ascii_whitespace().collect();
        self.current = Some(Section {
            heading: words.join(" "),
            line,
            properties: IndexMap::new(),
        });
    }

    fn close(&mut self) {
        let Some(section) = self.current.take() else {
            return;
        };
        if let Some(first) = self.sections.get(&section.heading) {
            let first = first.line;
            let kind = Kind::DuplicateSection { first };
            self.current = Some(section);
            let line = self.current.as_ref().map_or(0, |section| section.line);
            self.fault(line, None, None, kind, "each section once");
            self.current = None;
            return;
        }
        self.sections.insert(section.heading.clone(), section);
    }

    fn property(&mut self, line: u32, key: &str, value: &str) {
        let Some(section) = &mut self.current else {
            let allowed = "properties below a `[section]`";
            self.fault(line, Some(key), Some(value), Kind::Syntax, allowed);
            return;
        };
        if let Some(first) = section.properties.get(key) {
            let kind = Kind::DuplicateKey { first: first.line };
            self.fault(
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

    fn fault(
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
