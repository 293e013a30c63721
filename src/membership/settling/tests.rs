use super::*;
use proptest::prelude::*;

const SETTLE: Micros = 300_000;

fn stamp(version: u64, at: Micros) -> Stamp {
    let changed = i128::from(at) * 1_000;
    let name = "f".to_string();
    Stamp(vec![FileStamp { name, device_and_inode: (1, version), size: 1, changed_at: (changed, changed) }])
}

fn complete(text: &[u8], sealed: bool) -> ReadResult {
    ReadResult::Complete { bytes: Digest::of(text), sealed }
}

// A seal proves that the text is complete: waiting would only cost time.
#[test]
fn a_sealed_file_is_validated_at_once_and_an_unsealed_one_has_to_settle() {
    let mut s = SettleTracker::new(SETTLE);
    assert_eq!(
        s.read_finished(1_000_000, 1_000_000, &stamp(1, 900_000), complete(b"a", true)),
        NextStep::Validate
    );
    let changed = stamp(2, 1_000_000);
    assert!(s.needs_read(1_000_001, &changed));
    assert_eq!(
        s.read_finished(1_000_001, 1_000_001, &changed, complete(b"b", false)),
        NextStep::ReadAt(1_300_001)
    );
    assert_eq!(
        s.read_finished(1_100_000, 1_100_000, &changed, complete(b"b", false)),
        NextStep::ReadAt(1_300_001)
    );
    assert_eq!(s.read_finished(1_300_001, 1_300_001, &changed, complete(b"b", false)), NextStep::Validate);
    assert!(!s.needs_read(1_400_000, &changed));
}

// A second write within the granularity of the file system's clock leaves the stamp unchanged: a recently changed file
// is read again, or its last write would be missed. A file with a time in the future is read again only once.
#[test]
fn a_recently_changed_file_is_read_again_once() {
    let mut s = SettleTracker::new(SETTLE);
    let recent = stamp(1, 1_000_000);
    assert_eq!(s.read_finished(1_000_001, 1_000_001, &recent, complete(b"a", true)), NextStep::Validate);
    assert!(!s.needs_read(1_000_002, &recent));
    let due = s.next_due().unwrap();
    assert!(s.needs_read(due, &recent));
    assert_eq!(s.read_finished(due, due, &recent, complete(b"a2", true)), NextStep::Validate);
    assert!(!s.needs_read(due + CLOCK_GRANULARITY, &recent) && s.next_due().is_none());
    let ahead = stamp(2, 99_000_000);
    s.read_finished(2_000_000, 2_000_000, &ahead, complete(b"c", true));
    let due = s.next_due().unwrap();
    s.read_finished(due, due, &ahead, complete(b"c", true));
    assert_eq!(s.next_due(), None);
}

proptest! {
    // A writer never pauses for the settling time in the middle of a text: whenever the reader checks, no partial text is
    // validated, and the last text is.
    #[test]
    fn no_partially_written_text_is_validated(
        pieces in prop::collection::vec((1u64..SETTLE - 1, any::<bool>()), 1..40),
        check_intervals in prop::collection::vec(1u64..200_000, 1..200),
    ) {
        // Each piece is a write; `true` ends a text, after which the writer pauses for twice the settling time.
        let (mut at, mut writes) = (1_000_000, Vec::new());
        for (n, (pause, done)) in pieces.iter().enumerate() {
            at += if n > 0 && pieces[n - 1].1 { 2 * SETTLE } else { *pause };
            writes.push((at, n as u64, *done));
        }
        let last = writes.len() - 1;
        writes[last].2 = true;
        let (mut s, mut now, mut validated) = (SettleTracker::new(SETTLE), 1_000_000, Vec::new());
        let mut check_intervals = check_intervals.into_iter().cycle();
        while now < at + 20 * SETTLE {
            if let Some((t, n, _)) = writes.iter().rev().find(|w| w.0 <= now) {
                let (st, text) = (stamp(*n, *t), n.to_le_bytes());
                if s.needs_read(now, &st) && s.read_finished(now, now, &st, complete(&text, false)) == NextStep::Validate {
                    validated.push(*n);
                }
            }
            now += check_intervals.next().unwrap_or(1);
        }
        for n in &validated {
            prop_assert!(writes[*n as usize].2, "validated {n} of {writes:?}");
        }
        prop_assert_eq!(validated.last().copied(), Some(last as u64));
    }
}
