//! No attempt begins once its request is over: after its answer, or 0.1 s after its client has left.

use super::*;
use crate::soak::records::End;

pub const NAME: &str = "begun_late";

/// An attempt may begin this long after its client has left.
const AFTER_LEAVING: Duration = Duration::from_millis(100);

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for request in &records.requests {
        let over = match request.end {
            End::Answered(_, at) => at,
            End::Left(at) | End::Unanswered(at) => at + AFTER_LEAVING,
            End::Closed(_) => continue,
        };
        findings.checked += 1;
        for attempt in records.attempts_of(request.rid) {
            let still =
                records.standstill(request.process.dispatcher, over.saturating_sub(SLACK), attempt.at);
            findings.judge(attempt.at.saturating_sub(over + SLACK), still, || Break {
                rule: NAME,
                rid: request.rid,
                process: request.process,
                at: attempt.at,
                what: format!("an attempt began, and its request was over at {over:?}: {:?}", request.end),
            });
        }
    }
    findings
}
