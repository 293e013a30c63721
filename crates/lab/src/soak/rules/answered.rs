//! Every request that was taken has one whole answer of its own before its client goes.

use super::*;
use crate::soak::records::{Answer, End, Exit, Request};

pub const NAME: &str = "answered";

/// An answer may come this long after its time.
const LATE: Duration = Duration::from_millis(500);
/// What comes so long after SIGTERM is nobody's loss.
const TAKEN_AFTER_STOP: Duration = Duration::from_millis(700);
/// A request that crosses the end of its connection within this time was not taken.
const CROSSING: Duration = Duration::from_millis(50);
/// By how much before the client's time a dispatcher means to answer; a standstill from then on can't be made up for.
const MARGIN: Duration = Duration::from_millis(250);
const MARGIN_PART: u32 = 8;
/// A dispatcher means to answer all so long before the platform's kill; one that stood still for much of it could not.
const LAST_ANSWERS: Duration = Duration::from_millis(600);
const WHILE_LAST_ANSWERS: Duration = Duration::from_millis(300);

pub fn check(records: &Records) -> Findings {
    let mut findings = Findings::default();
    for request in records.requests.iter().filter(|r| is_owed_an_answer(records, r)) {
        findings.checked += 1;
        let case =
            |what: String, at| Break { rule: NAME, rid: request.rid, process: request.process, at, what };
        match request.end {
            End::Answered(Answer::Rows { own: false }, at) => {
                findings.broken.push(case("rows that no executor made for it".into(), at));
            }
            End::Answered(..) if request.more => {
                findings.broken.push(case("a second answer".into(), request.due()));
            }
            End::Answered(_, at) | End::Unanswered(at) => {
                let limit = request.due() + LATE + SLACK;
                let meant = request.due().saturating_sub(MARGIN.min(request.budget / MARGIN_PART));
                let still = records.standstill(request.process.dispatcher, meant.max(request.wanted), at);
                let over = at.saturating_sub(limit);
                findings
                    .judge(over, still, || case(format!("no answer by {limit:?}: {:?}", request.end), at));
            }
            End::Closed(at) => {
                let still =
                    records.standstill(request.process.dispatcher, at.saturating_sub(LAST_ANSWERS), at);
                findings.judge(WHILE_LAST_ANSWERS, still, || {
                    case("its connection ended without an answer".into(), at)
                });
            }
            End::Left(_) => {}
        }
    }
    findings
}

/// Whether it was taken, and by a process that did not crash under it.
fn is_owed_an_answer(records: &Records, request: &Request) -> bool {
    let at = match request.end {
        End::Answered(_, at) | End::Unanswered(at) | End::Closed(at) => at,
        End::Left(_) => return false,
    };
    if matches!(request.end, End::Answered(..)) {
        return true;
    }
    let Some(incarnation) = records.incarnation(request.process) else { return false };
    let crashed = matches!(incarnation.ended, Some((_, Exit::Crashed)));
    let after_stop = incarnation.stopped.is_some_and(|t| request.written > t + TAKEN_AFTER_STOP);
    let never_read = records.attempts_of(request.rid).next().is_none();
    let closed = matches!(request.end, End::Closed(_));
    let crossed = closed && never_read && at < request.written + CROSSING + SLACK;
    !(crashed || after_stop && never_read || crossed || shut_in_a_crowd(records, request, at) && never_read)
}

/// Whether it came on a new connection while a crowd filled the descriptors: it may be shut unread then.
fn shut_in_a_crowd(records: &Records, request: &Request, at: Moment) -> bool {
    let of = records.crowds.iter().filter(|c| c.dispatcher == Some(request.process.dispatcher));
    let mut during = of.filter(|c| c.from <= at && request.written <= c.until + SLACK);
    request.on_new_connection && matches!(request.end, End::Closed(_)) && during.next().is_some()
}
