use super::*;

// A failing episode has to be seen again: its faults come from the seed alone.
#[test]
fn the_same_seed_draws_the_same_faults() {
    let all = |seed| -> Vec<Fault> { (0..50).map(|n| draw(seed, n, 5)).collect() };
    assert_eq!(all(3), all(3));
    assert_ne!(all(3), all(4));
    for (kind, _) in KINDS {
        assert!((0..400).any(|n| draw(3, n, 5).kind == kind), "{kind:?} is never drawn");
    }
}
