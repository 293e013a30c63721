//! The codecs, one for each protocol, all of them without I/O: bytes in, messages out, and the other way.
//!
//! - [`mysql`]: clients; [`statement`]: the fields and the table group of what they ask.
//! - [`executor`]: the executors; [`coordinator`]: the list of them and their numbers.
//! - [`operator`]: the lines of the operators' address.

pub mod coordinator;
pub mod executor;
pub mod mysql;
pub mod operator;
pub mod statement;
