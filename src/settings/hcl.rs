//! Reads our own HCL: settings and motor lists. Every fault names its file, line, column and field, and all
//! faults of a file are told at once.

use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::sync::Arc;
use std::time::Duration;

/// Something that can't be used, and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Fault {
    /// The file.
    pub file: Arc<str>,
    /// Its line, from 1; 0 if it is of the file as a whole.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// The field, as in `room.sala-norte.motor.s-1.weight`; empty if there is none.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub what: String,
}

impl Fault {
    /// A fault of a file as a whole.
    pub fn of_file(file: &str, what: impl fmt::Display) -> Fault {
        Fault { file: file.into(), line: 0, column: 0, field: String::new(), what: what.to_string() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", shown(&self.field))?;
        }
        write!(f, ": {}", self.what)
    }
}

/// Text of outside origin as it may stand in a log line: control characters escaped, and not too long.
pub fn shown(text: &str) -> String {
    const LONGEST: usize = 200;
    let cut: String = text.chars().take(LONGEST).flat_map(char::escape_debug).collect();
    if text.chars().nth(LONGEST).is_some() { format!("{cut}...") } else { cut }
}

/// A place in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Place {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
}

/// A file's text, with what is needed to tell lines and columns.
pub struct Text<'t> {
    /// The name that faults carry.
    pub file: Arc<str>,
    text: &'t str,
    lines: Vec<usize>,
}

impl<'t> Text<'t> {
    /// Of a file by this name.
    pub fn new(file: &str, text: &'t str) -> Text<'t> {
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(i, _)| i + 1)).collect();
        Text { file: file.into(), text, lines }
    }

    /// Where a byte stands.
    pub fn place(&self, at: usize) -> Place {
        let line = self.lines.partition_point(|l| *l <= at);
        let from = self.lines[line - 1];
        let column = self.text.get(from..at).map_or(at - from, |t| t.chars().count()) + 1;
        Place { line, column }
    }

    /// Parses it; the fault says where the text stops being HCL.
    pub fn parse(&self) -> Result<Body, Fault> {
        hcl_edit::parser::parse_body(self.text).map_err(|e| {
            let (line, column) = (e.location().line(), e.location().column());
            let what = e.message().replace('\n', "; ");
            Fault {
                file: self.file.clone(),
                line,
                column,
                field: String::new(),
                what: format!("no HCL: {what}"),
            }
        })
    }
}

/// A body that is being read: the file's, or a block's.
pub struct Table<'t> {
    text: &'t Text<'t>,
    body: &'t Body,
    path: String,
    at: Range<usize>,
}

impl<'t> Table<'t> {
    /// The file's own body.
    pub fn root(text: &'t Text<'t>, body: &'t Body) -> Table<'t> {
        Table { text, body, path: String::new(), at: 0..0 }
    }

    fn field(&self, key: &str) -> String {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) }
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    /// Where it begins.
    pub fn place(&self) -> Place {
        self.text.place(self.at.start)
    }

    /// Where the text of the block stands.
    pub fn span(&self) -> Range<usize> {
        self.at.clone()
    }

    /// A fault at one of its keys, or of it as a whole.
    pub fn fault(&self, key: &str, what: impl fmt::Display) -> Fault {
        let attribute = self.body.get_attribute(key).and_then(|a| a.value.span());
        let Place { line, column } = self.text.place(attribute.unwrap_or(self.at.clone()).start);
        let field = if key.is_empty() { self.path.clone() } else { self.field(key) };
        Fault { file: self.text.file.clone(), line, column, field, what: what.to_string() }
    }

    /// Tells of every key and block that is not among these.
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

    /// A value, if the key is there; a fault if it can't be used.
    pub fn get<T>(
        &self,
        key: &str,
        faults: &mut Vec<Fault>,
        read: impl FnOnce(&Expression) -> Result<T, String>,
    ) -> Option<T> {
        let value = &self.body.get_attribute(key)?.value;
        read(value).map_err(|what| faults.push(self.fault(key, what))).ok()
    }

    /// A value that has to be there.
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

    /// Sets a value if the key is there.
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

