use super::super::list::tests::TWO_EXECUTORS;
use super::*;
use std::cell::Cell;

thread_local! {
    static SYNCS: Cell<u32> = const { Cell::new(0) };
}

/// Counts a sync of a file or directory on this thread.
pub(super) fn count_sync() {
    SYNCS.set(SYNCS.get() + 1);
}

/// Number of syncs on this thread.
pub(crate) fn syncs() -> u32 {
    SYNCS.get()
}

// A copy with a changed or missing byte must not be used at the next start.
#[test]
fn a_damaged_copy_is_rejected() {
    let file = ListFile::parse("f", "f", TWO_EXECUTORS).0.unwrap();
    let list = List::new(vec![file]);
    let at = std::env::temp_dir().join(format!("ottercroft-keep-{}.last-good", std::process::id()));
    save(&at, &list).unwrap();
    let back = load(&at, 1 << 20).unwrap();
    assert_eq!((back.digest, back.files[0].generation, back.len()), (list.digest, Some(4), 2));
    let good = fs::read(&at).unwrap();
    for i in 0..good.len() {
        let mut bad = good.clone();
        bad[i] ^= 1;
        fs::write(&at, &bad).unwrap();
        assert!(load(&at, 1 << 20).is_err(), "byte {i}");
        fs::write(&at, &good[..i]).unwrap();
        assert!(load(&at, 1 << 20).is_err(), "cut at {i}");
    }
    fs::write(&at, String::from_utf8(good).unwrap().replace("-good-1", "-good-2")).unwrap();
    assert!(load(&at, 1 << 20).unwrap_err().contains("another version"));
    fs::remove_file(&at).unwrap();
}

#[test]
fn an_acceptance_matches_one_list_and_the_newest_are_kept() {
    let at = std::env::temp_dir().join(format!("ottercroft-accept-{}", std::process::id()));
    let digest = Digest::of(b"x");
    for n in 0..40 {
        add_acceptance(&at, &digest.short(), n).unwrap();
    }
    let all = read_acceptances(&at);
    assert!(all.len() == MAX_ACCEPTANCES && all[0].at == 39 && all[0].matches(&digest));
    assert!(!all[0].matches(&Digest::of(b"y")));
    assert!(!Acceptance { digest: digest.short()[..8].into(), at: 0 }.matches(&digest));
    fs::remove_file(&at).unwrap();
}
