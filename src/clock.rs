//! Clocks. Deadlines and delays use the monotonic clock. The wall clock, which may be stepped by hours, is
//! read only to convert timestamps that come from other machines.
//!
//! [`now`] starts at the Unix time of its first call in this process, so its values read as wall clock times
//! unless the wall clock is stepped.

mod start_times;
mod wall;

pub use start_times::ExecutorStartTimes;
pub use wall::WallClock;

use crate::api::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The first reading of both clocks in this process.
struct Origin {
    instant: Instant,
    unix: Micros,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// Monotonic time in microseconds.
pub fn now() -> Micros {
    let origin = ORIGIN.get_or_init(|| Origin { instant: Instant::now(), unix: system_unix() });
    origin.unix + origin.instant.elapsed().as_micros() as Micros
}

/// Wall clock time, in microseconds since the Unix epoch.
pub fn unix() -> Micros {
    stepped(system_unix())
}

fn system_unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

#[cfg(not(test))]
fn stepped(unix: Micros) -> Micros {
    unix
}

#[cfg(test)]
fn stepped(unix: Micros) -> Micros {
    tests::stepped(unix)
}

/// Monotonic clock that caches its last reading. Tests can use a manually driven clock.
#[derive(Clone, Default)]
pub struct Clock {
    last: Micros,
    manual: Option<Rc<Cell<Micros>>>,
}

impl Clock {
    /// A manually driven clock that reads its time, in microseconds, from a cell.
    pub fn manual(time: Rc<Cell<Micros>>) -> Clock {
        Clock { last: 0, manual: Some(time) }
    }

    /// Current time in microseconds; never less than the previous reading.
    pub fn now(&mut self) -> Micros {
        let time = self.manual.as_ref().map_or_else(now, |time| time.get());
        self.last = self.last.max(time);
        self.last
    }

    /// The last value returned by [`Clock::now`].
    pub fn last(&self) -> Micros {
        self.last
    }
}

#[cfg(test)]
pub(crate) mod tests;
