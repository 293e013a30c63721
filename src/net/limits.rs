//! Time limits shared by several components.

use crate::api::Micros;

/// How long a poll of the clients stays valid, in microseconds. An attempt must not start more than 0.1 s
/// after its client has disconnected; the other half of that is reserved for the transit of the client's data
/// and for the write itself.
pub(super) const CLIENT_POLL_VALID: Micros = 50_000;
/// After `LEAVE`, a client that has not sent a command yet is kept this long before it may be closed, in
/// microseconds.
pub(super) const LEAVE_GRACE: Micros = 1_000_000;
