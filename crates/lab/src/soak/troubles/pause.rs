//! Processes that stand still.

use crate::soak::world::World;
use rand::Rng;
use rand::rngs::StdRng;
use std::thread;
use std::time::Duration;

/// How long one stands still.
const LENGTH_MS: std::ops::Range<u64> = 10..2_000;
/// The same where it does so again and again, and how often.
const SHORT_MS: std::ops::Range<u64> = 10..400;
const TIMES: u32 = 8;

/// A dispatcher stands still once.
pub fn once(world: &World, rng: &mut StdRng) {
    let (d, length) = (rng.random_range(0..world.plan.dispatchers), rng.random_range(LENGTH_MS));
    stands_still(world, d, Duration::from_millis(length));
}

/// A dispatcher stands still again and again, and is told to reread its configuration in between.
pub fn with_rereads(world: &World, rng: &mut StdRng) {
    let d = rng.random_range(0..world.plan.dispatchers);
    for _ in 0..TIMES {
        stands_still(world, d, Duration::from_millis(rng.random_range(SHORT_MS)));
        world.signal(d, "HUP");
        thread::sleep(Duration::from_millis(rng.random_range(SHORT_MS)));
    }
}

fn stands_still(world: &World, d: usize, length: Duration) {
    let from = world.now();
    world.signal(d, "STOP");
    thread::sleep(length);
    world.signal(d, "CONT");
    world.stood_still(Some(d), from);
}
