use super::*;
use rand::SeedableRng;

// A kind of trouble that is never drawn would stand in the table with nothing behind it.
#[test]
fn all_troubles_are_drawn_and_the_same_seed_draws_the_same() {
    let drawn = |seed| -> Vec<Trouble> {
        let mut rng = StdRng::seed_from_u64(seed);
        (0..1_000).map(|_| Trouble::draw(&mut rng)).collect()
    };
    assert_eq!(drawn(7), drawn(7));
    let all = drawn(7);
    assert!(Trouble::all().iter().all(|(t, _)| all.contains(t)));
}