    /// The blocks of a name, each with its labels; a fault for each that has another number of them.
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

    /// The one block of a name, if it is there; further ones are faults.
    pub fn block(&self, ident: &str, faults: &mut Vec<Fault>) -> Option<Table<'t>> {
        let mut all = self.blocks(ident, 0, faults).into_iter().map(|(_, t)| t);
        let first = all.next();
        faults.extend(all.map(|t| t.fault("", "stands here a second time; once is allowed")));
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

fn kind(e: &Expression) -> &'static str {
    match e {
        Expression::Null(_) => "null",
        Expression::Bool(_) => "a truth value",
        Expression::Number(_) => "a number",
        Expression::String(_) => "a string",
        Expression::Array(_) => "a list",
        Expression::Object(_) => "an object",
        _ => "an expression",
    }
}

/// A string without interpolations.
pub fn string(e: &Expression) -> Result<String, String> {
    e.as_str().map(String::from).ok_or_else(|| format!("{} where a plain string is allowed", kind(e)))
}

/// A truth value.
pub fn boolean(e: &Expression) -> Result<bool, String> {
    e.as_bool().ok_or_else(|| format!("{} where true or false is allowed", kind(e)))
}

/// A finite number in a range.
pub fn number(range: RangeInclusive<f64>) -> impl Fn(&Expression) -> Result<f64, String> {
    move |e| {
        let (from, to) = (range.start(), range.end());
        let number = match e {
            Expression::UnaryOp(_) => None,
            _ => e.as_number().and_then(|n| n.as_f64()),
        };
        let allowed = format!("a number from {from} to {to} is allowed");
        let n = number.ok_or_else(|| format!("{} where {allowed}", kind(e)))?;
        if range.contains(&n) { Ok(n) } else { Err(format!("{n} where {allowed}")) }
    }
}

/// A whole number in a range.
pub fn whole(range: RangeInclusive<u64>) -> impl Fn(&Expression) -> Result<u64, String> {
    move |e| {
        let allowed = format!("a whole number from {} to {} is allowed", range.start(), range.end());
        let n = e.as_number().ok_or_else(|| format!("{} where {allowed}", kind(e)))?;
        n.as_u64().filter(|n| range.contains(n)).ok_or_else(|| format!("{n} where {allowed}"))
    }
}

/// A span of time with its unit, as in `"250ms"`.
pub fn duration(range: RangeInclusive<Duration>) -> impl Fn(&Expression) -> Result<Duration, String> {
    move |e| {
        let (from, to) =
            (humantime::format_duration(*range.start()), humantime::format_duration(*range.end()));
        let allowed = format!("a time with its unit from \"{from}\" to \"{to}\" is allowed");
        let text = e.as_str().ok_or_else(|| format!("{} where {allowed}", kind(e)))?;
        let time = humantime::parse_duration(text).map_err(|_| format!("{text:?} where {allowed}"))?;
        if range.contains(&time) { Ok(time) } else { Err(format!("{text:?} where {allowed}")) }
    }
}

/// A size with its unit, as in `"8MiB"`, in bytes.
pub fn size(range: RangeInclusive<u64>) -> impl Fn(&Expression) -> Result<u64, String> {
    use bytesize::ByteSize;
    move |e| {
        let (from, to) = (ByteSize::b(*range.start()), ByteSize::b(*range.end()));
        let allowed = format!("a size with its unit from \"{from}\" to \"{to}\" is allowed");
        let text = e.as_str().ok_or_else(|| format!("{} where {allowed}", kind(e)))?;
        let unit = text.trim().ends_with(['b', 'B']);
        let bytes = text.parse::<ByteSize>().ok().filter(|_| unit).map(|b| b.as_u64());
        bytes.filter(|b| range.contains(b)).ok_or_else(|| format!("{text:?} where {allowed}"))
    }
}

