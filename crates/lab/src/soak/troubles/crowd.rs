//! Idle clients that fill a dispatcher's descriptors.

use super::signals;
use crate::soak::records::Standstill;
use crate::soak::world::{World, lock};
use rand::Rng;
use rand::rngs::StdRng;
use standins::scripted::Client;
use std::thread;
use std::time::Duration;

/// More clients come than there are descriptors.
const MORE: usize = 30;

/// A crowd comes, rests, and goes.
pub fn comes(world: &World, rng: &mut StdRng) {
    let d = rng.random_range(0..world.plan.dispatchers);
    let rests = Duration::from_millis(rng.random_range(500..4_000));
    let from = world.now();
    let crowd: Vec<Client> = (0..world.plan.sockets + MORE)
        .filter_map(|_| Client::try_writes(world.dispatcher(d).0, "SET NAMES utf8mb4").ok())
        .collect();
    thread::sleep(rests);
    drop(crowd);
    let until = world.now();
    lock(&world.records).crowds.push(Standstill { dispatcher: Some(d), from, until });
}

/// A crowd before, during and after a stop.
pub fn comes_during_a_stop(world: &World, rng: &mut StdRng) {
    let mut own = rng.clone();
    thread::scope(|scope| {
        scope.spawn(|| comes(world, &mut own));
        thread::sleep(Duration::from_millis(200));
        // The same draw is the same dispatcher.
        signals::stop(world, rng, &["TERM"]);
    });
}
