use super::*;
use proptest::prelude::*;

proptest! {
    // The end stood at 3.4 s, whatever the deadlines: where the longest is under 2.7 s the platform kills before that,
    // and what is unanswered by then is lost.
    #[test]
    fn all_is_answered_before_the_platform_kills(longest in 0..60_000_000u64) {
        let deadlines = ShutdownDeadlines::new(longest);
        let kill_after = longest.min(3_000_000) + 700_000;
        prop_assert!(deadlines.give_up_after >= ACCEPT_REQUESTS_FOR && deadlines.give_up_after <= deadlines.end_after);
        // Nothing is taken past `ACCEPT_REQUESTS_FOR`, so that with the shortest deadlines all is over by itself.
        let ends_by_itself = kill_after < ACCEPT_REQUESTS_FOR + END_BEFORE_KILL;
        prop_assert!(deadlines.end_after < kill_after || ends_by_itself, "{:?}", deadlines);
    }
}
