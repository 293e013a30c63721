use super::*;

const KEY: u64 = 7;
const MS: Micros = 1_000;
const START: Micros = 1_000_000 * MS;

fn at(ms: Micros) -> Occurrence {
    Occurrence::at(START + ms * MS)
}

/// Earliest issue time of each request, in milliseconds from `START`. Each input is the arrival time in
/// milliseconds and whether the request opened a new connection.
fn issued(requests: &[(Micros, bool)]) -> Vec<Micros> {
    let mut spacing = KeySpacing::default();
    let spaced = requests.iter().map(|(ms, new)| spacing.record(KEY, at(*ms), *new));
    spaced.map(|s| (s.issued_at - START) / MS).collect()
}

#[test]
fn minimally_spaced_requests_may_have_been_issued_at_the_start_of_the_run() {
    assert_eq!(issued(&[(0, true), (250, true), (500, false), (560, false)]), [0, 0, 0, 0]);
    assert_eq!(issued(&[(0, false), (60, false), (120, false)]), [0, 0, 0]);
}

#[test]
fn requests_beyond_the_spacing_are_not_delayed() {
    assert_eq!(issued(&[(0, true), (301, true), (400, false)]), [0, 301, 301]);
    assert_eq!(issued(&[(0, false), (111, false), (222, true)]), [0, 111, 222]);
}

#[test]
fn the_protocol_tolerance_counts_as_delay() {
    assert_eq!(issued(&[(0, true), (300, false), (410, false)]), [0, 0, 0]);
}

#[test]
fn keys_are_independent() {
    let mut spacing = KeySpacing::default();
    spacing.record(KEY, at(0), true);
    let other = spacing.record(KEY + 1, at(100), true);
    assert_eq!(other, RequestSpacing { since_previous: None, issued_at: START + 100 * MS });
}

// A request that was read late may have arrived closer to the previous one, so it counts as possibly delayed.
#[test]
fn a_late_read_uses_the_worst_case() {
    let mut spacing = KeySpacing::default();
    spacing.record(KEY, at(0), false);
    let late = Occurrence::between(START + 90 * MS, START + 900 * MS);
    let spaced = spacing.record(KEY, late, false);
    assert_eq!(spaced, RequestSpacing { since_previous: Some(90 * MS), issued_at: START });
}

// At least a quarter of the budget is kept, however long the run.
#[test]
fn part_of_the_budget_is_always_kept() {
    let mut spacing = KeySpacing::default();
    let delays = (0..100).map(|n| {
        let arrived = at(n * 250);
        spacing.record(KEY, arrived, true).client_delay(arrived, 4_000 * MS) / MS
    });
    let expected = (0..100).map(|n| (n * 250).min(3_000));
    assert!(delays.eq(expected));
}

// Independent clients may request the same key at the same time.
#[test]
fn requests_closer_than_the_spacing_are_not_delayed() {
    assert_eq!(issued(&[(0, false), (5, false), (9, true), (12, false)]), [0, 5, 9, 12]);
}
