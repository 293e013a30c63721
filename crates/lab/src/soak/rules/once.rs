//! What must not run twice reaches no two executors whole.

use super::*;

pub const NAME: &str = "once";

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for request in records.requests.iter().filter(|r| r.once) {
        findings.checked += 1;
        if let Some(second) = records.attempts_of(request.rid).nth(1) {
            let what = format!("a second attempt, at executor {}", second.executor);
            findings.broken.push(Break {
                rule: NAME,
                rid: request.rid,
                process: request.process,
                at: second.at,
                what,
            });
        }
    }
    findings
}
