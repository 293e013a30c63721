//! What the followers of a group have seen.

use super::group::{Group, PATIENCE};
use crate::fleet::Failure;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::thread;
use std::time::{Duration, Instant};

/// What all followers have seen since the last report.
#[derive(Debug, Default)]
pub struct Report {
    /// Followers with a lease.
    pub leased: usize,
    /// The numbers that they act by.
    pub numbers: Vec<u64>,
    /// Bytes in and out since their start.
    pub bytes: [f64; 2],
    /// Snapshots since their start.
    pub snapshots: f64,
    /// Gaps in what was sent since their start.
    pub gaps: f64,
    /// When each acted first by a policy, in microseconds, by its number.
    pub in_force: BTreeMap<u64, Vec<u64>>,
    /// First and last time that any admitted by it.
    pub admitted: BTreeMap<u64, [u64; 2]>,
}

impl Group {
    /// What followers have seen, of the processes that run.
    pub fn report(&mut self, but: Option<usize>) -> Result<Report, Failure> {
        let mut report = Report::default();
        for (n, hollow) in self.hollow.iter_mut().enumerate().filter(|(n, _)| Some(*n) != but) {
            hollow.stdin.write_all(b"report\n")?;
            let mut line = String::new();
            hollow.stdout.read_line(&mut line)?;
            let told: Value = serde_json::from_str(&line).map_err(|e| format!("hollow process {n}: {e}"))?;
            let number = |name: &str| told[name].as_f64().unwrap_or(0.0);
            report.leased += number("leased") as usize;
            report.bytes[0] += number("bytes_in");
            report.bytes[1] += number("bytes_out");
            report.snapshots += number("snapshots");
            report.gaps += number("gaps");
            report.numbers.extend(told["numbers"].as_array().into_iter().flatten().filter_map(Value::as_u64));
            let in_force: BTreeMap<u64, Vec<u64>> = serde_json::from_value(told["in_force"].clone())?;
            in_force.into_iter().for_each(|(n, times)| report.in_force.entry(n).or_default().extend(times));
            let admitted: BTreeMap<u64, [u64; 2]> = serde_json::from_value(told["admitted"].clone())?;
            for (n, [first, last]) in admitted {
                for all in [&mut report.admitted, &mut self.admitted] {
                    let span = all.entry(n).or_insert([first, last]);
                    *span = [span[0].min(first), span[1].max(last)];
                }
            }
        }
        Ok(report)
    }

    /// How many times a policy was admitted by after a newer one was: the processes share a clock.
    pub fn late_admissions(&self) -> usize {
        let firsts = |number: u64| self.admitted.range(number + 1..).map(|(_, [first, _])| *first).min();
        self.admitted.iter().filter(|(n, [_, last])| firsts(**n).is_some_and(|first| first < *last)).count()
    }

    /// Waits until so many have a lease; how long it took.
    pub fn until_leased(&mut self, followers: usize) -> Result<Duration, Failure> {
        let begun = Instant::now();
        loop {
            let leased = self.report(None)?.leased;
            if leased >= followers {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > PATIENCE {
                return Err(format!("{leased} of {followers} have a lease").into());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}
