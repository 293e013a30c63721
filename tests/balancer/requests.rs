//! Key queues, unexpected events, invalid settings and shutdown.

use crate::common::*;
use ottercroft::Balancer;
use ottercroft::api::*;

#[test]
fn a_key_keeps_its_order_and_stays_quiet_after_an_unknown_outcome() {
    let mut s = settings();
    s.classes[0].keep_order = true;
    let mut rig = Rig::new(s, 2);
    let keyed = || Arrival { key: Some(5), ..arrival(0, 0, 0.1) };
    let (head, first) = rig.arrive_as(keyed());
    let (_, second) = rig.arrive_as(keyed());
    assert!(sent_to(&first).is_some() && second.is_empty());
    rig.event(Event::ClientDisconnected { request: head });
    let executor = sent_to(&first).unwrap();
    assert_eq!(sent_to(&rig.finish(head, 0, executor, Outcome::Cancelled, 0.1)), None);
    assert_eq!(sent_to(&rig.pass(900 * MS)), None, "the key is quiet");
    assert!(sent_to(&rig.pass(400 * MS)).is_some());
}

// A client's retry with less time left than a tick was queued for its key, and its client gave up before the queue was
// checked (h59d86a, ie978fc). Such a request is rejected on arrival.
#[test]
fn a_queued_request_with_hardly_any_time_left_is_rejected_on_arrival() {
    let mut s = settings();
    s.classes[0].keep_order = true;
    s.classes[0].idempotency = Idempotency::NotIdempotent;
    let mut rig = Rig::new(s, 2);
    let keyed = |time_budget| Arrival { key: Some(5), time_budget, ..arrival(0, 0, 0.1) };
    assert!(sent_to(&rig.arrive_as(keyed(4 * S)).1).is_some());
    let (_, actions) = rig.arrive_as(keyed(60 * MS));
    assert!(refused(&actions).is_some(), "{actions:?}");
    // A request with enough time waits, and is answered once it can no longer be served.
    let (request, actions) = rig.arrive_as(keyed(2 * S));
    assert_eq!(refused(&actions), None);
    let ended = |a: &Action| matches!(a, Action::Reject { request: ended, .. } if *ended == request);
    assert!(!rig.pass(1_500 * MS).iter().any(ended) && rig.pass(450 * MS).iter().any(ended));
}

#[test]
fn unexpected_but_legal_events_have_no_effect() {
    let mut rig = Rig::new(settings(), 2);
    rig.event(Event::ClientDisconnected { request: 99 });
    rig.event(Event::Timer { token: 123 });
    rig.event(Event::AttemptProgressed {
        request: 99,
        attempt: 0,
        executor: 1,
        progress: AttemptProgress::Waits,
    });
    rig.event(Event::ProbeFinished { executor: 77, outcome: Outcome::Ok, latency: 0, report: None });
    assert!(rig.finish(99, 3, 77, Outcome::Ok, 0.1).is_empty());
    let (request, actions) = rig.arrive(0, 0.1);
    let e = sent_to(&actions).unwrap();
    let odd = Some(Report { util: Some(f64::NAN), inflight: Some(-3.0), ..Report::default() });
    rig.finish_with(request, 0, e, Outcome::Ok, 0.1, odd);
    assert!(rig.finish(request, 0, e, Outcome::Ok, 0.1).is_empty());
    assert!(sent_to(&rig.arrive(0, 0.1).1).is_some());
}

#[test]
fn invalid_settings_are_rejected_with_the_reason() {
    let error_of = |settings: Settings| Balancer::new(settings, 1).err().expect("invalid settings");
    let no_classes = error_of(Settings { classes: vec![], ..settings() });
    assert_eq!(no_classes, SettingsError::NoClasses);
    assert!(no_classes.to_string().contains("no class"));
    let unknown_zone = error_of(Settings { zone: 9, ..settings() });
    assert_eq!(unknown_zone, SettingsError::UnknownOwnZone);
    assert!(unknown_zone.to_string().contains("zone"));
    let no_dispatchers = error_of(Settings { dispatchers: 0, ..settings() });
    assert_eq!(no_dispatchers, SettingsError::NoDispatchers);
    assert!(no_dispatchers.to_string().contains("gateways"));
    let mut not_a_number = settings();
    not_a_number.classes[1].priority_weight = f64::NAN;
    let not_a_number = error_of(not_a_number);
    assert_eq!(not_a_number, SettingsError::Class { class: 1, error: ClassError::BadNumber });
    assert!(not_a_number.to_string().contains("class 1"));
    let mut unknown_kind = settings();
    unknown_kind.classes[0].only_kinds = Some(vec![4]);
    let unknown_kind = error_of(unknown_kind);
    assert_eq!(unknown_kind, SettingsError::Class { class: 0, error: ClassError::UnknownKind });
    assert!(unknown_kind.to_string().contains("unknown kind"));
}

