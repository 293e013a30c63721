use super::*;
use proptest::prelude::*;

proptest! {
    // Idle clients filled the descriptors while discovery was down, and the feed found none when it came back: the
    // shares of all sides together have to fit, whatever the configuration allows.
    #[test]
    fn all_shares_fit_together(all in LEAST_TOTAL..100_000usize) {
        let d = DescriptorShares::new(all);
        prop_assert!(d.most_open().get() <= all, "{:?} of {}", d, all);
        prop_assert!(d.clients >= all / 3, "clients may hold a third");
    }
}
