//! Loads, which are lost where they fail: what keeps them from executors that would lose them.

use crate::common::*;
use ottercroft::api::*;

/// Found on `zone+mass` (160 dispatchers): executors that fail at once look idle, and each dispatcher learned of each of
/// them by itself, often by a load, which is lost then. A request that may be tried again is the one to find out.
#[test]
fn what_may_not_run_twice_goes_where_something_was_served_before() {
    let mut s = Settings { reports: Reports::OnProbe, probes: false, ..settings() };
    s.classes[1].idempotency = Idempotency::NotIdempotent;
    let mut rig = Rig::new(s, 2);
    // Executor 2 turns all away, so that nothing is known against it and nothing for it.
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
