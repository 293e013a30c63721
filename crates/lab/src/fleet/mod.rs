//! What measurements of a fleet share: its world, the faults that strike it, clients with their accounts, what
//! holds of these whatever is measured, and fleets beside each other. A measurement adds its load and its checks.

pub(crate) mod accounts;
pub(crate) mod clients;
pub(crate) mod cost;
pub(crate) mod faults;
pub(crate) mod lanes;
pub(crate) mod reach;
pub(crate) mod world;

use crate::chart;
use standins::executor::Pull;
use std::error::Error;
use std::path::Path;
use std::time::Duration;

/// What a measurement ends with if it can't be made; it passes between threads.
pub type Failure = Box<dyn Error + Send + Sync>;

/// One zone, one kind; reads that may repeat, loads that must not run twice.
pub const SETTINGS: &str = r#"{"areas":["a"],"balancers":3,"kinds":["k"],"domain":{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1,1],"grantCap":0.4,"memoryHeeded":true,"takesPriority":true},"permissions":{"cancel":true,"maxAttempts":4,"mayDuplicate":false,"probes":true,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25},"report":{"how":"on_probe"},"requestClasses":[{"name":"read","promise":3.0,"hardLimit":6.0,"effect":"read_like"},{"name":"load","promise":4.0,"hardLimit":6.0,"effect":"non_idempotent"}],"rules":{"stopSendingWithin":0.5,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3},"zone":"a"}"#;

/// No start takes this long unless something hangs.
const PATIENCE: Duration = Duration::from_secs(20);

/// Executor time for requests whose cost is measured.
pub fn quick(_: &Pull) -> Duration {
    Duration::from_millis(1)
}

/// A quantile of sorted values; 0 of none.
pub fn part(sorted: &[f64], q: f64) -> f64 {
    let at = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(0.0)
}

/// Draws how many of 100 took at most how long, a line for each name with its sorted seconds.
pub fn curves(path: &Path, title: &str, of: &str, lines: &[(&str, &[f64])]) -> Result<(), Failure> {
    let line = |(name, sorted): &(&str, &[f64])| {
        let steps = sorted.iter().enumerate();
        let points = steps.map(|(i, t)| ((i + 1) as f64 / sorted.len() as f64 * 100.0, *t));
        (name.to_string(), points.collect())
    };
    let lines: Vec<chart::Line> = lines.iter().map(line).collect();
    chart::lines(path, title, [&format!("% of {of}"), "seconds"], &lines).map_err(|e| e.to_string().into())
}
