//! Sockets and what they share: buffers, system calls, and the file descriptors that each side may have.
//!
//! - `listen`, `dial`: how connections come in and go out.
//! - `buffers`: what was read and not understood yet, and what waits to be written.
//! - `descriptors`: how many connections each side may have.
//! - `system_calls`: which failures of a call are temporary; tests make calls fail here.

pub(in crate::net) mod buffers;
pub(in crate::net) mod descriptors;
pub(in crate::net) mod dial;
pub(in crate::net) mod listen;
pub(in crate::net) mod system_calls;
