//! The control group on sockets: a dispatcher's connection to the member that it follows, and the member's process.
//!
//! Nothing of this runs unless our settings have a `control` block. The decisions are the [`fleet::control_plane`] module's.
//!
//! - [`link`]: a follower's connection.
//! - `server`: a member's connections to its followers.
//! - [`member`]: the loop of a member's process, which serves no clients.

mod calls;
pub mod link;
pub mod member;
mod node;
mod server;
mod setup;
mod stream;

pub use link::ControlLink;
pub use member::ControlMember;