/// One of a few words.
pub fn one_of<T: Copy>(words: &[(&str, T)]) -> impl Fn(&Expression) -> Result<T, String> {
    let words: Vec<(String, T)> = words.iter().map(|(w, t)| ((*w).to_string(), *t)).collect();
    move |e| {
        let names: Vec<String> = words.iter().map(|(w, _)| format!("{w:?}")).collect();
        let allowed = format!("one of {} is allowed", names.join(", "));
        let text = e.as_str().ok_or_else(|| format!("{} where {allowed}", kind(e)))?;
        words
            .iter()
            .find(|(w, _)| w == text)
            .map(|(_, t)| *t)
            .ok_or_else(|| format!("\"{}\" where {allowed}", shown(text)))
    }
}

/// A list, each item read alike.
pub fn list<T>(
    item: impl Fn(&Expression) -> Result<T, String>,
) -> impl FnOnce(&Expression) -> Result<Vec<T>, String> {
    move |e| {
        let all = e.as_array().ok_or_else(|| format!("{} where a list is allowed", kind(e)))?;
        all.iter().enumerate().map(|(i, e)| item(e).map_err(|w| format!("item {}: {w}", i + 1))).collect()
    }
}

/// What a type's own parser takes, as in `"10.0.0.0/8"`; `example` shows one.
pub fn parsed<T: std::str::FromStr>(example: &str) -> impl Fn(&Expression) -> Result<T, String> {
    let example = example.to_string();
    move |e| {
        let text = e.as_str().ok_or_else(|| format!("{} where {example:?} would be allowed", kind(e)))?;
        text.parse().map_err(|_| format!("\"{}\" where {example:?} would be allowed", shown(text)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn faults(text: &str) -> Vec<String> {
        let text = Text::new("f.hcl", text);
        let body = match text.parse() {
            Ok(body) => body,
            Err(e) => return vec![e.to_string()],
        };
        let (root, mut all) = (Table::root(&text, &body), Vec::new());
        root.only(&["a", "t", "s", "w"], &["b"], &mut all);
        root.get("a", &mut all, number(0.0..=9.0));
        root.get("t", &mut all, duration(Duration::from_millis(1)..=Duration::from_secs(60)));
        root.get("s", &mut all, size(1..=1024));
        root.get("w", &mut all, one_of(&[("x", 1), ("y", 2)]));
        for (_, b) in root.blocks("b", 1, &mut all) {
            b.only(&["n"], &[], &mut all);
            b.need("n", &mut all, whole(1..=3));
        }
        all.iter().map(Fault::to_string).collect()
    }

    // Who edits a file under time pressure needs the place, the field and what would be right, of all mistakes
    // at once.
    #[test]
    fn every_fault_names_its_place_and_what_is_allowed() {
        let all =
            faults("a = 12\nt = \"5\"\ns = \"9KB\"\n w = 1\nx = 1\nb \"one\" {\n  n = 0\n  m = 2\n}\nb {}\n");
        let told = [
            "f.hcl:5:1: x: unknown key; allowed: a, t, s, w",
            "f.hcl:1:5: a: 12 where a number from 0 to 9 is allowed",
            "f.hcl:2:5: t: \"5\" where a time with its unit from \"1ms\" to \"1m\" is allowed",
            "f.hcl:4:6: w: a number where one of \"x\", \"y\" is allowed",
            "f.hcl:10:1: b: 0 labels, 1 allowed",
            "f.hcl:8:3: b.one.m: unknown key; allowed: n",
            "f.hcl:7:7: b.one.n: 0 where a whole number from 1 to 3 is allowed",
        ];
        for t in told {
            assert!(all.iter().any(|a| a == t), "{t}\nin {all:#?}");
        }
        assert_eq!(all.len(), told.len() + 1, "{all:#?}");
        assert!(all.iter().any(|a| a.starts_with("f.hcl:3:5: s: \"9KB\" where a size")), "{all:#?}");
    }

    #[test]
    fn text_that_is_no_hcl_is_one_fault_with_its_place() {
        let all = faults("a = 1\nb \"x\" {\n");
        assert!(all.len() == 1 && all[0].starts_with("f.hcl:"), "{all:?}");
        assert_eq!(faults("a = 9\nt = \"250ms\"\ns = \"1KiB\"\nw = \"y\"\nb \"q\" { n = 3 }\n"), [""; 0]);
    }
}
