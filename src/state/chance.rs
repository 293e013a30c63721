//! Chance: a dispatcher's own draws, and numbers that come out alike at all dispatchers.

use super::*;
use rand_core::RngCore;

/// Uniform in 0 to 1, the ends left out.
fn unit(rng: &mut Pcg64Mcg) -> f64 {
    ((rng.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Uniform in 0 to 1, the same for the same pair everywhere.
pub(crate) fn hashed(group: u64, executor: ExecutorId) -> f64 {
    unit(&mut Pcg64Mcg::seed_from_u64(group ^ (u64::from(executor) << 32)))
}

/// The place that a point from 0 to 1 falls on, by weight.
pub(crate) fn weighted(weights: &[f64], point: f64) -> Option<usize> {
    let mut left = point * weights.iter().sum::<f64>();
    let hit = weights.iter().position(|w| {
        left -= w;
        left <= 0.0
    });
    hit.or(weights.len().checked_sub(1))
}

impl Balancer {
    /// Uniform in 0 to 1, from the dispatcher's own seed.
    pub(crate) fn chance(&mut self) -> f64 {
        unit(&mut self.rng)
    }
}
