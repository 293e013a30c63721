use super::*;
use proptest::prelude::*;

proptest! {
    // The end stood at 3.4 s, whatever the deadlines: where the longest is under 2.7 s the platform kills before that,
    // and what is unanswered by then is lost.
    #[test]
    fn all_is_answered_before_the_platform_kills(longest in 0..60_000_000u64) {
        let s = Shutdown::of(longest);
        let killed = longest.min(3_000_000) + 700_000;
        prop_assert!(s.gives_up >= TAKES_ON && s.gives_up <= s.ends);
        // Nothing is taken past `TAKES_ON`, so that with the shortest deadlines all is over by itself.
        prop_assert!(s.ends < killed || killed < TAKES_ON + END_AHEAD, "{:?}", s);
    }
}
