//! Tables, the chart and lines of what came of runs.

use super::{Fault, Outcome, large};
use crate::chart;
use hdrhistogram::Histogram;
use std::fmt::Write as _;
use std::path::Path;

/// The value below which this share of all lies.
pub(super) fn quantile(all: &[f64], share: f64) -> f64 {
    let mut h = Histogram::<u64>::new(3).expect("three digits are allowed");
    for ms in all {
        // It grows as it needs to, so that whatever was measured fits.
        let _ = h.record((ms * 1_000.0).round() as u64);
    }
    h.value_at_quantile(share) as f64 / 1_000.0
}

pub(super) fn describe(name: &str, o: &Outcome) -> String {
    format!(
        "{name}: swaps={} invalid={} taken wrongly={} emptied={} missed={} after drain={} slow turns={} memory={:?} kB {:?}",
        o.swaps,
        o.wrongs,
        o.wrongly_taken,
        o.emptied_taken,
        o.missed,
        o.after_drain,
        o.slow_turns,
        o.memory_kb.last().map(|m| m.1),
        o.counts
    )
}

/// Tables and the chart.
pub(super) fn keep(
    results: &Path,
    all: &Outcome,
    harms: &[(&str, u64, u64)],
    large: &large::Large,
) -> Result<(), Fault> {
    std::fs::create_dir_all(results)?;
    let mut table = String::from("way,swaps,p50_ms,p90_ms,p99_ms,max_ms\n");
    let mut lines = Vec::new();
    for (way, times) in &all.times {
        let q = |share| quantile(times, share);
        let most = times.iter().copied().fold(0.0, f64::max);
        let (n, name) = (times.len(), way.name());
        writeln!(table, "{name},{n},{:.2},{:.2},{:.2},{most:.2}", q(0.5), q(0.9), q(0.99))?;
        let points = (0..=100).map(|p| (f64::from(p), q(f64::from(p) / 100.0).max(0.01))).collect();
        lines.push((name.to_string(), points));
    }
    std::fs::write(results.join("time-to-in-force.csv"), table)?;
    let mut table = String::from("safeguard,harm_with_it,harm_without_it\n");
    harms.iter().try_for_each(|(name, with, without)| writeln!(table, "{name},{with},{without}"))?;
    std::fs::write(results.join("safeguards.csv"), table)?;
    let mut table = String::from("swaps,resident_kb\n");
    all.memory_kb.iter().try_for_each(|(n, kb)| writeln!(table, "{n},{kb}"))?;
    std::fs::write(results.join("memory.csv"), table)?;
    std::fs::write(results.join("large-list.csv"), large.table())?;
    let title = "From the swap of a valid list to in force, by way";
    chart::lines(&results.join("time-to-in-force.svg"), title, ["percentile", "milliseconds"], &lines)
}
