//! A seeded soak: days that are made up, with whole dispatchers and several troubles at once, judged by the rules alone.
//!
//! - `plan`: a day, drawn from its seed.
//! - `world`: its processes; `clients`: its traffic; `troubles`: what goes wrong.
//! - `records`: what clients, executors and the system noted; `rules`: what must hold of it, one file each.
//! - `known_days`: days that are passed over; `day`: one day; `report`: what is printed and kept.

mod clients;
mod day;
mod known_days;
mod plan;
mod records;
mod report;
mod rules;
mod troubles;
mod world;

use crate::fleet::Failure;
use known_days::KnownDays;
use plan::Plan;
use report::Totals;
use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Which days to play.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Days {
    /// Their seeds.
    pub seeds: Vec<u64>,
    /// Days beside each other.
    pub lanes: usize,
    /// Where the logs of each day are kept, if they are.
    pub logs: Option<PathBuf>,
    /// The list of days to pass over, if there is one.
    pub known_red: Option<PathBuf>,
}

/// Plays the days and tells whether no rule was broken; tables go into the folder, if one is named.
pub fn prove(program: &Path, results: Option<&Path>, days: &Days) -> Result<bool, Failure> {
    if !program.is_file() {
        return Err(format!("{}: no such program; build it first", program.display()).into());
    }
    let known = days.known_red.as_deref().map(KnownDays::read).transpose()?.unwrap_or_default();
    let days = &Days { seeds: known.without_known(&days.seeds)?, ..days.clone() };
    known
        .entries()
        .for_each(|entry| println!("passed over, as it breaks for a fault not yet mended: {entry}"));
    let folder = std::env::temp_dir().join(format!("ottercroft-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let totals = play_all(program, &folder, days);
    let _ = std::fs::remove_dir_all(&folder);
    print!("{}", totals.rules_csv());
    if let Some(results) = results {
        std::fs::create_dir_all(results)?;
        std::fs::write(results.join("rules.csv"), totals.rules_csv())?;
        std::fs::write(results.join("troubles.csv"), totals.met_csv())?;
        let seeds: Vec<String> = days.seeds.iter().map(u64::to_string).collect();
        let (summary, broken, failed) = (totals.summary(), &totals.broken_days, &totals.failed);
        let text = format!("{summary}\nseeds: {}\nbroken: {broken:?}\nfailed: {failed:?}\n", seeds.join(" "));
        std::fs::write(results.join("days.txt"), text)?;
    }
    println!("{}", totals.summary());
    Ok(totals.broken() == 0 && totals.failed.is_empty())
}

fn play_all(program: &Path, folder: &Path, days: &Days) -> Totals {
    let (seeds, totals) = (Mutex::new(VecDeque::from(days.seeds.clone())), Mutex::<Totals>::default());
    thread::scope(|scope| {
        for _ in 0..days.lanes.max(1) {
            scope.spawn(|| {
                while let Some(seed) = { world::lock(&seeds).pop_front() } {
                    // A day that the harness can't play is told, and the others go on.
                    let played =
                        catch_unwind(AssertUnwindSafe(|| day::play(&Plan::draw(seed), program, folder)));
                    let mut totals = world::lock(&totals);
                    match played {
                        Ok(Ok(day)) => {
                            print!("{}", report::breaks(&day));
                            if let Some(logs) = &days.logs {
                                let kept = report::keep(&day, &logs.join(format!("day-{seed}")));
                                kept.unwrap_or_else(|e| println!("seed {seed}: logs not kept: {e}"));
                            }
                            totals.add(&day);
                        }
                        Ok(Err(e)) => {
                            println!("seed {seed}: not played: {e}");
                            totals.failed.push(seed);
                        }
                        Err(_) => {
                            println!("seed {seed}: not played: the harness panicked");
                            totals.failed.push(seed);
                        }
                    }
                }
            });
        }
    });
    totals.into_inner().unwrap_or_else(PoisonError::into_inner)
}
