//! Stand-ins for all that a dispatcher talks to, on loopback sockets.
//!
//! - [`scripted`]: peers that say what a test has them say, step by step, and the program between them.
//! - [`executor`]: an executor that works by itself: it answers after a while, heeds KILL and remembers all it got.
//! - [`fragile`]: an executor with a capacity, which starts cold and falls over.
//! - [`asks`]: clients that remember what they asked and got.
//! - [`delay`]: a link with a constant delay.
//! - [`link`]: a way between two processes that can be cut, silent, slow, late, and healed.
//! - [`feed`]: a coordinator that pushes changes of the list.
//!
//! They stand on the protocol's pages alone and share no code with the dispatcher, so that a mistake in its
//! codecs is not made twice. Whatever they send goes out in one write on a socket without delay: an answer
//! in pieces would wait for the peer's delayed acknowledgement, and every measured time would be wrong.

pub mod asks;
pub mod delay;
pub mod executor;
pub mod feed;
pub mod fragile;
pub mod link;
pub mod scripted;
