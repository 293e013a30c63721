//! Loads are not retried, so that a failed attempt loses them: tests that they avoid executors that would fail them.

use crate::common::*;
use ottercroft::api::*;

/// Guards against a fault found with 160 dispatchers (`zone+mass`): executors that fail at once look idle, and each
/// dispatcher detected each of them on its own, often by losing a load. An idempotent request has to try them first.
#[test]
fn what_may_not_run_twice_goes_where_something_was_served_before() {
    let mut s = Settings { reports: Reports::OnProbe, probes: false, ..settings() };
    s.classes[1].idempotency = Idempotency::NotIdempotent;
    let mut rig = Rig::new(s, 2);
    // Executor 2 refuses everything without running it, so that nothing is known for or against it.
    let mut first = |class| {
        let (q, actions) = rig.arrive(class, 0.1);
        let executor = sent_to(&actions).expect("sent");
        if executor == 2 {
            rig.finish(q, 0, 2, Outcome::NotSent, 0.001);
        }
        rig.finish(q, u32::from(executor == 2), 1, Outcome::Ok, 0.1);
        rig.pass(S);
        executor
    };
    let mut at_2 = |class| (0..100).filter(|_| first(class) == 2).count();
    assert!(at_2(0) > 25, "what may be tried again goes to both");
    assert!(at_2(1) < 20, "what may not goes where something was served");
}
