//! The bounds and spans of time of the loop and of what it looks after.

use crate::api::Micros;

/// Housekeeping: idle connections, counters.
pub(super) const SWEEP: Micros = 1_000_000;
pub(super) const COUNTERS: Micros = 10_000_000;
/// A turn of the loop that takes longer than this, or oversleeps so much, is logged.
pub(super) const SLOW_TURN: Micros = 20_000;
/// Accepting pauses this long when descriptors or memory have run out: a KILL may wait there, and has to be heeded while
/// a look at the clients is good.
pub(super) const ACCEPT_PAUSE: Micros = LOOK_VALID / 2;
/// Clients honour waits up to this where nothing is said.
pub(super) const LONGEST_WAIT: Micros = 1_000_000;
/// What a client too many is told to wait.
pub(super) const CLIENT_BACKOFF: Micros = 200_000;
/// Connections accepted in one turn at most, and what may wait to be.
pub(super) const ACCEPTS: usize = 64;
pub(super) const BACKLOG: usize = 1024;
/// An attempt may begin no later than 0.1 s after its client has left. A look at the clients is good for half of that;
/// the other half is for the way of what they sent, and for the write itself.
pub(super) const LOOK_VALID: Micros = 50_000;
/// Clients are looked after this often: pauses, and what they owe.
pub(super) const CLIENTS: Micros = 100_000;
/// A client that just connected has this long to say something before it may have to make room.
pub(super) const PATIENCE: Micros = 100_000;
/// Free buffers are kept up to this part of the memory.
pub(super) const KEPT_PART: f64 = 8.0;
/// After SIGTERM new work is taken so long: the platform lets connections come for 0.4 s and requests on open ones for
/// 0.2 s more, and what arrives after 0.7 s is nobody's loss.
pub(super) const TAKES_ON: Micros = 700_000;
pub(super) const STOP_LOOK: Micros = 20_000;
/// After `LEAVE`, a client that has not asked anything yet is let be this long before it may be closed.
pub(super) const LEAVE_PATIENCE: Micros = 1_000_000;
