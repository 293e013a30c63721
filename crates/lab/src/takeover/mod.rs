//! Work in hand survives the loss of its dispatcher: fleets under seeded faults, what a request costs with peers
//! and without, and a large record.

mod lane;
mod record;
mod report;

use crate::fleet::Failure;
use crate::fleet::cost::cost;
use crate::fleet::lanes::beside;
use crate::fleet::world::Shape;
use report::Report;
use standins::executor::Pull;
use std::path::Path;
use std::time::Duration;

/// Takeover has to be faster than this in 99 of 100, in seconds.
const FASTEST: f64 = 2.0;
/// A request that may repeat may wait this much longer with peers on, in the middle, in microseconds.
const ADDED: f64 = 20.0;
/// What heals needs this long before the next episode.
const REST: Duration = Duration::from_millis(900);

fn work(p: &Pull) -> Duration {
    // By its own text, so that it takes as long wherever it runs.
    let spread = p.statement.bytes().fold(0_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b))) % 5;
    Duration::from_millis(if p.class() == "load" { 150 + 80 * spread } else { 80 + 80 * spread })
}

fn shape(dispatchers: usize) -> Shape<'static> {
    Shape { dispatchers, work, ..Shape::default() }
}

/// The whole measurement; whether all aims were met.
pub fn prove(
    program: &Path,
    results: &Path,
    runs: u32,
    lanes: u32,
    seed: u64,
    slice: bool,
) -> Result<bool, Failure> {
    let (runs, lanes) = if slice { (6, 2) } else { (runs, lanes.max(1)) };
    let folder = std::env::temp_dir().join(format!("ottercroft-takeover-{}", std::process::id()));
    let all = beside(program, &folder, lanes, runs, move |t| lane::run(t, seed + u64::from(t.lane)))?;
    let span = Duration::from_secs(if slice { 2 } else { 15 });
    let mut costs = Vec::new();
    for round in 0..if slice { 1 } else { 3 } {
        for with_peers in [false, true] {
            let folder = folder.join(format!("cost-{round}-{with_peers}"));
            let shape = Shape { with_peers, ..Shape::default() };
            costs.push((with_peers, cost(program, &folder, &shape, span)?));
        }
    }
    let large = record::large(if slice { 5_000 } else { 100_000 });
    let _ = std::fs::remove_dir_all(&folder);
    let report = Report { all, costs, large, seed, slice };
    report.tell(results)
}
