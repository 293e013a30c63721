//! Network side of the control group: a dispatcher's connection to the member that it follows, and the member's process.
//!
//! None of this runs without a `control` block in the settings. The protocol is in [`fleet::control_plane`].
//!
//! - [`link`]: a follower's connection.
//! - `server`: a member's connections to its followers.
//! - [`member`]: the event loop of a member's process, which serves no clients.

mod calls;
pub mod link;
pub mod member;
mod node;
mod server;
mod setup;
mod stream;

pub use link::ControlLink;
pub use member::ControlMember;
