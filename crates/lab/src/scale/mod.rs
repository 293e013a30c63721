//! What the fleet costs at a size that fits no one machine: slopes measured over smaller sizes, and a control group
//! with 1,600 hollow followers.
//!
//! - [`list`], [`connections`], [`control`], [`changes`], [`faults`]: the measurements, a table each.
//! - [`mod@hollow`]: followers without clients, some hundred to a process.
//! - [`page`]: the figures of the capacity page, made of the kept tables.

mod changes;
mod connections;
mod control;
mod faults;
mod fit;
mod group;
mod hollow;
mod hollow_follower;
mod list;
mod page;
mod process;
mod report;
mod table;

pub use hollow::HollowArgs;
pub use table::Table;

use crate::fleet::Failure;
use group::Shape;
use std::path::Path;
use std::time::Duration;

/// One part of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// The executors' list.
    List,
    /// Clients' connections.
    Connections,
    /// A control group at rest.
    Control,
    /// Changes, with members at one place.
    Changes,
    /// Changes, with members in several regions.
    Regions,
    /// Changes under faults.
    Faults,
}

/// The size that the operators expect.
pub const FOLLOWERS: usize = 1_600;
/// Members of the group: the machines set aside.
pub const MEMBERS: usize = 7;
/// From the call of a change to in force at all, in seconds.
const MOST_CHANGE: f64 = 3.0;

/// Runs followers in this process.
pub fn hollow(arguments: &HollowArgs) -> Result<(), Failure> {
    hollow::run(arguments)
}

/// Compares the page's figures with the kept tables; with `write`, makes them anew.
pub fn check_page(results: &Path, page: &Path, write: bool) -> Result<bool, Failure> {
    page::check(results, page, write)
}

/// Measures; a slice is short and keeps nothing.
pub fn prove(program: &Path, results: &Path, slice: bool, part: Option<Part>) -> Result<bool, Failure> {
    let folder = std::env::temp_dir().join(format!("ottercroft-scale-{}", std::process::id()));
    let done = if slice { prove_slice(program, &folder) } else { prove_all(program, &folder, results, part) };
    let _ = std::fs::remove_dir_all(&folder);
    done
}

fn prove_all(program: &Path, folder: &Path, results: &Path, part: Option<Part>) -> Result<bool, Failure> {
    std::fs::create_dir_all(results)?;
    let wanted = |p: Part| part.is_none_or(|only| only == p);
    let keep = |name: &str, table: &Table| table.write(&results.join(name));
    if wanted(Part::List) {
        keep("list.csv", &list::measure(program, folder, &[60, 240, 960, 1_920, 3_300])?)?;
    }
    if wanted(Part::Connections) {
        let sizes = [100, 500, 1_000, 2_000, 3_000];
        keep("connections.csv", &connections::measure(program, folder, &sizes)?)?;
    }
    if wanted(Part::Control) {
        let sizes = [(3, 100), (3, 400), (3, 800), (3, 1_600), (5, 1_600), (7, 100), (7, 800), (7, 1_600)];
        keep("control.csv", &control::at_rest(program, folder, &sizes, Duration::from_secs(10))?)?;
    }
    if wanted(Part::Changes) {
        let table = changes::measure(program, folder, (MEMBERS, FOLLOWERS), &[0], (30, 100))?;
        keep("changes.csv", &table)?;
    }
    if wanted(Part::Regions) {
        let table = changes::measure(program, folder, (MEMBERS, FOLLOWERS), &[20, 40, 75], (10, 100))?;
        keep("regions.csv", &table)?;
    }
    if wanted(Part::Faults) {
        let outcomes = faults::measure(program, folder, shape(MEMBERS, FOLLOWERS, 7, 20), 3)?;
        std::fs::write(results.join("faults.md"), faults::markdown(&outcomes))?;
    }
    summary(results)
}

fn shape(members: usize, followers: usize, processes: usize, sample_ms: u64) -> Shape {
    Shape { members, followers, processes, delay: Duration::ZERO, sample_ms }
}

/// The figures of what is kept, in one line; whether the aims are met.
fn summary(results: &Path) -> Result<bool, Failure> {
    let mut most = 0.0_f64;
    let mut late = 0.0;
    let mut line = String::from("scale:");
    for (name, file) in [("changes", "changes.csv"), ("regions", "regions.csv")] {
        let Ok(table) = Table::read(&results.join(file)) else { continue };
        for burst in [0.0, 1.0] {
            let rows = table.points("one_way_ms", "last_most_s", |row| row("burst") == burst);
            let worst = rows.iter().map(|p| p.1).fold(0.0, f64::max);
            let kind = if burst > 0.0 { "burst" } else { "one_by_one" };
            line += &format!(" {name}_{kind}_most_s={worst:.3}");
            most = most.max(worst);
        }
        late += table.points("one_way_ms", "late_admissions", |_| true).iter().map(|p| p.1).sum::<f64>();
    }
    let met = most <= MOST_CHANGE && late == 0.0;
    println!("{line} late_admissions={late} aims={}", if met { "met" } else { "missed" });
    Ok(met)
}

/// Three members, sixty followers, a few changes, a member lost.
fn prove_slice(program: &Path, folder: &Path) -> Result<bool, Failure> {
    let shape = shape(3, 60, 3, 20);
    let mut group = group::Group::start(program, folder, shape)?;
    let took = changes::one_by_one(&mut group, 5, shape.followers)?;
    let late = group.late_admissions();
    drop(group);
    let outcomes = faults::measure(program, folder, shape, 1)?;
    let late = late + outcomes.iter().map(|o| o.late_admissions).sum::<usize>();
    let worst = outcomes.iter().map(|o| o.in_force_s).fold(0.0, f64::max);
    println!(
        "scale: slice=1 changes={} most_s={:.3} faults={} faults_most_s={worst:.3} late_admissions={late}",
        took.last.len(),
        took.last.last().copied().unwrap_or(0.0),
        outcomes.len(),
    );
    // Times hang on the machine; what must never be is what the verdict is about.
    Ok(late == 0)
}
