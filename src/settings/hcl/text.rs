//! A file's text, positions in it, and faults with their positions.

use hcl_edit::structure::Body;
use std::fmt;
use std::sync::Arc;

/// An error in a file and its position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Fault {
    /// The file.
    pub file: Arc<str>,
    /// Line, from 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// Path of the field, as in `room.sala-norte.motor.s-1.weight`; may be empty.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub what: String,
}

impl Fault {
    /// A fault that concerns a whole file.
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

/// External text made safe for log lines: control characters escaped and length limited.
pub fn shown(text: &str) -> String {
    const LONGEST: usize = 200;
    let cut: String = text.chars().take(LONGEST).flat_map(char::escape_debug).collect();
    if text.chars().nth(LONGEST).is_some() { format!("{cut}...") } else { cut }
}

/// A position in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Place {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
}

/// A file's text with an index of its lines.
pub struct Text<'t> {
    /// The file name used in faults.
    pub file: Arc<str>,
    text: &'t str,
    lines: Vec<usize>,
}

impl<'t> Text<'t> {
    /// Indexes the text of the named file.
    pub fn new(file: &str, text: &'t str) -> Text<'t> {
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(i, _)| i + 1)).collect();
        Text { file: file.into(), text, lines }
    }

    /// The line and column of a byte offset.
    pub fn place(&self, at: usize) -> Place {
        let line = self.lines.partition_point(|l| *l <= at);
        let from = self.lines[line - 1];
        let column = self.text.get(from..at).map_or(at - from, |t| t.chars().count()) + 1;
        Place { line, column }
    }

    /// Parses the text; the fault gives the position of the first syntax error.
    pub fn parse(&self) -> Result<Body, Fault> {
        hcl_edit::parser::parse_body(self.text).map_err(|e| {
            let (line, column) = (e.location().line(), e.location().column());
            let what = e.message().replace('\n', "; ");
            Fault {
                file: self.file.clone(),
                line,
                column,
                field: String::new(),
                what: format!("invalid HCL: {what}"),
            }
        })
    }
}
