//! Executors that hang, die, are replaced, drain.

use crate::soak::world::World;
use rand::Rng;
use rand::rngs::StdRng;
use std::thread;
use std::time::Duration;

fn ms(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}

/// Has some executors, mostly all, hang while something is done.
pub fn while_some_hang(world: &World, rng: &mut StdRng, what: impl FnOnce()) {
    let chosen: Vec<usize> = (0..world.machines()).filter(|_| rng.random_bool(0.7)).collect();
    chosen.iter().for_each(|n| world.hang(*n, true));
    what();
    chosen.iter().for_each(|n| world.hang(*n, false));
}

/// Some executors hang for a while.
pub fn hang(world: &World, rng: &mut StdRng) {
    let length = ms(rng, 500, 5_000);
    while_some_hang(world, rng, || thread::sleep(length));
}

/// An executor dies, and a cold one has its address.
pub fn replaced(world: &World, rng: &mut StdRng) {
    let (n, after) = (rng.random_range(0..world.machines()), ms(rng, 0, 800));
    world.replace(n, after);
}

/// An executor drains, and is gone some time after.
pub fn drains(world: &World, rng: &mut StdRng) {
    let n = rng.random_range(0..world.machines());
    world.list(n, "draining", 0);
    thread::sleep(ms(rng, 500, 3_000));
    world.list(n, "removed", 0);
}
