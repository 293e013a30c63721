//! A dispatcher listens within 10 s of its start, and ends by itself, with 0, before the platform kills it.

use super::*;
use crate::soak::records::Exit;

pub const NAME: &str = "ended_well";

const READY_WITHIN: Duration = Duration::from_secs(10);

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for incarnation in &records.incarnations {
        findings.checked += 1;
        let process = incarnation.process;
        let case = |at, what: &str| Break { rule: NAME, rid: 0, process, at, what: what.into() };
        let slow = incarnation.ready_after.saturating_sub(READY_WITHIN);
        findings.judge(slow, Duration::ZERO, || case(Duration::ZERO, "not ready within 10 s"));
        match (incarnation.stopped, incarnation.ended) {
            (_, Some((at, Exit::Itself { well: false }))) => findings.broken.push(case(at, "ended badly")),
            (None, Some((at, Exit::Itself { .. }))) => {
                findings.broken.push(case(at, "ended without a signal"))
            }
            (Some(stopped), Some((at, Exit::KilledAfterStop))) => {
                let still = records.standstill(process.dispatcher, stopped, at);
                findings.judge(SLACK, still, || case(at, "did not end before the platform's kill"));
            }
            _ => {}
        }
    }
    findings
}
