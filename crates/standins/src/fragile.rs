//! An executor with a capacity: it starts cold, grows slower as more is sent than it can do, and falls over when far
//! too much is.

use crate::executor::{Executor, Pull};
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What a fragile executor can do.
#[derive(Debug, Clone, Copy)]
pub struct Strength {
    /// Requests a second, warm.
    pub per_second: f64,
    /// What a request takes by itself.
    pub work: Duration,
    /// Share of the capacity at the start.
    pub cold_from: f64,
    /// How long it takes to be warm.
    pub ramp: Duration,
    /// Sent more than this multiple of the present capacity...
    pub multiple: f64,
    /// ...over this time, it falls over.
    pub fall: Duration,
}

struct State {
    started: Instant,
    /// When the work sent so far will be done.
    done_at: Instant,
    arrivals: VecDeque<Instant>,
    fallen: bool,
}

/// The executor, while it is up.
pub struct Fragile {
    /// The executor itself.
    pub executor: Executor,
    state: Arc<Mutex<State>>,
}

impl Fragile {
    /// Starts one, cold or warm.
    pub fn start(at: &str, strength: Strength, cold: bool) -> io::Result<Fragile> {
        let now = Instant::now();
        let started = if cold { now } else { now.checked_sub(strength.ramp).unwrap_or(now) };
        let state = State { started, done_at: now, arrivals: VecDeque::new(), fallen: false };
        let state = Arc::new(Mutex::new(state));
        let own = state.clone();
        let executor = Executor::at(at, false, move |_: &Pull| {
            own.lock().unwrap_or_else(PoisonError::into_inner).sent(&strength)
        })?;
        Ok(Fragile { executor, state })
    }

    /// Whether it fell over; its owner then ends it.
    pub fn fallen(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).fallen
    }
}

impl State {
    /// One more is sent: how long it takes.
    fn sent(&mut self, s: &Strength) -> Duration {
        let now = Instant::now();
        let done = (now.duration_since(self.started).as_secs_f64() / s.ramp.as_secs_f64().max(1e-9)).min(1.0);
        let capacity = s.per_second * (s.cold_from + (1.0 - s.cold_from) * done * done);
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|t| now.duration_since(*t) > s.fall) {
            self.arrivals.pop_front();
        }
        self.fallen |= self.arrivals.len() as f64 > s.multiple * capacity * s.fall.as_secs_f64();
        self.done_at = self.done_at.max(now) + Duration::from_secs_f64(1.0 / capacity);
        self.done_at.duration_since(now) + s.work
    }
}
