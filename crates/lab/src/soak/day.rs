//! One day: its world, traffic and troubles side by side, and what the rules say of the records.

use super::clients::{self, Clients};
use super::plan::Plan;
use super::records::{Process, Records, Standstill};
use super::rules::{self, Findings};
use super::world::{Lines, World, lock};
use crate::fleet::Failure;
use crate::lost::pauses::Pauses;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The harness looks at itself this often; later than this it stood still.
const LOOK: Duration = Duration::from_millis(5);
const STOOD_STILL: Duration = Duration::from_millis(20);
/// Descriptors and memory are looked at this often.
const SAMPLE: Duration = Duration::from_millis(250);

/// What a day came to.
pub struct Day {
    /// The day.
    pub plan: Plan,
    /// What was noted.
    pub records: Records,
    /// Log lines by process.
    pub logs: Vec<(Process, Lines)>,
    /// What each rule came to.
    pub findings: Vec<(&'static str, Findings)>,
}

/// Plays a day.
pub fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Day, Failure> {
    let world = World::start(plan, program, folder)?;
    let clients: Vec<Clients> = (0..plan.dispatchers).map(|_| Clients::default()).collect();
    thread::scope(|scope| {
        scope.spawn(|| watch_the_harness(&world));
        scope.spawn(|| sample(&world));
        let pauses = Pauses::start(world.pids(), plan.paused_percent);
        thread::scope(|of_the_day| {
            for strike in &plan.strikes {
                let world = &world;
                of_the_day.spawn(move || {
                    thread::sleep(strike.at.saturating_sub(world.now()));
                    strike.kind.strike(world, strike.seed);
                    lock(&world.records).troubles.push(strike.kind.name());
                });
            }
            clients::traffic(&world, &clients);
        });
        drop(pauses);
        world.over.store(true, Ordering::SeqCst);
    });
    let plan = plan.clone();
    let (records, logs) = world.end();
    let findings = rules::ALL.iter().map(|(name, check)| (*name, check(&records))).collect();
    Ok(Day { plan, records, logs, findings })
}

/// Notes when the harness itself was not let run.
fn watch_the_harness(world: &World) {
    while clients::goes_on(world) {
        let from = world.now();
        thread::sleep(LOOK);
        let until = world.now();
        if until - from > STOOD_STILL {
            lock(&world.records).standstills.push(Standstill { dispatcher: None, from, until });
        }
    }
}

fn sample(world: &World) {
    while clients::goes_on(world) {
        world.sample();
        thread::sleep(SAMPLE);
    }
}
