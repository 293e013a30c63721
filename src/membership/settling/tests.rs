use super::*;
use proptest::prelude::*;

const SETTLE: Micros = 300_000;

fn stamp(version: u64, at: Micros) -> Stamp {
    let changed = i128::from(at) * 1_000;
    let name = "f".to_string();
    Stamp(vec![FileStamp { name, place: (1, version), size: 1, changed: (changed, changed) }])
}

fn whole(text: &[u8], sealed: bool) -> Read {
    Read::Whole { bytes: Digest::of(text), sealed }
}

// A seal proves that all is there: waiting would only cost time.
#[test]
fn a_sealed_file_is_judged_at_once_and_another_has_to_settle() {
    let mut s = Settling::new(SETTLE);
    assert_eq!(s.read(1_000_000, 1_000_000, &stamp(1, 900_000), whole(b"a", true)), Next::Judge);
    let changed = stamp(2, 1_000_000);
    assert!(s.wants(1_000_001, &changed));
    assert_eq!(s.read(1_000_001, 1_000_001, &changed, whole(b"b", false)), Next::ReadAt(1_300_001));
    assert_eq!(s.read(1_100_000, 1_100_000, &changed, whole(b"b", false)), Next::ReadAt(1_300_001));
    assert_eq!(s.read(1_300_001, 1_300_001, &changed, whole(b"b", false)), Next::Judge);
    assert!(!s.wants(1_400_000, &changed));
}

// A second write within the grain of the file system's clock leaves every stamp as it was: a young file is
// read once more, or its last write would never be seen. One whose time lies ahead is not read for ever.
#[test]
fn a_young_file_is_read_once_more() {
    let mut s = Settling::new(SETTLE);
    let young = stamp(1, 1_000_000);
    assert_eq!(s.read(1_000_001, 1_000_001, &young, whole(b"a", true)), Next::Judge);
    assert!(!s.wants(1_000_002, &young));
    let due = s.next_due().unwrap();
    assert!(s.wants(due, &young));
    assert_eq!(s.read(due, due, &young, whole(b"a2", true)), Next::Judge);
    assert!(!s.wants(due + GRAIN, &young) && s.next_due().is_none());
    let ahead = stamp(2, 99_000_000);
    s.read(2_000_000, 2_000_000, &ahead, whole(b"c", true));
    let due = s.next_due().unwrap();
    s.read(due, due, &ahead, whole(b"c", true));
    assert_eq!(s.next_due(), None);
}

proptest! {
    // A writer that never pauses for as long as the settling time while it is at work: whatever the reader's
    // pace, no half of a text is judged, and the last text is.
    #[test]
    fn no_half_written_text_is_judged(
        pieces in prop::collection::vec((1u64..SETTLE - 1, any::<bool>()), 1..40),
        looks in prop::collection::vec(1u64..200_000, 1..200),
    ) {
        // Each piece is a write; `true` ends a text, after which the writer rests for twice the settling time.
        let (mut at, mut writes) = (1_000_000, Vec::new());
        for (n, (pause, done)) in pieces.iter().enumerate() {
            at += if n > 0 && pieces[n - 1].1 { 2 * SETTLE } else { *pause };
            writes.push((at, n as u64, *done));
        }
        let last = writes.len() - 1;
        writes[last].2 = true;
        let (mut s, mut now, mut judged) = (Settling::new(SETTLE), 1_000_000, Vec::new());
        let mut looks = looks.into_iter().cycle();
        while now < at + 20 * SETTLE {
            if let Some((t, n, _)) = writes.iter().rev().find(|w| w.0 <= now) {
                let (st, text) = (stamp(*n, *t), n.to_le_bytes());
                if s.wants(now, &st) && s.read(now, now, &st, whole(&text, false)) == Next::Judge {
                    judged.push(*n);
                }
            }
            now += looks.next().unwrap_or(1);
        }
        for n in &judged {
            prop_assert!(writes[*n as usize].2, "judged {n} of {writes:?}");
        }
        prop_assert_eq!(judged.last().copied(), Some(last as u64));
    }
}
