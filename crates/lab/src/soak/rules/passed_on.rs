//! The time passed on with an attempt is no more than its client still waits, and 0.15 s.

use super::*;

pub const NAME: &str = "passed_on";

const OVER: Duration = Duration::from_millis(150);

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for request in &records.requests {
        for attempt in records.attempts_of(request.rid) {
            findings.checked += 1;
            // Its time counts from its last byte; what the client held back before is its own.
            let left = (request.written + request.budget).saturating_sub(attempt.at);
            let still = records.standstill(request.process.dispatcher, request.written, attempt.at);
            findings.judge(attempt.wait.saturating_sub(left + OVER + SLACK), still, || Break {
                rule: NAME,
                rid: request.rid,
                process: request.process,
                at: attempt.at,
                what: format!("{:?} passed on, {left:?} left", attempt.wait),
            });
        }
    }
    findings
}
