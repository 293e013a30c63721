//! When a request arrived, as far as that can be known. A client's time runs from the moment in which it wanted to send; what
//! is known here is when its bytes were read. This module bounds what lies between.
//!
//! - `occurrence`: a moment that was noticed only later.
//! - `key_spacing`: how long a client may have held a request of a key back.

mod key_spacing;
mod occurrence;

pub use key_spacing::{KeySpacing, Spaced};
pub use occurrence::Occurrence;
