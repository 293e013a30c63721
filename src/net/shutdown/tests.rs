use super::*;
use proptest::prelude::*;

proptest! {
    // The exit used to be fixed at 3.4 s: with a longest deadline under 2.7 s the platform kills the process
    // before that, and unanswered requests are lost.
    #[test]
    fn the_process_exits_before_the_platform_kills_it(longest in 0..60_000_000u64) {
        let deadlines = ShutdownDeadlines::new(longest);
        let kill_after = longest.min(3_000_000) + 700_000;
        prop_assert!(deadlines.give_up_after >= ACCEPT_REQUESTS_FOR && deadlines.give_up_after <= deadlines.end_after);
        // No request is accepted after `ACCEPT_REQUESTS_FOR`, so with the shortest deadlines every request
        // has ended by then.
        let ends_by_itself = kill_after < ACCEPT_REQUESTS_FOR + END_BEFORE_KILL;
        prop_assert!(deadlines.end_after < kill_after || ends_by_itself, "{:?}", deadlines);
    }
}
