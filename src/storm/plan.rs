//! The retry plan: when each rejected client should retry. Sans-I/O.
//!
//! The time up to the longest wait that clients honour is divided into slots. A slot takes as many *reservations*
//! as there will be capacity for; a reservation is drawn at random among the slots with spare capacity, so that
//! clients are spread. Once all slots are full, further clients get no reservation: they are spread over the second
//! half of the longest wait and retry then, which is cheap to reject. With a longest wait of one second the plan is
//! thus renewed every second, and a rejection costs a look-up and a line.

use crate::api::Micros;
use rand_core::RngCore;
use std::collections::VecDeque;

/// The length of a slot.
pub const SLOT: Micros = 20_000;
/// Maximum number of slots, whatever wait clients honour.
const MAX_SLOTS: u64 = 3_000;
/// Tolerance around the reserved time within which a reservation is honoured.
pub const TOLERANCE: Micros = 150_000;

/// When to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryTime {
    /// The retry time.
    pub at: Micros,
    /// Whether capacity is reserved at that time, so that the retry has precedence.
    pub reserved: bool,
}

/// The reservations in future slots.
#[derive(Debug, Clone)]
pub struct Plan {
    longest: Micros,
    /// The number of the first slot in `reservations`.
    first: u64,
    /// Reservations by slot, from `first` on.
    reservations: VecDeque<f64>,
}

/// A uniform random number in [0, 1).
fn unit(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Plan {
    /// Creates a plan for clients that honour waits up to `longest`.
    pub fn new(longest: Micros) -> Plan {
        Plan { longest: longest.clamp(2 * SLOT, MAX_SLOTS * SLOT), first: 0, reservations: VecDeque::new() }
    }

    fn forget(&mut self, now: Micros) {
        let first = now / SLOT;
        while self.first < first && self.reservations.pop_front().is_some() {
            self.first += 1;
        }
        if self.reservations.is_empty() {
            self.first = first;
        }
    }

    /// Reservations in a slot that has not passed.
    pub fn reservations(&self, slot: u64) -> f64 {
        slot.checked_sub(self.first).and_then(|i| self.reservations.get(i as usize)).copied().unwrap_or(0.0)
    }

    /// Assigns a retry time. `admission_rate` is the number of requests per second that can be admitted at a time;
    /// `weight` is the share of this one.
    pub fn assign(
        &mut self,
        now: Micros,
        weight: f64,
        admission_rate: &dyn Fn(Micros) -> f64,
        rng: &mut impl RngCore,
    ) -> RetryTime {
        self.forget(now);
        let (from, to) = (now / SLOT + 1, (now + self.longest) / SLOT);
        let spare = |p: &Plan, slot: u64| {
            let all = admission_rate(slot * SLOT) * SLOT as f64 / 1e6;
            // The spare capacity of a slot may be less than one request; a reservation then covers several slots.
            (all - p.reservations(slot)).max(0.0)
        };
        let total: f64 = (from..to).map(|s| spare(self, s)).sum();
        if total < weight {
            let span = self.longest / 2;
            let at = now + span + (unit(rng) * span as f64) as Micros;
            return RetryTime { at, reserved: false };
        }
        let mut left = unit(rng) * total;
        let slot = (from..to).find(|s| {
            left -= spare(self, *s);
            left < 0.0
        });
        let slot = slot.unwrap_or(to - 1);
        self.reserve(slot, weight, &|p, s| spare(p, s), to);
        let at = slot * SLOT + (unit(rng) * SLOT as f64) as Micros;
        RetryTime { at: at.max(now + 1), reserved: true }
    }

    /// Charges a reservation to its slot, and what does not fit to neighbouring slots, so that no range of slots is
    /// overcommitted.
    fn reserve(&mut self, slot: u64, weight: f64, spare: &dyn Fn(&Plan, u64) -> f64, to: u64) {
        let mut left = weight;
        let around = (slot..to).chain((self.first..slot).rev());
        for s in around.collect::<Vec<_>>() {
            let part = spare(self, s).min(left);
            if part > 0.0 {
                let i = (s - self.first) as usize;
                if self.reservations.len() <= i {
                    self.reservations.resize(i + 1, 0.0);
                }
                self.reservations[i] += part;
                left -= part;
            }
            if left <= 1e-12 {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
