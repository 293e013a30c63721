//! When a request arrived, as far as that can be known. A client's budget runs from the moment at which it wanted to
//! send; what is known here is when its bytes were read. This module bounds the time between.
//!
//! - `occurrence`: an event that was noticed some time after it happened.
//! - `key_spacing`: how long a client may have held back a request of a key.

mod key_spacing;
mod occurrence;

pub use key_spacing::{KeySpacing, RequestSpacing};
pub use occurrence::Occurrence;
