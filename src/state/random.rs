//! Random numbers of a dispatcher, and hashes that are the same on all dispatchers.

use super::Balancer;
use crate::api::ExecutorId;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Uniformly distributed between 0 and 1, both excluded.
fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    ((rng.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Hash of a table group and an executor for rendezvous hashing: uniform between 0 and 1, the same on all
/// dispatchers.
pub(crate) fn rendezvous_hash(group: u64, executor: ExecutorId) -> f64 {
    uniform(&mut Pcg64Mcg::seed_from_u64(group ^ (u64::from(executor) << 32)))
}

/// Draws an index with probabilities in proportion to the weights; `random` is uniform between 0 and 1. Returns
/// `None` if there are no weights.
pub(crate) fn draw_weighted(weights: &[f64], random: f64) -> Option<usize> {
    let mut left = random * weights.iter().sum::<f64>();
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        left <= 0.0
    });
    drawn.or(weights.len().checked_sub(1))
}

impl Balancer {
    /// A random number between 0 and 1, both excluded, from the dispatcher's own generator.
    pub(crate) fn uniform_random(&mut self) -> f64 {
        uniform(&mut self.rng)
    }
}
