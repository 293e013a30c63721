//! Bounds on request arrival times. A client's time budget starts when the client issues the request, but the
//! dispatcher only knows when it read the bytes. This module bounds the difference.
//!
//! - `occurrence`: the time interval in which an event happened.
//! - `key_spacing`: how long a client may have delayed a request for a key.

mod key_spacing;
mod occurrence;

pub use key_spacing::{KeySpacing, RequestSpacing};
pub use occurrence::Occurrence;
