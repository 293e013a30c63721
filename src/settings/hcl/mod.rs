//! Reads HCL files: settings, executor lists and policies. Every fault names its file, line, column and field, and all
//! faults of a file are reported together.
//!
//! - [`text`]: a file's text, positions in it and faults.
//! - [`table`]: the body of a file or block while it is read.
//! - [`readers`]: readers of single values.

pub mod readers;
pub mod table;
#[cfg(test)]
mod tests;
pub mod text;

pub use readers::{boolean, duration, list, number, one_of, parsed, size, string, whole};
pub use table::Table;
pub use text::{Fault, Place, Text, shown};
