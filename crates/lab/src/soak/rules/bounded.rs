//! Descriptors and memory stay within their limits.

use super::*;

pub const NAME: &str = "bounded";

/// The limit of memory where the configuration names none.
const MEMORY_KB: u64 = 192 * 1024;

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for incarnation in &records.incarnations {
        findings.checked += 1;
        let (descriptors, memory) =
            (incarnation.descriptors > records.sockets, incarnation.memory_kb > MEMORY_KB);
        if descriptors || memory {
            let what = format!("{} descriptors, {} kB", incarnation.descriptors, incarnation.memory_kb);
            let at = incarnation.ended.map_or(Duration::ZERO, |(at, _)| at);
            findings.broken.push(Break { rule: NAME, rid: 0, process: incarnation.process, at, what });
        }
    }
    findings
}
