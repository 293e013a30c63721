use super::*;

// A valid list may still be a mistake: one that removes much of a zone's capacity is held back until it is accepted,
// and reported again at intervals.
#[test]
fn a_list_that_removes_much_capacity_is_held_back_until_accepted() {
    let mut settings = settings(&["f"]);
    settings.guard = Guard { max_loss: 0.5, ..Guard::default() };
    let four: Vec<Line> = (1..=4).map(|n| (n, n.into(), 1.0, true)).collect();
    let start = || {
        let mut m = Members::new(settings.clone());
        m.update_list(S, "f", list(None, &four));
        m
    };
    let mut m = start();
    let one = list(None, &four[..1]);
    let effects = m.update_list(2 * S, "f", one.clone());
    assert!(
        matches!(&effects[..], [Effect::HeldBack { losses, again: false, .. }] if losses[0].share == 0.75),
        "{effects:?}"
    );
    assert_eq!(states(&m), up(&["e1", "e2", "e3", "e4"]));
    assert_eq!(m.tick(31 * S, &|_| false), []);
    assert!(matches!(m.tick(32 * S, &|_| false)[..], [Effect::HeldBack { again: true, .. }]));
    let acceptance = |at| Acceptance { digest: one.digest.short(), at };
    assert_eq!(m.accept(40 * S, "f", vec![Acceptance { digest: "0123456789abcdef".into(), at: 40 }]), []);
    assert_eq!(changes(&m.accept(41 * S, "f", vec![acceptance(41)])).len(), 3);
    // An acceptance expires.
    let mut m = start();
    m.accept(2 * S, "f", vec![acceptance(2)]);
    assert!(matches!(m.update_list(4_000 * S, "f", one.clone())[..], [Effect::HeldBack { .. }]));
    // The files contain the list in force again: nothing is held back.
    assert!(matches!(m.update_list(4_001 * S, "f", list(None, &four))[..], [Effect::Withdrawn(..)]));
    // The second seal confirms within the file.
    let mut confirmed = one;
    confirmed.files[0].confirm = Some(confirmed.files[0].digest);
    assert_eq!(changes(&m.update_list(4_002 * S, "f", confirmed)).len(), 3);
}

// Losses within the window add up: half a zone in two steps counts like half a zone at once. Weights that all fall by
// the same factor remove no capacity.
#[test]
fn losses_add_up_and_only_ratios_of_weights_count() {
    let mut settings = settings(&["f"]);
    settings.guard = Guard { max_loss: 0.4, ..Guard::default() };
    let four: Vec<Line> = (1..=4).map(|n| (n, n.into(), 1.0, true)).collect();
    let mut m = Members::new(settings);
    m.update_list(S, "f", list(None, &four));
    let halved: Vec<Line> = four.iter().map(|l| (l.0, l.1, 0.01, true)).collect();
    assert!(
        !m.update_list(2 * S, "f", list(None, &halved)).iter().any(|a| matches!(a, Effect::HeldBack { .. }))
    );
    m.update_list(3 * S, "f", list(None, &halved[..3]));
    assert_eq!(m.in_force().iter().filter(|t| t.state == State::Up).count(), 3);
    let effects = m.update_list(4 * S, "f", list(None, &halved[..2]));
    assert!(
        matches!(&effects[..], [Effect::HeldBack { losses, .. }] if (losses[0].share - 0.5).abs() < 1e-9),
        "{effects:?}"
    );
    assert!(
        !m.update_list(5 * S, "f", list(None, &halved[..3]))
            .iter()
            .any(|a| matches!(a, Effect::HeldBack { .. }))
    );
    assert!(
        !m.update_list(64 * S, "f", list(None, &halved[..2]))
            .iter()
            .any(|a| matches!(a, Effect::HeldBack { .. }))
    );
}

// Renaming a zone removes no capacity: its executors are all still listed.
#[test]
fn a_renamed_zone_is_no_loss() {
    let mut settings = settings(&["f"]);
    settings.guard = Guard { max_loss: 0.1, ..Guard::default() };
    let lines = [(1, 1, 1.0, true), (2, 2, 1.0, true)];
    let mut m = Members::new(settings);
    m.update_list(S, "f", List::new(vec![file("f", None, "a", &lines)]));
    let effects = m.update_list(2 * S, "f", List::new(vec![file("f", None, "b", &lines)]));
    assert_eq!(changes(&effects), [("e1", State::Up), ("e2", State::Up)]);
    assert!(m.in_force().iter().all(|t| t.az == "b"));
}
