//! Executors that fail, fall silent, leave or are cold.

use crate::common::*;
use ottercroft::api::*;

#[test]
fn a_fast_failing_executor_is_ejected_and_does_not_cheapen_its_class() {
    let mut rig = Rig::new(settings(), 4);
    rig.teach(0, 40, 0.2);
    let mut late_to_bad = 0;
    for i in 0..200 {
        let (q, actions) = rig.arrive(0, 0.2);
        let (mut e, mut n) = (sent_to(&actions).unwrap(), 0);
        late_to_bad += u32::from(i > 50 && e == 1);
        while e == 1 {
            let again = rig.finish(q, n, e, Outcome::Error, 0.001);
            let Some(next) = sent_to(&again) else { break };
            (e, n) = (next, n + 1);
        }
        if e != 1 {
            rig.finish(q, n, e, Outcome::Ok, 0.2);
        }
        rig.pass(40 * MS);
    }
    assert!(late_to_bad <= 3, "{late_to_bad} first tries at the failing engine");
}

#[test]
fn a_silent_executor_is_ejected_and_its_requests_get_a_second_copy() {
    let mut rig = Rig::new(settings(), 3);
    rig.teach(0, 60, 0.2);
    let (q, actions) = rig.arrive(0, 0.2);
    let stuck = sent_to(&actions).unwrap();
    let mut copies = 0;
    for _ in 0..60 {
        let (other, actions) = rig.arrive(0, 0.2);
        if let Some(e) = sent_to(&actions).filter(|e| *e != stuck) {
            rig.finish(other, 0, e, Outcome::Ok, 0.2);
        }
        let sent = rig.pass(100 * MS);
        copies += sent.iter().filter(|a| matches!(a, Action::Send { request, .. } if *request == q)).count();
    }
    assert_eq!(copies, 1);
    let ejected = |a: &(Micros, Action)| matches!(&a.1, Action::Log(l) if l.contains("silent"));
    assert!(rig.log.iter().any(ejected));
}

#[test]
fn a_drained_executor_gets_nothing_new() {
    let mut rig = Rig::new(settings(), 2);
    let endpoints = vec![Endpoint { readiness: Readiness::Leaving, ..endpoint(1) }];
    rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints });
    for _ in 0..30 {
        assert_eq!(sent_to(&rig.arrive(0, 0.1).1), Some(2));
    }
    rig.event(Event::EndpointList { kind: EndpointListKind::Replace, endpoints: vec![] });
    assert!(refused(&rig.arrive(0, 0.1).1).is_some(), "no engine: refused at once");
}

/// Found on the bench (i95b913): each reset was taken for a restart, and the limit for cold executors shut most
/// of a fleet whose links were bad.
#[test]
fn resets_do_not_make_an_executor_cold() {
    let mut rig = Rig::new(settings(), 1);
    rig.teach(0, 30, 0.2);
    rig.pass(2 * S);
    let (q, actions) = rig.arrive(0, 0.2);
    rig.finish(q, 0, sent_to(&actions).unwrap(), Outcome::Reset, 0.01);
    // A cold executor of 8 cores would take some 13 of these from this dispatcher in the window.
    let sent = (0..30).filter(|_| sent_to(&rig.arrive(0, 0.05).1).is_some()).count();
    assert_eq!(sent, 30);
}

#[test]
fn a_cold_executor_gets_little() {
    let mut rig = Rig::new(settings(), 1);
    rig.teach(0, 30, 0.2);
    rig.pass(2 * S);
    let started = Some(rig.now);
    rig.event(Event::EndpointList {
        kind: EndpointListKind::Update,
        endpoints: vec![Endpoint { started, ..endpoint(1) }],
    });
    // Saved up at 1.4 thread-seconds a second for this dispatcher at most: some 10 of these, of 0.2 each, in 1.5 s.
    let mut sent = 0;
    for _ in 0..60 {
        rig.pass(25 * MS);
        sent += u32::from(sent_to(&rig.arrive(0, 0.05).1).is_some());
    }
    assert!((3..=14).contains(&sent), "{sent}");
}

/// A dispatcher that has just started gets its first list with the times of start, and took those that had started a
/// moment ago for warm, as nothing had changed for it.
#[test]
fn an_executor_that_the_first_list_tells_to_be_cold_gets_little() {
    let sent = |since: Micros| {
        let mut rig = Rig::new(settings(), 0);
        rig.dispatcher = ottercroft::Balancer::new(settings(), 1).expect("good settings");
        let endpoints = vec![Endpoint { started: Some(rig.now - since), ..endpoint(1) }];
        rig.event(Event::EndpointList { kind: EndpointListKind::Restored, endpoints });
        rig.pass(2 * S);
        (0..60).filter(|_| sent_to(&rig.arrive(0, 0.2).1).is_some()).count()
    };
    // 2.5 x 0.34 x 8 cores x 1.5 s push it over: 51 of these, half of them for one of two dispatchers.
    assert!(sent(S) <= 25, "{} of 60 within a moment to one that started a second ago", sent(S));
    assert_eq!(sent(60 * S), 60, "one that started long ago is warm");
}
