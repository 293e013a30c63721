//! Sockets and their shared infrastructure: buffers, system calls and file descriptor limits.
//!
//! - `listen`, `dial`: incoming and outgoing connections.
//! - `buffers`: unparsed input and pending output.
//! - `descriptors`: maximum number of connections of each kind.
//! - `system_calls`: wrappers that classify temporary failures and inject faults in tests.

pub(in crate::net) mod buffers;
pub(in crate::net) mod descriptors;
pub(in crate::net) mod dial;
pub(in crate::net) mod listen;
pub(in crate::net) mod system_calls;
