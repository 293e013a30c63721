//! Lines of a key, odd events and settings.

use crate::common::*;
use ottercroft::Balancer;
use ottercroft::api::*;

#[test]
fn order_is_kept_for_a_key_and_rests_after_an_unknown_fate() {
    let mut s = settings();
    s.classes[0].keep_order = true;
    let mut rig = Rig::new(s, 2);
    let keyed = || Arrival { key: Some(5), ..arrival(0, 0, 0.1) };
    let (a, first) = rig.arrive_as(keyed());
    let (_, second) = rig.arrive_as(keyed());
    assert!(sent_to(&first).is_some() && second.is_empty());
    rig.event(Event::ClientDisconnected { request: a });
    let executor = sent_to(&first).unwrap();
    assert_eq!(sent_to(&rig.finish(a, 0, executor, Outcome::Cancelled, 0.1)), None);
    assert_eq!(sent_to(&rig.pass(900 * MS)), None, "the key rests");
    assert!(sent_to(&rig.pass(400 * MS)).is_some());
}

/// Found by a hunt (h59d86a) and an incident (ie978fc) on the bench: a later try came with less patience than a tick,
/// had to wait for its key, and its client left before the line was looked at.
#[test]
fn a_request_in_line_with_hardly_any_patience_is_answered_at_once() {
    let mut s = settings();
    s.classes[0].keep_order = true;
    s.classes[0].idempotency = Idempotency::NotIdempotent;
    let mut rig = Rig::new(s, 2);
    let keyed = |time_budget| Arrival { key: Some(5), time_budget, ..arrival(0, 0, 0.1) };
    assert!(sent_to(&rig.arrive_as(keyed(4 * S)).1).is_some());
    let (_, actions) = rig.arrive_as(keyed(60 * MS));
    assert!(refused(&actions).is_some(), "{actions:?}");
    // One with patience waits, and has its answer once it could not be served any more.
    let (q, actions) = rig.arrive_as(keyed(2 * S));
    assert_eq!(refused(&actions), None);
    let ended = |a: &Action| matches!(a, Action::Reject { request, .. } if *request == q);
    assert!(!rig.pass(1_500 * MS).iter().any(ended) && rig.pass(450 * MS).iter().any(ended));
}

#[test]
fn odd_but_legal_events_have_no_effect() {
    let mut rig = Rig::new(settings(), 2);
    rig.event(Event::ClientDisconnected { request: 99 });
    rig.event(Event::Timer { token: 123 });
    rig.event(Event::AttemptProgressed {
        request: 99,
        attempt: 0,
        executor: 1,
        progress_note: AttemptProgress::Waits,
    });
    rig.event(Event::ProbeFinished { executor: 77, outcome: Outcome::Ok, latency: 0, report: None });
    assert!(rig.finish(99, 3, 77, Outcome::Ok, 0.1).is_empty());
    let (q, actions) = rig.arrive(0, 0.1);
    let e = sent_to(&actions).unwrap();
    let odd = Some(Report { util: Some(f64::NAN), inflight: Some(-3.0), ..Report::default() });
    rig.finish_with(q, 0, e, Outcome::Ok, 0.1, odd);
    assert!(rig.finish(q, 0, e, Outcome::Ok, 0.1).is_empty());
    assert!(sent_to(&rig.arrive(0, 0.1).1).is_some());
}

#[test]
fn settings_that_make_no_sense_are_refused_with_the_reason() {
    let why = |settings: Settings| Balancer::new(settings, 1).err().expect("refused");
    let no_classes = why(Settings { classes: vec![], ..settings() });
    assert_eq!(no_classes, SettingsError::NoClasses);
    assert!(no_classes.to_string().contains("no class"));
    let unknown_zone = why(Settings { zone: 9, ..settings() });
    assert_eq!(unknown_zone, SettingsError::UnknownOwnZone);
    assert!(unknown_zone.to_string().contains("zone"));
    let no_dispatchers = why(Settings { dispatchers: 0, ..settings() });
    assert_eq!(no_dispatchers, SettingsError::NoDispatchers);
    assert!(no_dispatchers.to_string().contains("gateways"));
    let mut not_a_number = settings();
    not_a_number.classes[1].priority_weight = f64::NAN;
    let not_a_number = why(not_a_number);
    assert_eq!(not_a_number, SettingsError::Class { class: 1, error: ClassError::BadNumber });
    assert!(not_a_number.to_string().contains("class 1"));
    let mut unknown_kind = settings();
    unknown_kind.classes[0].only_kinds = Some(vec![4]);
    let unknown_kind = why(unknown_kind);
    assert_eq!(unknown_kind, SettingsError::Class { class: 0, error: ClassError::UnknownKind });
    assert!(unknown_kind.to_string().contains("unknown kind"));
}

