//! Invariants: asserted in debug builds; counted and logged in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Number of invariant violations since the start of the process.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts and logs a violation; called by the macro [`check_invariant!`](crate::check_invariant).
pub fn record_violation(what: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    tracing::error!(what, "invariant broken");
}

/// Checks an invariant: panics on a violation in debug builds, counts and logs it in release builds. Evaluates to the
/// condition.
#[macro_export]
macro_rules! check_invariant {
    ($cond:expr, $what:expr) => {{
        let holds: bool = $cond;
        debug_assert!(holds, "{}", $what);
        if !holds {
            $crate::invariant::record_violation($what);
        }
        holds
    }};
}
