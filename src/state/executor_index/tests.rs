use super::*;
use proptest::prelude::*;

const KINDS: [Kind; 2] = [Kind { cores: 8.0, memory_mb: 0.0 }, Kind { cores: 12.0, memory_mb: 0.0 }];
const NOW: Micros = 20_000_000;

fn place() -> impl Strategy<Value = Option<Place>> {
    let some = (0..4u64, 0..2usize, proptest::option::of(0..NOW));
    proptest::option::of(some.prop_map(|(pool, kind, warming_since)| Place { pool, kind, warming_since }))
}

/// Executors as moves left them, by a plain table.
fn played(moves: &[(usize, Option<Place>)]) -> (ExecutorIndex, BTreeMap<usize, Place>) {
    let (mut executor_index, mut table) = (ExecutorIndex::default(), BTreeMap::new());
    for (i, to) in moves {
        let from = table.remove(i);
        executor_index.moves(*i, *i as ExecutorId, from, *to);
        to.map(|place| table.insert(*i, place));
    }
    (executor_index, table)
}

proptest! {
    // What is kept as the list changes is what a walk over the whole list would find.
    #[test]
    fn sums_are_those_of_a_walk(moves in proptest::collection::vec((0..30usize, place()), 0..200)) {
        let (executor_index, table) = played(&moves);
        let walk = |fits: fn(&Place) -> bool| table.values().filter(move |p| fits(p));
        let even = |pool: u64| pool % 2 == 0;
        prop_assert_eq!(executor_index.listed(), table.len());
        let all = walk(|p| p.pool % 2 == 0).count();
        prop_assert_eq!(executor_index.count(Part::All, even), all);
        let cold = walk(|p| p.pool % 2 == 0 && p.warming_since.is_some()).count();
        prop_assert_eq!(executor_index.count(Part::Cold, even), cold);
        prop_assert_eq!(executor_index.count(Part::Warm, even), all - cold);
        let cores: f64 = walk(|p| p.pool % 2 == 0).map(|p| KINDS[p.kind].cores).sum();
        prop_assert!((executor_index.cores(&KINDS, even) - cores).abs() < 1e-9);
        let aged = |p: &Place| p.warming_since.map(|t| KINDS[p.kind].cores * (NOW - t) as f64 / 1e6);
        let (warming_cores, cold_aged) = executor_index.warming_cores(&KINDS, NOW);
        let cores: f64 = walk(|p| p.warming_since.is_some()).map(|p| KINDS[p.kind].cores).sum();
        prop_assert!((warming_cores - cores).abs() < 1e-9);
        prop_assert!((cold_aged - table.values().filter_map(aged).sum::<f64>()).abs() < 1e-6);
        let first = table.iter().filter_map(|(i, p)| p.warming_since.map(|t| (t, *i))).min();
        prop_assert_eq!(executor_index.started_by(NOW), first.map(|(_, i)| i));
    }

    // A window holds the nearest, each once, and all where it is as long as the ring.
    #[test]
    fn windows_are_the_nearest_on_the_ring(
        moves in proptest::collection::vec((0..30usize, place()), 0..100),
        from in any::<u64>(),
        most in 0..40usize,
    ) {
        let (executor_index, table) = played(&moves);
        let mut near: Vec<(u64, usize)> =
            table.keys().map(|i| (ring_position(*i as ExecutorId).wrapping_sub(from), *i)).collect();
        near.sort_unstable();
        near.truncate(most);
        let near: Vec<usize> = near.into_iter().map(|(_, i)| i).collect();
        prop_assert_eq!(executor_index.window(Part::All, |_| true, from, most), near);
        let mut all = executor_index.all(|_| true);
        all.sort_unstable();
        prop_assert_eq!(all, table.keys().copied().collect::<Vec<_>>());
    }
}
