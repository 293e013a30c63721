//! Executors that fail, become unresponsive, drain or are in slow start.

use crate::common::*;
use ottercroft::api::*;

// An executor that immediately returns errors looks idle and cheap, and attracted most requests. It is ejected, and its
// errors do not lower the learned cost.
#[test]
fn a_fast_failing_executor_is_ejected_and_does_not_lower_the_cost_of_its_class() {
    let mut rig = Rig::new(settings(), 4);
    rig.teach(0, 40, 0.2);
    let mut late_sends_to_failing = 0;
    for i in 0..200 {
        let (request, actions) = rig.arrive(0, 0.2);
        let (mut executor, mut attempt) = (sent_to(&actions).unwrap(), 0);
        late_sends_to_failing += u32::from(i > 50 && executor == 1);
        while executor == 1 {
            let again = rig.finish(request, attempt, executor, Outcome::Error, 0.001);
            let Some(next) = sent_to(&again) else { break };
            (executor, attempt) = (next, attempt + 1);
        }
        if executor != 1 {
            rig.finish(request, attempt, executor, Outcome::Ok, 0.2);
        }
        rig.pass(40 * MS);
    }
    assert!(late_sends_to_failing <= 3, "{late_sends_to_failing} first attempts at the failing executor");
}

// An executor accepts requests but stops responding. It is ejected, and its requests in flight are hedged once.
#[test]
fn an_unresponsive_executor_is_ejected_and_its_requests_are_hedged() {
    let mut rig = Rig::new(settings(), 3);
    rig.teach(0, 60, 0.2);
    let (request, actions) = rig.arrive(0, 0.2);
    let stuck = sent_to(&actions).unwrap();
    let mut hedged = 0;
    for _ in 0..60 {
        let (other, actions) = rig.arrive(0, 0.2);
        if let Some(e) = sent_to(&actions).filter(|e| *e != stuck) {
            rig.finish(other, 0, e, Outcome::Ok, 0.2);
        }
        let sent = rig.pass(100 * MS);
        hedged += sent
            .iter()
            .filter(|a| matches!(a, Action::Send { request: sent, .. } if *sent == request))
            .count();
    }
    assert_eq!(hedged, 1);
    let ejected = |a: &(Micros, Action)| matches!(&a.1, Action::Log(l) if l.contains("silent"));
    assert!(rig.log.iter().any(ejected));
}

#[test]
fn a_draining_executor_gets_no_new_requests() {
    let mut rig = Rig::new(settings(), 2);
    let endpoints = vec![Endpoint { readiness: Readiness::Draining, ..endpoint(1) }];
    rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints });
    for _ in 0..30 {
        assert_eq!(sent_to(&rig.arrive(0, 0.1).1), Some(2));
    }
    rig.event(Event::EndpointList { kind: EndpointListKind::Replace, endpoints: vec![] });
    assert!(refused(&rig.arrive(0, 0.1).1).is_some(), "rejected at once without executors");
}

// Connection resets were taken for restarts, so bad network links put most of a fleet into slow start (i95b913). Only
// the endpoint list reports restarts.
#[test]
fn resets_do_not_start_a_slow_start() {
    let mut rig = Rig::new(settings(), 1);
    rig.teach(0, 30, 0.2);
    rig.pass(2 * S);
    let (request, actions) = rig.arrive(0, 0.2);
    rig.finish(request, 0, sent_to(&actions).unwrap(), Outcome::Reset, 0.01);
    // An executor of 8 cores in slow start would admit about 13 of these from this dispatcher in the window.
    let sent = (0..30).filter(|_| sent_to(&rig.arrive(0, 0.05).1).is_some()).count();
    assert_eq!(sent, 30);
}

#[test]
fn an_executor_in_slow_start_gets_few_requests() {
    let mut rig = Rig::new(settings(), 1);
    rig.teach(0, 30, 0.2);
    rig.pass(2 * S);
    let started = Some(rig.now);
    rig.event(Event::EndpointList {
        kind: EndpointListKind::Update,
        endpoints: vec![Endpoint { started, ..endpoint(1) }],
    });
    // This dispatcher's tokens accumulate at 1.4 thread-seconds per second at most: about 10 requests of 0.2 in 1.5 s.
    let mut sent = 0;
    for _ in 0..60 {
        rig.pass(25 * MS);
        sent += u32::from(sent_to(&rig.arrive(0, 0.05).1).is_some());
    }
    assert!((3..=14).contains(&sent), "{sent}");
}

// A newly started dispatcher receives start times in its first endpoint list. It treated recently started executors as
// warm, because nothing had changed in its view, and overloaded them.
#[test]
fn an_executor_in_slow_start_in_the_first_list_gets_few_requests() {
    let sent = |since: Micros| {
        let mut rig = Rig::new(settings(), 0);
        rig.dispatcher = ottercroft::Balancer::new(settings(), 1).expect("valid settings");
        let endpoints = vec![Endpoint { started: Some(rig.now - since), ..endpoint(1) }];
        rig.event(Event::EndpointList { kind: EndpointListKind::Restored, endpoints });
        rig.pass(2 * S);
        (0..60).filter(|_| sent_to(&rig.arrive(0, 0.2).1).is_some()).count()
    };
    // The executor fails at 2.5 x 0.34 x 8 cores x 1.5 s: 51 of these requests, half of them for one of two
    // dispatchers.
    assert!(sent(S) <= 25, "{} of 60 sent at once to an executor that started a second ago", sent(S));
    assert_eq!(sent(60 * S), 60, "an executor that started long ago is warm");
}
