//! Reads our own HCL: settings and executor lists. Every fault names its file, line, column and field, and all
//! faults of a file are told at once.
//!
//! - [`text`]: a file's text, places in it and faults.
//! - [`table`]: the file's body and its blocks, as they are read.
//! - [`readers`]: what single values may be.

pub mod readers;
pub mod table;
#[cfg(test)]
mod tests;
pub mod text;

pub use readers::{boolean, duration, list, number, one_of, parsed, size, string, whole};
pub use table::Table;
pub use text::{Fault, Place, Text, shown};
