//! A refusal promises that trying again is harmless, and tells when: what must not run twice is refused only if it never ran.

use super::*;
use crate::soak::records::{Answer, End};

pub const NAME: &str = "refused_harmlessly";

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for request in &records.requests {
        let End::Answered(Answer::Refused { told }, at) = request.end else { continue };
        findings.checked += 1;
        let ran = request.once && records.attempts_of(request.rid).next().is_some();
        let mut case = |what: &str| {
            let (rid, process, what) = (request.rid, request.process, what.into());
            findings.broken.push(Break { rule: NAME, rid, process, at, what });
        };
        if ran {
            case("refused, and it had reached an executor");
        }
        if !told {
            case("refused without a time to come back");
        }
    }
    findings
}
