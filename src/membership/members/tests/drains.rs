use super::*;

// An executor that is taken out of its list while it holds a load gets nothing new and stays until the load is done.
#[test]
fn what_a_list_leaves_out_drains_until_it_has_nothing() {
    let mut m = Members::new(sources(&["f"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let acts = m.list(2 * S, "f", list(None, &[(2, 2, 1.0, true)]));
    assert_eq!(changes(&acts), [("e1", State::Draining)]);
    assert_eq!(m.tick(9 * S, &|uid| uid == "e1"), []);
    let acts = m.tick(10 * S, &|_| false);
    assert_eq!(changes(&acts), [("e1", State::Removed)]);
    assert!(matches!(acts[1], Act::Gone { after, cut: false, .. } if after == 8 * S));
    // Removed twice is removed once.
    assert_eq!(m.tick(11 * S, &|_| false), []);
    assert_eq!(states(&m), up(&["e2"]));
}

// Work that never ends must not keep an executor for ever.
#[test]
fn a_drain_has_an_end() {
    let mut m = Members::new(sources(&["f"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    m.list(2 * S, "f", list(None, &[(2, 2, 1.0, true)]));
    assert_eq!(m.tick(61 * S, &|_| true), []);
    assert!(matches!(m.tick(62 * S, &|_| true)[1], Act::Gone { cut: true, .. }));
}

// Taken back in the middle of its drain it goes on as it was: its process never ended.
#[test]
fn a_executor_taken_back_in_its_drain_is_up_again() {
    let mut m = Members::new(sources(&["f"]));
    let both = [(1, 1, 1.0, true), (2, 2, 1.0, true)];
    m.list(S, "f", list(None, &both));
    m.list(2 * S, "f", list(None, &both[1..]));
    assert_eq!(changes(&m.list(3 * S, "f", list(None, &both))), [("e1", State::Up)]);
    assert_eq!(m.tick(4 * S, &|_| false), []);
}

// Weight 0 drains, and a weight that changes is no new executor: only the weight is told.
#[test]
fn weights_change_in_place_and_zero_drains() {
    let mut m = Members::new(sources(&["f"]));
    m.list(S, "f", list(None, &[(1, 1, 1.0, true), (2, 2, 1.0, true)]));
    let acts = m.list(2 * S, "f", list(None, &[(1, 1, 0.25, true), (2, 2, 0.0, true)]));
    let Act::Change(targets) = &acts[0] else { panic!("{acts:?}") };
    assert_eq!(changes(&acts), [("e2", State::Draining), ("e1", State::Up)]);
    assert_eq!((targets[1].weight, targets[1].boot_ms), (Some(0.25), 0));
}
