//! What the system says of a process: processor time, memory, descriptors.

use std::time::Duration;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time in seconds, of all its threads.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory: f64,
    /// Open descriptors.
    pub descriptors: f64,
}

/// Nanoseconds that each thread of a process has run, by the scheduler's own count.
fn run_ns(pid: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let of = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        text.split_whitespace().next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0)
    };
    tasks.map(of).sum()
}

/// What a process has used so far.
pub fn usage(pid: u32) -> Usage {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = resident.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    Usage {
        cpu_s: run_ns(pid) / 1e9,
        memory: kilobytes.unwrap_or(0.0) * 1024.0,
        descriptors: descriptors as f64,
    }
}

/// The part of a core that was used between two looks.
pub fn core_part(before: Usage, after: Usage, span: Duration) -> f64 {
    (after.cpu_s - before.cpu_s) / span.as_secs_f64()
}
