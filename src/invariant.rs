//! What must hold is asserted in debug builds and counted in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// How often something that must hold did not, since the start.
pub fn broken() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// Counts one case; the macro [`must!`](crate::must) calls it.
pub fn count(what: &str) {
    BROKEN.fetch_add(1, Ordering::Relaxed);
    tracing::error!(what, "invariant broken");
}

/// Asserts in debug builds; in release builds counts and logs what did not hold. Its value is the condition.
#[macro_export]
macro_rules! must {
    ($cond:expr, $what:expr) => {{
        let holds: bool = $cond;
        debug_assert!(holds, "{}", $what);
        if !holds {
            $crate::invariant::count($what);
        }
        holds
    }};
}
