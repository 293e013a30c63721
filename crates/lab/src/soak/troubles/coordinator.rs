//! A coordinator that is silent, away or slow, with an executor that drains meanwhile or right after.

use super::executors;
use crate::soak::world::World;
use rand::Rng;
use rand::rngs::StdRng;
use standins::link::Weather;
use std::thread;
use std::time::Duration;

/// Nothing is heard of it for a while.
pub fn away(world: &World, rng: &mut StdRng) {
    let weather = [Weather::Silent, Weather::Cut, Weather::Late(800)][rng.random_range(0..3)];
    let span = Duration::from_millis(rng.random_range(500..5_000));
    let mut own = rng.clone();
    thread::scope(|scope| {
        scope.spawn(|| world.deafen(weather, span));
        thread::sleep(span / 2);
        executors::drains(world, &mut own);
    });
}
