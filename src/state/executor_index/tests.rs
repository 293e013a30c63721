use super::super::hash_ring::ring_position;
use super::*;
use proptest::prelude::*;

const KINDS: [Kind; 2] = [Kind { cores: 8.0, memory_mb: 0.0 }, Kind { cores: 12.0, memory_mb: 0.0 }];
const NOW: TimestampUs = 20_000_000;

fn entry() -> impl Strategy<Value = Option<IndexEntry>> {
    let some = (0..4u64, 0..2usize, proptest::option::of(0..NOW));
    proptest::option::of(some.prop_map(|(pool, kind, warming_since)| IndexEntry {
        pool,
        kind,
        warming_since,
    }))
}

/// Applies changes to an index and to a plain table of the same entries.
fn apply_changes(changes: &[(usize, Option<IndexEntry>)]) -> (ExecutorIndex, BTreeMap<usize, IndexEntry>) {
    let (mut index, mut table) = (ExecutorIndex::default(), BTreeMap::new());
    for (executor, after) in changes {
        let before = table.remove(executor);
        index.replace(*executor, *executor as ExecutorId, before, *after);
        after.map(|entry| table.insert(*executor, entry));
    }
    (index, table)
}

proptest! {
    // The index is updated incrementally. An aggregate that drifts from the list would skew every later decision, so
    // it has to equal the result of a walk over the whole list.
    #[test]
    fn aggregates_equal_those_of_a_walk(changes in proptest::collection::vec((0..30usize, entry()), 0..200)) {
        let (index, table) = apply_changes(&changes);
        let walk = |fits: fn(&IndexEntry) -> bool| table.values().filter(move |entry| fits(entry));
        let even = |pool: u64| pool % 2 == 0;
        prop_assert_eq!(index.listed_count(), table.len());
        let all = walk(|entry| entry.pool % 2 == 0).count();
        prop_assert_eq!(index.count(Part::All, even), all);
        let warming = walk(|entry| entry.pool % 2 == 0 && entry.warming_since.is_some()).count();
        prop_assert_eq!(index.count(Part::Warming, even), warming);
        prop_assert_eq!(index.count(Part::Warm, even), all - warming);
        let cores: f64 = walk(|entry| entry.pool % 2 == 0).map(|entry| KINDS[entry.kind].cores).sum();
        prop_assert!((index.cores(&KINDS, even) - cores).abs() < 1e-9);
        let core_seconds = |entry: &IndexEntry| {
            entry.warming_since.map(|since| KINDS[entry.kind].cores * (NOW - since) as f64 / 1e6)
        };
        let (warming_cores, warming_core_seconds) = index.warming_cores(&KINDS, NOW);
        let cores: f64 =
            walk(|entry| entry.warming_since.is_some()).map(|entry| KINDS[entry.kind].cores).sum();
        prop_assert!((warming_cores - cores).abs() < 1e-9);
        let walked: f64 = table.values().filter_map(core_seconds).sum();
        prop_assert!((warming_core_seconds - walked).abs() < 1e-6);
        let first = table.iter().filter_map(|(i, entry)| entry.warming_since.map(|since| (since, *i))).min();
        prop_assert_eq!(index.started_by(NOW), first.map(|(_, i)| i));
    }

    // A draw from a long list considers only a window of it. The window has to contain the nearest executors, each
    // once, and all of them if it is as long as the ring.
    #[test]
    fn windows_contain_the_nearest_executors_on_the_ring(
        changes in proptest::collection::vec((0..30usize, entry()), 0..100),
        from in any::<u64>(),
        limit in 0..40usize,
    ) {
        let (index, table) = apply_changes(&changes);
        let mut nearest: Vec<(u64, usize)> =
            table.keys().map(|i| (ring_position(*i as ExecutorId).wrapping_sub(from), *i)).collect();
        nearest.sort_unstable();
        nearest.truncate(limit);
        let nearest: Vec<usize> = nearest.into_iter().map(|(_, i)| i).collect();
        prop_assert_eq!(index.window(Part::All, |_| true, from, limit), nearest);
        let mut all = index.all(|_| true);
        all.sort_unstable();
        prop_assert_eq!(all, table.keys().copied().collect::<Vec<_>>());
    }
}
