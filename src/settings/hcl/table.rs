//! An HCL body with the path of block names that leads to it.

use super::text::{Fault, Place, Text};
use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use std::fmt;
use std::ops::Range;

/// The body of a file or of a block.
pub struct Table<'t> {
    text: &'t Text<'t>,
    body: &'t Body,
    path: String,
    at: Range<usize>,
}

impl<'t> Table<'t> {
    /// The top-level body of a file.
    pub fn root(text: &'t Text<'t>, body: &'t Body) -> Table<'t> {
        Table { text, body, path: String::new(), at: 0..0 }
    }

    fn field(&self, key: &str) -> String {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) }
    }

    /// Whether a key is present.
    pub fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    /// The position at which it begins.
    pub fn place(&self) -> Place {
        self.text.place(self.at.start)
    }

    /// The byte range of the block in the text.
    pub fn span(&self) -> Range<usize> {
        self.at.clone()
    }

    /// A fault at one of its keys, or of the whole body if `key` is empty.
    pub fn fault(&self, key: &str, what: impl fmt::Display) -> Fault {
        let attribute = self.body.get_attribute(key).and_then(|a| a.value.span());
        let Place { line, column } = self.text.place(attribute.unwrap_or(self.at.clone()).start);
        let field = if key.is_empty() { self.path.clone() } else { self.field(key) };
        Fault { file: self.text.file.clone(), line, column, field, what: what.to_string() }
    }

    /// Reports every key and block that is not among these.
    pub fn only(&self, keys: &[&str], blocks: &[&str], faults: &mut Vec<Fault>) {
        let list = |names: &[&str]| if names.is_empty() { "none".into() } else { names.join(", ") };
        for s in self.body {
            let (name, span, what) = match s {
                Structure::Attribute(a) if !keys.contains(&a.key.as_str()) => {
                    (a.key.as_str(), a.key.span(), format!("unknown key; allowed: {}", list(keys)))
                }
                Structure::Block(b) if !blocks.contains(&b.ident.as_str()) => {
                    (b.ident.as_str(), b.ident.span(), format!("unknown block; allowed: {}", list(blocks)))
                }
                _ => continue,
            };
            let Place { line, column } = self.text.place(span.unwrap_or(self.at.clone()).start);
            let (file, field) = (self.text.file.clone(), self.field(name));
            faults.push(Fault { file, line, column, field, what });
        }
    }

    /// The value of a key, if present; an invalid value is added to `faults`.
    pub fn get<T>(
        &self,
        key: &str,
        faults: &mut Vec<Fault>,
        read: impl FnOnce(&Expression) -> Result<T, String>,
    ) -> Option<T> {
        let value = &self.body.get_attribute(key)?.value;
        read(value).map_err(|what| faults.push(self.fault(key, what))).ok()
    }

    /// The value of a required key; a missing key is added to `faults`.
    pub fn need<T>(
        &self,
        key: &str,
        faults: &mut Vec<Fault>,
        read: impl FnOnce(&Expression) -> Result<T, String>,
    ) -> Option<T> {
        if !self.body.has_attribute(key) {
            faults.push(self.fault("", format!("{key} is missing")));
        }
        self.get(key, faults, read)
    }

    /// Assigns the value of a key, if present and valid.
    pub fn set<T>(
        &self,
        key: &str,
        to: &mut T,
        faults: &mut Vec<Fault>,
        read: impl FnOnce(&Expression) -> Result<T, String>,
    ) {
        if let Some(value) = self.get(key, faults, read) {
            *to = value;
        }
    }

    /// The blocks of a name with their labels; each block with another number of labels is a fault.
    pub fn blocks(
        &self,
        ident: &str,
        labels: usize,
        faults: &mut Vec<Fault>,
    ) -> Vec<(Vec<&'t str>, Table<'t>)> {
        let mut found = Vec::new();
        for b in self.body.blocks().filter(|b| b.has_ident(ident)) {
            let names: Vec<&str> = b.labels.iter().map(|l| l.as_str()).collect();
            let table = self.table(b, ident, &names);
            if names.len() == labels {
                found.push((names, table));
            } else {
                faults.push(table.fault("", format!("{} labels, {labels} allowed", names.len())));
            }
        }
        found
    }

    /// The only block of a name, if present; additional ones are faults.
    pub fn block(&self, ident: &str, faults: &mut Vec<Fault>) -> Option<Table<'t>> {
        let mut all = self.blocks(ident, 0, faults).into_iter().map(|(_, t)| t);
        let first = all.next();
        faults.extend(all.map(|t| t.fault("", "duplicate block; one is allowed")));
        first
    }

    fn table(&self, b: &'t Block, ident: &str, labels: &[&str]) -> Table<'t> {
        let path = std::iter::once(&ident).chain(labels).fold(self.path.clone(), |path, name| {
            if path.is_empty() { (*name).into() } else { format!("{path}.{name}") }
        });
        let at = b.span().or_else(|| b.ident.span()).unwrap_or(self.at.clone());
        Table { text: self.text, body: &b.body, path, at }
    }
}
