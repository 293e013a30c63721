use super::*;

// An executor in both the feed and a file belongs to the source of higher precedence, whatever the other one lists.
// When that source removes it, the other one owns it.
#[test]
fn an_executor_has_one_owner() {
    let mut m = Members::new(settings(&["f", "feed"]));
    m.update_feed(S, true, &[fed(1, 1, State::Up), fed(2, 2, State::Up)]);
    m.update_list(2 * S, "f", list(None, &[(1, 1, 1.0, false), (3, 3, 1.0, true)]));
    let draining = ("e1".to_string(), State::Draining);
    assert_eq!(states(&m), [&[draining][..], &up(&["e2", "e3"])].concat());
    assert_eq!(
        changes(&m.update_feed(3 * S, false, &[fed(1, 1, State::Removed), fed(2, 2, State::Removed)])),
        [("e2", State::Removed)]
    );
    m.update_feed(4 * S, false, &[fed(1, 1, State::Up)]);
    assert_eq!(changes(&m.update_list(5 * S, "f", list(None, &[(3, 3, 1.0, true)]))), [("e1", State::Up)]);
}

// One machine under two uids would get twice its share: the address belongs to the first source, and the ignored entry
// is reported once.
#[test]
fn an_address_has_one_executor_across_sources() {
    let mut m = Members::new(settings(&["f", "feed"]));
    m.update_list(S, "f", list(None, &[(1, 1, 1.0, true)]));
    let effects = m.update_feed(2 * S, true, &[fed(7, 1, State::Up), fed(8, 8, State::Up)]);
    assert!(
        matches!(&effects[0], Effect::Shadowed { uid, by, .. } if &**uid == "e7" && &**by == "e1"),
        "{effects:?}"
    );
    assert_eq!(states(&m), up(&["e1", "e8"]));
    let effects = m.update_feed(3 * S, false, &[fed(8, 8, State::Up)]);
    assert!(!effects.iter().any(|a| matches!(a, Effect::Shadowed { .. })));
}

// An old version that returns through a late copy or an operator's mistake must not replace a newer one.
#[test]
fn a_generation_does_not_go_back() {
    let mut m = Members::new(settings(&["f"]));
    let (one, two) = ([(1, 1, 1.0, true)], [(1, 1, 1.0, true), (2, 2, 1.0, true)]);
    m.update_list(S, "f", list(Some(5), &one));
    for (generation, why) in
        [(Some(4), "older than 5"), (Some(5), "with another content"), (None, "no generation")]
    {
        let effects = m.update_list(2 * S, "f", list(generation, &two));
        assert!(matches!(&effects[..], [Effect::Rejected(_, _, w)] if w.contains(why)), "{effects:?}");
        assert_eq!(states(&m), up(&["e1"]));
    }
    m.update_list(3 * S, "f", list(Some(6), &two));
    assert_eq!(states(&m), up(&["e1", "e2"]));
}

// The same address under a new uid is another process: the old executor drains, the new one is up at once.
#[test]
fn an_address_under_a_new_uid_is_another_executor() {
    let mut m = Members::new(settings(&["f"]));
    m.update_list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let effects = m.update_list(2 * S, "f", list(None, &[(9, 1, 1.0, true), (2, 2, 1.0, true)]));
    assert_eq!(changes(&effects), [("e1", State::Draining), ("e9", State::Up)]);
}
