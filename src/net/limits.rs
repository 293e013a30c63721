//! Time limits that several sides share.

use crate::api::Micros;

/// How long a look at the clients is valid, in microseconds. An attempt may begin no later than 0.1 s after its
/// client has left; the other half of that is for the way of what the client sent, and for the write itself.
pub(super) const CLIENT_POLL_VALID: Micros = 50_000;
/// After `LEAVE`, a client that has not asked anything yet is kept this long before it may be closed.
pub(super) const LEAVE_PATIENCE: Micros = 1_000_000;
