//! What a request costs a fleet, in time and in processor time.

use super::clients::{Ended, Load, Traffic};
use super::world::{Shape, World};
use super::{Failure, part};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// What requests cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// A read took this long in the middle, in microseconds.
    pub p50_us: f64,
    /// And all but one in a hundred at most this.
    pub p99_us: f64,
    /// Processor time of all dispatchers a request, in microseconds.
    pub cpu_us: f64,
    /// Requests.
    pub requests: usize,
}

/// Requests one after the other from each of six clients, for a span once the fleet is warm.
pub fn cost(program: &Path, folder: &Path, shape: &Shape<'_>, span: Duration) -> Result<Cost, Failure> {
    let world = World::start(program, folder, shape)?;
    world.settled(&mut |_, _| ());
    let warm = Traffic::start(&world.doors, Load::new(6, Duration::ZERO, 1));
    thread::sleep(Duration::from_secs(1));
    warm.stop();
    let cpu = world.cpu_s();
    let traffic = Traffic::start(&world.doors, Load::new(6, Duration::ZERO, 2));
    thread::sleep(span);
    let accounts = traffic.stop();
    let used = world.cpu_s() - cpu;
    let reads = accounts.iter().filter(|a| !a.load && a.end == Some(Ended::Served));
    let mut took: Vec<f64> = reads.map(|a| a.took.as_secs_f64() * 1e6).collect();
    took.sort_by(f64::total_cmp);
    world.end();
    let cpu_us = used * 1e6 / accounts.len().max(1) as f64;
    Ok(Cost { p50_us: part(&took, 0.5), p99_us: part(&took, 0.99), cpu_us, requests: accounts.len() })
}
