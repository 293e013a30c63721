use super::*;
use proptest::prelude::*;

proptest! {
    // Idle clients used up the descriptors while discovery was down, and none was left for the coordinator
    // watch when discovery came back. The shares together must fit within any configured limit.
    #[test]
    fn descriptor_shares_fit_within_the_limit(all in MIN_TOTAL..100_000usize) {
        let d = DescriptorShares::new(all);
        prop_assert!(d.max_open().get() <= all, "{:?} of {}", d, all);
        prop_assert!(d.clients >= all / 3, "clients may hold a third");
    }
}
