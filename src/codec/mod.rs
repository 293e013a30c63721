//! One codec per protocol, all sans-I/O: bytes to messages and messages to bytes.
//!
//! - [`mysql`]: clients; [`statement`]: the fields and the table group of their statements.
//! - [`executor`]: executors; [`coordinator`]: the executor list and the executors' numbers.
//! - [`operator`]: the lines of the operators' address.

pub mod coordinator;
pub mod executor;
pub mod mysql;
pub mod operator;
pub mod statement;
