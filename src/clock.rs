//! Time. Deadlines and waits are measured by the monotonic clock. The wall clock, which may be stepped by hours, is
//! read only where a time comes from outside.
//!
//! [`now`] counts microseconds from the Unix time at which this process first asked, so that its numbers can be read
//! as times of the wall clock as long as nobody steps that.

mod start_times;
mod wall;

pub use start_times::ExecutorStartTimes;
pub use wall::WallClock;

use crate::api::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The moment at which this process first asked for the time, on both clocks.
struct Origin {
    instant: Instant,
    unix: Micros,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// The time in microseconds, on a clock that never goes back and runs at the pace of real time.
pub fn now() -> Micros {
    let origin = ORIGIN.get_or_init(|| Origin { instant: Instant::now(), unix: system_unix() });
    origin.unix + origin.instant.elapsed().as_micros() as Micros
}

/// The wall clock's time, in microseconds since 1970.
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

/// The monotonic clock, with the last time that it gave; tests have one that stands still until it is set.
#[derive(Clone, Default)]
pub struct Clock {
    last: Micros,
    manual: Option<Rc<Cell<Micros>>>,
}

impl Clock {
    /// A clock that gives the time in the cell, in microseconds.
    pub fn manual(time: Rc<Cell<Micros>>) -> Clock {
        Clock { last: 0, manual: Some(time) }
    }

    /// The time in microseconds; never less than the time before.
    pub fn now(&mut self) -> Micros {
        let time = self.manual.as_ref().map_or_else(now, |time| time.get());
        self.last = self.last.max(time);
        self.last
    }

    /// The last time that [`Clock::now`] gave.
    pub fn last(&self) -> Micros {
        self.last
    }
}

#[cfg(test)]
pub(crate) mod tests;
