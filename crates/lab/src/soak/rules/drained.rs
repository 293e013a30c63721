//! No new work to an executor later than the grace after it was told to drain or to be gone.

use super::*;

pub const NAME: &str = "drained";

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for drain in &records.drains {
        findings.checked += 1;
        for attempt in records.attempts.iter().filter(|a| a.executor == drain.executor && a.at > drain.at) {
            let process = records.requests.iter().find(|r| r.rid == attempt.rid).map(|r| r.process);
            let Some(process) = process else { continue };
            let limit = drain.at + records.drain_grace + SLACK;
            let still = records.standstill(process.dispatcher, drain.at, attempt.at);
            findings.judge(attempt.at.saturating_sub(limit), still, || Break {
                rule: NAME,
                rid: attempt.rid,
                process,
                at: attempt.at,
                what: format!("new work for executor {}, told to drain at {:?}", drain.executor, drain.at),
            });
        }
    }
    findings
}
