//! Which requests are admitted and rejected where a dispatcher has a small share of the traffic.

use super::*;

/// The bucket of a dispatcher with a small traffic share held less than one request, and rejected it for ever.
#[test]
fn a_small_share_admits_an_expensive_request_without_pressure() {
    let mut rig = Rig::new(fleet(300), 40);
    rig.teach(1, 30, 2.0);
    rig.pass(S);
    for _ in 0..5 {
        let (_, actions) = rig.arrive(1, 20.0);
        assert!(sent_to(&actions).is_some());
    }
}

/// Each dispatcher's part of the slow-start budget was under one request, so that nobody sent anything to the executor.
#[test]
fn three_hundred_dispatchers_together_use_a_warming_executor_within_its_budget() {
    let mut sent: Vec<(Micros, f64)> = vec![];
    for seed in 0..300 {
        let mut rig = Rig::seeded(fleet(300), 2, seed);
        rig.teach(0, 30, 0.2);
        let endpoints = vec![Endpoint { started: Some(rig.now), ..endpoint(1) }];
        rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints });
        let start = rig.now;
        for _ in 0..10 {
            rig.pass(400 * MS + seed * MS);
            let (request, actions) = rig.arrive(0, 0.2);
            let Some(executor) = sent_to(&actions) else { continue };
            if executor == 1 {
                sent.push((rig.now - start, 0.2));
            }
            rig.finish(request, 0, executor, Outcome::Ok, 0.2);
        }
    }
    let c = fleet(300).slow_start;
    let budget = c.overload_factor * c.initial_fraction * 8.0 * c.overload_window as f64 / 1e6;
    let window = |from: Micros| {
        sent.iter().filter(|(t, _)| *t >= from && *t < from + c.overload_window).map(|(_, w)| w).sum::<f64>()
    };
    let most = (0..40).map(|i| window(i * 100 * MS)).fold(0.0, f64::max);
    assert!(most <= budget, "{most} of {budget}");
    assert!(most > 0.1 * budget, "{most} of {budget}: the executor stands idle");
}

/// Once an overload had begun, no request of a class ended well. The class never had its eight outcomes, and its
/// buckets stayed open for good. Attempts count however they end.
#[test]
fn buckets_of_a_class_close_though_none_of_its_requests_ends_well() {
    let mut rig = Rig::new(fleet(2), 2);
    rig.teach(0, 30, 0.2);
    for _ in 0..8 {
        let (request, actions) = rig.arrive(1, 2.0);
        rig.event(Event::ClientDisconnected { request });
        rig.finish(request, 0, sent_to(&actions).expect("sent"), Outcome::Cancelled, 2.0);
    }
    for executor in [1, 2] {
        let report = Some(Report { inflight: Some(200.0), ..Report::default() });
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
    }
    rig.pass(300 * MS);
    assert!(refused(&rig.arrive(1, 20.0).1).is_some());
}

/// In a heavy overload the requests under half their class's mean were alone more than the fleet could serve.
#[test]
fn heavy_overload_closes_below_half_the_mean() {
    let mut rig = Rig::new(fleet(2), 2);
    rig.teach(0, 30, 0.2);
    rig.teach(1, 30, 2.0);
    for executor in [1, 2] {
        let report = Some(Report { inflight: Some(200.0), ..Report::default() });
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
    }
    rig.pass(300 * MS);
    assert!(refused(&rig.arrive(1, 0.7).1).is_some());
    assert!(sent_to(&rig.arrive(1, 0.01).1).is_some(), "the cheapest requests match no rule");
}

#[test]
fn sizes_are_no_limit() {
    for (dispatchers, executors) in [(300, 43), (1, 1)] {
        let mut rig = Rig::new(fleet(dispatchers), executors);
        rig.teach(0, 20, 0.2);
        rig.pass(S);
        assert!(sent_to(&rig.arrive(0, 0.2).1).is_some(), "{dispatchers} dispatchers, {executors} executors");
    }
}
