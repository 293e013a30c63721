use super::*;

// An executor removed from its list while it runs a load gets no new work and stays until the load ends.
#[test]
fn an_unlisted_executor_drains_until_its_work_ends() {
    let mut m = Members::new(settings(&["f"]));
    m.update_list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let effects = m.update_list(2 * S, "f", list(None, &[(2, 2, 1.0, true)]));
    assert_eq!(changes(&effects), [("e1", State::Draining)]);
    assert_eq!(m.tick(9 * S, &|uid| uid == "e1"), []);
    let effects = m.tick(10 * S, &|_| false);
    assert_eq!(changes(&effects), [("e1", State::Removed)]);
    assert!(matches!(effects[1], Effect::Drained { after, timed_out: false, .. } if after == 8 * S));
    // It is removed only once.
    assert_eq!(m.tick(11 * S, &|_| false), []);
    assert_eq!(states(&m), up(&["e2"]));
}

// Work that never ends must not keep a removed executor forever.
#[test]
fn a_drain_has_an_end() {
    let mut m = Members::new(settings(&["f"]));
    m.update_list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    m.update_list(2 * S, "f", list(None, &[(2, 2, 1.0, true)]));
    assert_eq!(m.tick(61 * S, &|_| true), []);
    assert!(matches!(m.tick(62 * S, &|_| true)[1], Effect::Drained { timed_out: true, .. }));
}

// An executor that is listed again while it drains is up again: its process never ended.
#[test]
fn an_executor_listed_again_while_draining_is_up_again() {
    let mut m = Members::new(settings(&["f"]));
    let both = [(1, 1, 1.0, true), (2, 2, 1.0, true)];
    m.update_list(S, "f", list(None, &both));
    m.update_list(2 * S, "f", list(None, &both[1..]));
    assert_eq!(changes(&m.update_list(3 * S, "f", list(None, &both))), [("e1", State::Up)]);
    assert_eq!(m.tick(4 * S, &|_| false), []);
}

// Weight 0 drains. A changed weight is not a new executor: only the weight is updated.
#[test]
fn weights_change_in_place_and_zero_drains() {
    let mut m = Members::new(settings(&["f"]));
    m.update_list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let effects = m.update_list(2 * S, "f", list(None, &[(1, 1, 0.25, true), (2, 2, 0.0, true)]));
    let Effect::Update(targets) = &effects[0] else { panic!("{effects:?}") };
    assert_eq!(changes(&effects), [("e2", State::Draining), ("e1", State::Up)]);
    assert_eq!((targets[1].weight, targets[1].boot_ms), (Some(0.25), 0));
}
