//! Fleets beside each other, each with its share of the episodes.

use super::Failure;
use std::path::{Path, PathBuf};
use std::thread;

/// What one fleet of a measurement is to do.
#[derive(Debug, Clone)]
pub struct Task {
    /// The dispatcher's program.
    pub program: PathBuf,
    /// A folder of its own.
    pub folder: PathBuf,
    /// Its place among the fleets, from 0.
    pub lane: u32,
    /// Dispatchers that it has: three, or five for every other.
    pub dispatchers: usize,
    /// Its episodes, by number.
    pub numbers: Vec<u32>,
}

/// Runs episodes 0 to `runs` on so many fleets at once; what came of each fleet, by place.
pub fn beside<T: Send + 'static>(
    program: &Path,
    folder: &Path,
    lanes: u32,
    runs: u32,
    run: impl Fn(&Task) -> Result<T, Failure> + Clone + Send + 'static,
) -> Result<Vec<T>, Failure> {
    let lanes = lanes.max(1);
    let start = |lane: u32| {
        let task = Task {
            program: program.into(),
            folder: folder.join(lane.to_string()),
            lane,
            dispatchers: if lane % 2 == 0 { 3 } else { 5 },
            numbers: (0..runs).filter(|r| r % lanes == lane).collect(),
        };
        let run = run.clone();
        thread::spawn(move || run(&task))
    };
    let started: Vec<_> = (0..lanes).map(start).collect();
    started.into_iter().map(|l| l.join().map_err(|_| "a fleet's thread ended in a panic")?).collect()
}

#[cfg(test)]
mod tests;