/// Found on `roll+mass`, where a tenth of the dispatchers at a time is restarted: of 929 loads that met one that was
/// ending, 28 were sent after its SIGTERM with more to run than was left and 23 waited all that time for their refusal.
/// What is begun has to be seen to its end; the rest is told at once and can go elsewhere.
#[test]
fn what_an_ending_dispatcher_could_not_see_to_its_end_is_refused_at_once() {
    let mut s = settings();
    (s.classes[1].idempotency, s.classes[1].keep_order) = (Idempotency::NotIdempotent, true);
    let mut rig = Rig::new(s, 3);
    rig.teach(0, 30, 0.2);
    let load = |work| Arrival { key: Some(5), time_budget: 60 * S, ..arrival(0, 1, work) };
    let (head, first) = rig.arrive_as(load(12.0));
    assert!(sent_to(&first).is_some());
    let (behind, _) = rig.arrive_as(load(12.0));
    let end = rig.now + 3 * S;
    rig.dispatcher.set_shutdown_deadline(end);
    let told = rig.pass(200 * MS);
    assert!(
        told.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == behind)),
        "{told:?}"
    );
    let most = |a: &Action| matches!(a, Action::SetTerms { request, priority: 3, .. } if *request == head);
    assert!(told.iter().any(most), "what nobody may run again goes first: {told:?}");
    assert!(refused(&rig.arrive_as(load(12.0)).1).is_some(), "a load too long for what is left");
    assert!(refused(&rig.arrive(0, 9.0).1).is_some(), "and so is anything else");
    assert!(sent_to(&rig.arrive(0, 0.2).1).is_some(), "what fits is served");
}

// Each that was given up in a key's line had the next one looked at from within its own end: a long line all of whose
// time was over at once, as when the dispatcher itself ends, went as deep as it was long.
#[test]
fn a_long_line_that_is_hopeless_all_at_once_ends_one_by_one() {
    let mut s = settings();
    (s.classes[0].keep_order, s.classes[0].idempotency) = (true, Idempotency::NotIdempotent);
    let mut rig = Rig::new(s, 2);
    let keyed = |time_budget| Arrival { key: Some(7), time_budget, ..arrival(0, 0, 0.2) };
    let (first, actions) = rig.arrive_as(keyed(4 * S));
    let executor = sent_to(&actions).expect("the first is sent");
    for _ in 0..5_000 {
        assert!(rig.arrive_as(keyed(40 * S)).1.is_empty(), "they wait for the first");
    }
    rig.dispatcher.set_shutdown_deadline(rig.now);
    // Its key rests now, and nobody is at the head of the line.
    let mut actions = rig.finish(first, 0, executor, Outcome::Reset, 0.1);
    actions.extend(rig.pass(300 * MS));
    assert!(actions.iter().filter(|a| refused(std::slice::from_ref(a)).is_some()).count() >= 5_000);
}

/// A keyed class that must not run twice, in which each request is expected to take a second.
fn ordered() -> Rig {
    let mut s = settings();
    (s.classes[0].keep_order, s.classes[0].idempotency) = (true, Idempotency::NotIdempotent);
    Rig::new(s, 2)
}

// The operators' incident of 2026-12-02: each request of a hot key that its client had held back joined a line that it could
// not be reached in, and was held to its last moment.
#[test]
fn what_was_held_back_joins_no_line_that_takes_longer_than_its_time() {
    let mut rig = ordered();
    let keyed = |held_back| Arrival {
        key: Some(5),
        time_budget: 4 * S,
        held_by_client: held_back,
        ..arrival(0, 0, 1.0)
    };
    let (head, sent) = rig.arrive_as(keyed(false));
    let executor = sent_to(&sent).expect("the first is sent");
    for _ in 0..3 {
        assert!(rig.arrive_as(keyed(true)).1.is_empty(), "three more seconds fit into four");
    }
    let (_, told) = rig.arrive_as(keyed(true));
    let wait = refused(&told).expect("the fourth is refused at once").expect("and told when to come back");
    assert_eq!(wait, S, "when it would be reached in its time");
    assert!(rig.arrive_as(keyed(false)).1.is_empty(), "one that came as it was wanted waits for its chance");
    // The line moves on, so that there is time again.
    rig.finish(head, 0, executor, Outcome::Ok, 1.0);
    rig.pass(S);
    let (_, told) = rig.arrive_as(Arrival { time_budget: 8 * S, ..keyed(true) });
    assert_eq!(refused(&told), None);
}

// Each tick walked all lines of all keys and all attempts: 24.6 ms with 20,000 in line.
#[test]
fn a_tick_looks_at_a_bounded_part_of_what_waits() {
    const WAITING: usize = 5_000;
    const MOST_EACH_TICK: usize = 1_100;
    let mut rig = ordered();
    let keyed = |n: usize| Arrival { key: Some(n as u64 % 50), time_budget: 4 * S, ..arrival(0, 0, 0.1) };
    let mut refused_so_far = 0;
    for n in 0..WAITING {
        rig.arrive_as(keyed(n));
    }
    // All of them are too late at once.
    rig.pass(3_700 * MS);
    for tick in 0.. {
        assert!(tick < 40, "all are given up in the end");
        let told = rig.pass(100 * MS);
        let now = told.iter().filter(|a| refused(std::slice::from_ref(a)).is_some()).count();
        assert!(now <= MOST_EACH_TICK, "{now} in one tick");
        refused_so_far += now;
        if refused_so_far == WAITING - 50 {
            return;
        }
    }
}
