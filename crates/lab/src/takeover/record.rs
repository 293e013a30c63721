//! What a large record costs: memory, and how long a peer that starts anew takes to have all of it.

use fleet::ledger::{Limits, Record};
use fleet::{Fleet, FleetConfig, Micros};
use std::time::Instant;

/// What was measured.
#[derive(Debug, Clone, Copy, Default)]
pub struct Large {
    /// Open requests on record.
    pub records: usize,
    /// Memory of one peer's record and log for them, in MB.
    pub memory_mb: f64,
    /// The whole record as it is sent, in MB.
    pub snapshot_mb: f64,
    /// From a peer's start to all on record there, in milliseconds of work, the network left out.
    pub catch_up_ms: f64,
    /// The longest turn of one peer meanwhile, in milliseconds.
    pub turn_ms: f64,
}

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("");
    line.trim().trim_end_matches(" kB").parse::<f64>().map_or(0.0, |kb| kb / 1024.0)
}

/// Three peers in one process, whose messages pass at once.
struct Three {
    fleets: Vec<Fleet>,
    now: Micros,
    slowest_ms: f64,
}

fn terms(me: u8, records: u32) -> FleetConfig {
    FleetConfig {
        me,
        peers: vec![1, 2, 3],
        lease: 1_000_000,
        margin: 100_000,
        tick: 30_000,
        batch_delay: 10_000,
        abandon_after: 10_000_000,
        limits: Limits { records, retention: 60_000_000 },
    }
}

impl Three {
    fn turn(&mut self) {
        self.now += 5_000;
        for i in 0..self.fleets.len() {
            let begun = Instant::now();
            self.fleets[i].tick(self.now);
            self.slowest_ms = self.slowest_ms.max(begun.elapsed().as_secs_f64() * 1e3);
        }
        for _ in 0..8 {
            let mut quiet = true;
            for i in 0..self.fleets.len() {
                for (to, message) in std::mem::take(&mut self.fleets[i].messages) {
                    quiet = false;
                    let begun = Instant::now();
                    self.fleets[usize::from(to) - 1].handle_message(self.now, i as u8 + 1, message);
                    self.slowest_ms = self.slowest_ms.max(begun.elapsed().as_secs_f64() * 1e3);
                }
                self.fleets[i].events.clear();
            }
            if quiet {
                break;
            }
        }
    }
}

/// Measures it with so many open requests.
pub fn large(records: usize) -> Large {
    let most = records as u32 + 1_000;
    let mut three = Three {
        fleets: (1..=3).map(|p| Fleet::new(terms(p, most), u64::from(p), 1_000_000)).collect(),
        now: 1_000_000,
        slowest_ms: 0.0,
    };
    let mut turns = 0;
    while three.fleets.iter().any(|f| f.holds(three.now).is_none()) && turns < 2_000 {
        three.turn();
        turns += 1;
    }
    let before = resident_mb();
    let statement =
        "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day".to_string();
    let mut next = 0;
    while next < records {
        for i in 0..3 {
            for _ in 0..100.min(records - next) {
                let record = Record {
                    attempt_id: next as u64,
                    class: 0,
                    tenant: Some(1),
                    key: None,
                    group: 17,
                    work_s: Some(0.8),
                    memory_mb: Some(96.0),
                    repeatable: true,
                    statement: Some(statement.clone()),
                    deadline: three.now + 3_600_000_000,
                    executors_tried: vec![3],
                    policy: 0,
                    digest: None,
                };
                three.fleets[i].open(three.now, 1 + next as u64, record, false);
                next += 1;
            }
        }
        three.turn();
    }
    (0..200).for_each(|_| three.turn());
    let held = three.fleets[0].ledger().map_or(0, |l| l.len());
    let memory_mb = (resident_mb() - before) / 3.0;
    let snapshot_mb = three.fleets[0].state().map_or(0.0, |l| l.encode().len() as f64 / 1e6);
    // One starts anew, and has to learn all of it.
    three.slowest_ms = 0.0;
    let last = three.fleets.iter().position(|f| !f.is_leader()).unwrap_or(2);
    three.fleets[last] = Fleet::new(terms(last as u8 + 1, most), 99, three.now + 1);
    let begun = Instant::now();
    let mut turns = 0;
    while three.fleets[last].ledger().map_or(0, |l| l.len()) < held && turns < 4_000 {
        three.turn();
        turns += 1;
    }
    let catch_up_ms = begun.elapsed().as_secs_f64() * 1e3;
    Large { records: held, memory_mb, snapshot_mb, catch_up_ms, turn_ms: three.slowest_ms }
}
