//! The machines of a fleet's executors: they go when they are handed over and come back, as the logs have it.

use crate::fleet::world::World;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A line of a dispatcher's log on an executor's step.
#[derive(Debug, Clone)]
pub struct Line {
    /// Which dispatcher.
    pub who: usize,
    /// Which executor.
    pub executor: usize,
    /// The step, and what is said of it.
    pub step: String,
    /// When it was written.
    pub at: SystemTime,
}

/// The time of day, in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Plays the machines' part: whoever is handed over goes, and comes back some time later unless it is to stay.
#[derive(Default)]
pub struct Machines {
    /// When those that are away come back.
    pub away: BTreeMap<usize, Option<Instant>>,
}

impl Machines {
    /// Moves those that are due.
    pub fn step(&mut self, world: &World, lines: &[Line], stays: Option<usize>, rng: &mut StdRng) {
        for l in lines.iter().filter(|l| l.step.starts_with("out")) {
            self.away.entry(l.executor).or_insert_with(|| {
                world.list(l.executor, "draining", 0);
                let back = Instant::now() + Duration::from_millis(rng.random_range(100..500));
                (stays != Some(l.executor)).then_some(back)
            });
        }
        let due: Vec<usize> = self
            .away
            .iter()
            .filter(|(_, t)| t.is_some_and(|t| t <= Instant::now()))
            .map(|(m, _)| *m)
            .collect();
        for executor in due {
            world.list(executor, "up", now_ms());
            self.away.remove(&executor);
        }
    }
}

/// The lines on executors' steps since the last time, which go to all lines too.
pub fn read(world: &World, all: &mut Vec<Line>) -> Vec<Line> {
    let mut new = Vec::new();
    world.read_logs(&mut |who, e| {
        if e.message() == "maintenance" {
            let executor = u64::from_str_radix(e.text("executor").trim_start_matches("s-"), 16).unwrap_or(1)
                as usize
                - 1;
            new.push(Line { who, executor, step: e.text("step").into(), at: e.at });
        }
    });
    all.extend(new.iter().cloned());
    new
}
