//! A policy that a fleet agrees on and switches at one time: whether a request is ever admitted under the old one
//! after another was under the new, with faults in the middle of switches; against each dispatcher reading a file
//! of its own; and what a request costs.

mod check;
#[cfg(test)]
mod check_tests;
mod episode;
mod harm;
mod lane;
mod lines;
mod report;
mod sides;
mod switch;
mod trouble;

use crate::fleet::Failure;
use crate::fleet::cost::{Cost, cost};
use crate::fleet::lanes::beside;
use crate::fleet::quick;
use crate::fleet::world::Shape;
use harm::harm;
use lane::{Spans, shape};
use report::Report;
use sides::{BOTH, platform};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Pairs of costs, one after the other: with policies on, and without.
fn costs(program: &Path, folder: &Path, pairs: u32, span: Duration) -> Result<Vec<(Cost, Cost)>, Failure> {
    let settings = platform(&BOTH, false);
    let of = |pair: u32, on: bool| {
        let folder = folder.join(format!("cost-{pair}-{on}"));
        cost(program, &folder, &Shape { work: quick, ..shape(3, &settings, on) }, span)
    };
    // Whichever is first finds a colder machine: they take turns.
    let pair = |n: u32| match n % 2 {
        0 => of(n, true).and_then(|on| Ok((on, of(n, false)?))),
        _ => of(n, false).and_then(|off| Ok((of(n, true)?, off))),
    };
    (0..pairs).map(pair).collect()
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
    let spans = Spans::of(slice);
    let folder = std::env::temp_dir().join(format!("ottercroft-policy-{}", std::process::id()));
    let own_files = {
        let (program, folder): (PathBuf, PathBuf) = (program.into(), folder.join("own"));
        move || harm(&program, &folder, if slice { 1 } else { 30 }, seed, spans)
    };
    let own_files = thread::spawn(own_files);
    let all = beside(program, &folder, lanes, runs, move |t| lane::run(t, seed + u64::from(t.lane), spans))?;
    let harm = own_files.join().map_err(|_| "a fleet's thread ended in a panic")??;
    // Alone on the machine, as far as that goes.
    let costs =
        costs(program, &folder, if slice { 1 } else { 5 }, Duration::from_secs(if slice { 1 } else { 15 }))?;
    let _ = std::fs::remove_dir_all(&folder);
    Report { all, harm, costs, seed, slice }.tell(results)
}