// Dispatchers of a tier are restarted a tenth at a time. Loads that arrived at one that was shutting down were started
// although they could not finish, or were rejected only at the shutdown. A request that cannot finish before the
// shutdown is rejected at once, so that it can go to another dispatcher; running loads get the highest priority.
#[test]
fn a_request_that_cannot_finish_before_shutdown_is_rejected_at_once() {
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
    let actions_after = rig.pass(200 * MS);
    assert!(
        actions_after.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == behind)),
        "{actions_after:?}"
    );
    let highest_priority =
        |a: &Action| matches!(a, Action::SetTerms { request, priority: 3, .. } if *request == head);
    assert!(
        actions_after.iter().any(highest_priority),
        "the non-idempotent load gets the highest priority: {actions_after:?}"
    );
    assert!(refused(&rig.arrive_as(load(12.0)).1).is_some(), "a load that takes too long is rejected");
    assert!(refused(&rig.arrive(0, 9.0).1).is_some(), "so is any other request that takes too long");
    assert!(sent_to(&rig.arrive(0, 0.2).1).is_some(), "a short request is served");
}

// Each request that was rejected from a key's queue advanced the queue recursively. When a whole long queue was
// rejected at once, as at a shutdown, the recursion was as deep as the queue was long and overflowed the stack.
#[test]
fn a_long_key_queue_that_cannot_finish_in_time_is_rejected_without_recursion() {
    let mut s = settings();
    (s.classes[0].keep_order, s.classes[0].idempotency) = (true, Idempotency::NotIdempotent);
    let mut rig = Rig::new(s, 2);
    let keyed = |time_budget| Arrival { key: Some(7), time_budget, ..arrival(0, 0, 0.2) };
    let (first, actions) = rig.arrive_as(keyed(4 * S));
    let executor = sent_to(&actions).expect("the first is sent");
    for _ in 0..5_000 {
        assert!(rig.arrive_as(keyed(40 * S)).1.is_empty(), "the others wait for the first");
    }
    rig.dispatcher.set_shutdown_deadline(rig.now);
    // The key is now in its quiet period, and the queue has a new head that has not started.
    let mut actions = rig.finish(first, 0, executor, Outcome::Reset, 0.1);
    actions.extend(rig.pass(300 * MS));
    assert!(actions.iter().filter(|a| refused(std::slice::from_ref(a)).is_some()).count() >= 5_000);
}

/// A rig whose first class keeps order and is not idempotent.
fn ordered() -> Rig {
    let mut s = settings();
    (s.classes[0].keep_order, s.classes[0].idempotency) = (true, Idempotency::NotIdempotent);
    Rig::new(s, 2)
}

// Incident of 2026-12-02: requests of a hot key that their clients had delayed joined a queue in which they could not
// finish in time, and were rejected only at the last moment. Such a request is rejected on arrival.
#[test]
fn a_request_delayed_by_its_client_does_not_join_a_queue_longer_than_its_time_budget() {
    let mut rig = ordered();
    let keyed =
        |held_by_client| Arrival { key: Some(5), time_budget: 4 * S, held_by_client, ..arrival(0, 0, 1.0) };
    let (head, sent) = rig.arrive_as(keyed(false));
    let executor = sent_to(&sent).expect("the first is sent");
    for _ in 0..3 {
        assert!(
            rig.arrive_as(keyed(true)).1.is_empty(),
            "four requests of a second each fit into four seconds"
        );
    }
    let (_, actions_after) = rig.arrive_as(keyed(true));
    let wait = refused(&actions_after).expect("the fifth is rejected at once").expect("with a Retry-After");
    assert_eq!(wait, S, "after which it could finish in time");
    assert!(rig.arrive_as(keyed(false)).1.is_empty(), "a request that was not delayed is queued");
    // The queue advances, so a request with enough time can join again.
    rig.finish(head, 0, executor, Outcome::Ok, 1.0);
    rig.pass(S);
    let (_, actions_after) = rig.arrive_as(Arrival { time_budget: 8 * S, ..keyed(true) });
    assert_eq!(refused(&actions_after), None);
}

// Each tick checked all key queues and all attempts, which took 24.6 ms with 20,000 queued requests. A tick checks a
// bounded number, and the next one continues from there.
#[test]
fn a_tick_checks_a_bounded_part_of_the_key_queues() {
    const WAITING: usize = 5_000;
    const MAX_PER_TICK: usize = 1_100;
    let mut rig = ordered();
    let keyed = |n: usize| Arrival { key: Some(n as u64 % 50), time_budget: 4 * S, ..arrival(0, 0, 0.1) };
    let mut rejected_so_far = 0;
    for n in 0..WAITING {
        rig.arrive_as(keyed(n));
    }
    // All of them become too late at the same time.
    rig.pass(3_700 * MS);
    for tick in 0.. {
        assert!(tick < 40, "all are rejected eventually");
        let actions_after = rig.pass(100 * MS);
        let now = actions_after.iter().filter(|a| refused(std::slice::from_ref(a)).is_some()).count();
        assert!(now <= MAX_PER_TICK, "{now} in one tick");
        rejected_so_far += now;
        if rejected_so_far == WAITING - 50 {
            return;
        }
    }
}
