use super::*;
use proptest::prelude::*;

const KINDS: [Kind; 2] = [Kind { cores: 8.0, memory_mb: 0.0 }, Kind { cores: 12.0, memory_mb: 0.0 }];
const NOW: Micros = 20_000_000;

fn place() -> impl Strategy<Value = Option<Place>> {
    let some = (0..4u64, 0..2usize, proptest::option::of(0..NOW));
    proptest::option::of(some.prop_map(|(pool, kind, cold_since)| Place { pool, kind, cold_since }))
}

/// Executors as moves left them, by a plain table.
fn played(moves: &[(usize, Option<Place>)]) -> (Roster, BTreeMap<usize, Place>) {
    let (mut roster, mut table) = (Roster::default(), BTreeMap::new());
    for (i, to) in moves {
        let from = table.remove(i);
        roster.moves(*i, *i as ExecutorId, from, *to);
        to.map(|place| table.insert(*i, place));
    }
    (roster, table)
}

proptest! {
    // What is kept as the list changes is what a walk over the whole list would find.
    #[test]
    fn sums_are_those_of_a_walk(moves in proptest::collection::vec((0..30usize, place()), 0..200)) {
        let (roster, table) = played(&moves);
        let walk = |fits: fn(&Place) -> bool| table.values().filter(move |p| fits(p));
        let even = |pool: u64| pool % 2 == 0;
        prop_assert_eq!(roster.listed(), table.len());
        let all = walk(|p| p.pool % 2 == 0).count();
        prop_assert_eq!(roster.count(Part::All, even), all);
        let cold = walk(|p| p.pool % 2 == 0 && p.cold_since.is_some()).count();
        prop_assert_eq!(roster.count(Part::Cold, even), cold);
        prop_assert_eq!(roster.count(Part::Warm, even), all - cold);
        let cores: f64 = walk(|p| p.pool % 2 == 0).map(|p| KINDS[p.kind].cores).sum();
        prop_assert!((roster.cores(&KINDS, even) - cores).abs() < 1e-9);
        let aged = |p: &Place| p.cold_since.map(|t| KINDS[p.kind].cores * (NOW - t) as f64 / 1e6);
        let (cold_cores, cold_aged) = roster.cold_cores(&KINDS, NOW);
        let cores: f64 = walk(|p| p.cold_since.is_some()).map(|p| KINDS[p.kind].cores).sum();
        prop_assert!((cold_cores - cores).abs() < 1e-9);
        prop_assert!((cold_aged - table.values().filter_map(aged).sum::<f64>()).abs() < 1e-6);
        let first = table.iter().filter_map(|(i, p)| p.cold_since.map(|t| (t, *i))).min();
        prop_assert_eq!(roster.started_by(NOW), first.map(|(_, i)| i));
    }

    // A window holds the nearest, each once, and all where it is as long as the ring.
    #[test]
    fn windows_are_the_nearest_on_the_ring(
        moves in proptest::collection::vec((0..30usize, place()), 0..100),
        from in any::<u64>(),
        most in 0..40usize,
    ) {
        let (roster, table) = played(&moves);
        let mut near: Vec<(u64, usize)> =
            table.keys().map(|i| (point(*i as ExecutorId).wrapping_sub(from), *i)).collect();
        near.sort_unstable();
        near.truncate(most);
        let near: Vec<usize> = near.into_iter().map(|(_, i)| i).collect();
        prop_assert_eq!(roster.window(Part::All, |_| true, from, most), near);
        let mut all = roster.all(|_| true);
        all.sort_unstable();
        prop_assert_eq!(all, table.keys().copied().collect::<Vec<_>>());
    }
}
