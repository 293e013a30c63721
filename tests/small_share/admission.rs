//! Admission control by a dispatcher with a small share of the traffic.

use super::*;

/// The token bucket of a dispatcher with a small traffic share held less than one request, and rejected it forever.
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

/// Each dispatcher's share of the slow-start budget was less than one request, so none of them sent anything.
#[test]
fn three_hundred_dispatchers_together_use_an_executor_in_slow_start_within_its_budget() {
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
    let rule = fleet(300).slow_start;
    let budget = rule.overload_factor * rule.initial_fraction * 8.0 * rule.overload_window as f64 / 1e6;
    let window = |from: Micros| {
        sent.iter()
            .filter(|(t, _)| *t >= from && *t < from + rule.overload_window)
            .map(|(_, w)| w)
            .sum::<f64>()
    };
    let peak = (0..40).map(|i| window(i * 100 * MS)).fold(0.0, f64::max);
    assert!(peak <= budget, "{peak} of {budget}");
    assert!(peak > 0.1 * budget, "{peak} of {budget}: the executor is nearly idle");
}

/// In an overload no request of a class succeeded. Only successes counted as outcomes, so the class never had the
/// required eight, and its rules stayed open. Attempts count whatever their outcome.
#[test]
fn rules_of_a_class_close_even_if_none_of_its_requests_succeeds() {
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

/// In a heavy overload, the requests below half their class's mean cost alone exceeded the capacity of the fleet.
#[test]
fn in_a_heavy_overload_requests_below_half_the_mean_cost_are_rejected() {
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
fn requests_are_served_at_any_fleet_size() {
    for (dispatchers, executors) in [(300, 43), (1, 1)] {
        let mut rig = Rig::new(fleet(dispatchers), executors);
        rig.teach(0, 20, 0.2);
        rig.pass(S);
        assert!(sent_to(&rig.arrive(0, 0.2).1).is_some(), "{dispatchers} dispatchers, {executors} executors");
    }
}
