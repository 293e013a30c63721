//! The return plan: when each client that is turned away should come back. Sans-I/O.
//!
//! Time ahead is cut into slots up to the longest wait that clients honour. A slot takes so many *promises* as
//! there will be capacity for; a promise is drawn at random among the slots that still have room, so that clients
//! spread. Once all are full, nobody is promised anything: those are spread over the second half of the longest
//! wait and ask again there, at the cheapest point. So with a longest wait of one second the plan is drawn up anew
//! within every second, and a refusal costs a look-up and a line.

use crate::api::Micros;
use rand_core::RngCore;
use std::collections::VecDeque;

/// The length of a slot.
pub const SLOT: Micros = 20_000;
/// Slots at most, whatever clients honour.
const MOST_SLOTS: u64 = 3_000;
/// A promise is good for this long after its slot, and this long before.
pub const TOLERANCE: Micros = 150_000;

/// When to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// When, as a point in time.
    pub at: Micros,
    /// There will be room, and who comes then goes before who comes early.
    pub promised: bool,
}

/// The plan.
#[derive(Debug, Clone)]
pub struct Plan {
    longest: Micros,
    /// The number of the first slot that is kept.
    first: u64,
    /// Promises given by slot, from `first` on.
    given: VecDeque<f64>,
}

/// A number from 0 to 1, without 1.
fn unit(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

impl Plan {
    /// For clients that honour waits of so long at most.
    pub fn new(longest: Micros) -> Plan {
        Plan { longest: longest.clamp(2 * SLOT, MOST_SLOTS * SLOT), first: 0, given: VecDeque::new() }
    }

    fn forget(&mut self, now: Micros) {
        let first = now / SLOT;
        while self.first < first && self.given.pop_front().is_some() {
            self.first += 1;
        }
        if self.given.is_empty() {
            self.first = first;
        }
    }

    /// Promises given for a slot that is not over.
    pub fn given(&self, slot: u64) -> f64 {
        slot.checked_sub(self.first).and_then(|i| self.given.get(i as usize)).copied().unwrap_or(0.0)
    }

    /// When to come back. `room` tells how many a second there will be room for at a time; `weight` is what this
    /// one takes of that.
    pub fn give(
        &mut self,
        now: Micros,
        weight: f64,
        room: &dyn Fn(Micros) -> f64,
        rng: &mut impl RngCore,
    ) -> Return {
        self.forget(now);
        let (from, to) = (now / SLOT + 1, (now + self.longest) / SLOT);
        let spare = |p: &Plan, slot: u64| {
            let all = room(slot * SLOT) * SLOT as f64 / 1e6;
            // What is left of a slot may be less than one: promises then come to every so many slots.
            (all - p.given(slot)).max(0.0)
        };
        let total: f64 = (from..to).map(|s| spare(self, s)).sum();
        if total < weight {
            let span = self.longest / 2;
            let at = now + span + (unit(rng) * span as f64) as Micros;
            return Return { at, promised: false };
        }
        let mut left = unit(rng) * total;
        let slot = (from..to).find(|s| {
            left -= spare(self, *s);
            left < 0.0
        });
        let slot = slot.unwrap_or(to - 1);
        self.charge(slot, weight, &|p, s| spare(p, s), to);
        let at = slot * SLOT + (unit(rng) * SLOT as f64) as Micros;
        Return { at: at.max(now + 1), promised: true }
    }

    /// Books a promise on its slot; what does not fit there goes on to its neighbours, so that no sum of slots
    /// is ever promised more than it has.
    fn charge(&mut self, slot: u64, weight: f64, spare: &dyn Fn(&Plan, u64) -> f64, to: u64) {
        let mut left = weight;
        let around = (slot..to).chain((self.first..slot).rev());
        for s in around.collect::<Vec<_>>() {
            let part = spare(self, s).min(left);
            if part > 0.0 {
                let i = (s - self.first) as usize;
                if self.given.len() <= i {
                    self.given.resize(i + 1, 0.0);
                }
                self.given[i] += part;
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
