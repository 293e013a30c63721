//! Signals to dispatchers, in series, and kills.

use super::executors;
use crate::soak::world::World;
use rand::Rng;
use rand::rngs::StdRng;
use std::thread;
use std::time::Duration;

fn ms(rng: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(rng.random_range(from..to))
}

fn any_dispatcher(world: &World, rng: &mut StdRng) -> usize {
    rng.random_range(0..world.plan.dispatchers)
}

/// Three SIGHUPs within a second; the second one finds a faulty file.
pub fn rereads(world: &World, rng: &mut StdRng) {
    let d = any_dispatcher(world, rng);
    for text in [None, Some("{\"name\":"), None] {
        world.write_config(d, text);
        world.signal(d, "HUP");
        thread::sleep(ms(rng, 0, 400));
    }
    world.write_config(d, None);
}

/// A stop with these signals, one right after the other.
pub fn stop(world: &World, rng: &mut StdRng, signals: &[&str]) {
    let (d, apart, down) = (any_dispatcher(world, rng), ms(rng, 0, 300), ms(rng, 0, 500));
    world.stop(d, signals, apart, down);
}

/// A stop, and another of the process that has just begun.
pub fn stop_right_after_start(world: &World, rng: &mut StdRng) {
    let d = any_dispatcher(world, rng);
    world.stop(d, &["TERM"], Duration::ZERO, Duration::ZERO);
    world.stop(d, &["TERM"], Duration::ZERO, ms(rng, 0, 300));
}

/// A stop during which most executors hang.
pub fn stop_while_executors_hang(world: &World, rng: &mut StdRng) {
    let (d, before) = (any_dispatcher(world, rng), ms(rng, 50, 800));
    executors::while_some_hang(world, rng, || {
        thread::sleep(before);
        world.stop(d, &["TERM"], Duration::ZERO, Duration::ZERO);
    });
}

/// SIGKILL without a word.
pub fn crash(world: &World, rng: &mut StdRng) {
    let (d, down) = (any_dispatcher(world, rng), ms(rng, 0, 1_500));
    world.crash(d, down);
}
