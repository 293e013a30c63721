//! Executor selection.

use crate::common::*;
use crate::{restricted_class, two_kinds};
use ottercroft::api::*;

#[test]
fn the_executor_with_the_lower_reported_load_is_preferred() {
    let mut rig = Rig::new(settings(), 2);
    for e in [1, 2] {
        let report = Some(Report { util: Some(if e == 1 { 0.95 } else { 0.1 }), ..Report::default() });
        rig.event(Event::ProbeFinished { executor: e, outcome: Outcome::Ok, latency: MS, report });
    }
    let sends = (0..60).filter(|_| {
        let (q, actions) = rig.arrive(0, 0.2);
        let e = sent_to(&actions).unwrap();
        rig.finish(q, 0, e, Outcome::Ok, 0.2);
        rig.pass(30 * MS);
        e == 2
    });
    assert!(sends.count() > 45);
}

#[test]
fn only_own_threads_count_without_load_reports() {
    let mut rig = Rig::new(Settings { reports: Reports::Off, ..settings() }, 4);
    let mut count = [0; 5];
    for group in 0..40 {
        let a = Arrival { table_group: group, ..arrival(0, 0, 0.2) };
        count[sent_to(&rig.arrive_as(a).1).unwrap() as usize] += 1;
    }
    assert!(count[1..].iter().all(|n| (6..=14).contains(n)), "{count:?}");
}

/// Resetting the count of own threads on every report lost requests that had just been sent (found on the bench).
#[test]
fn an_old_report_does_not_hide_own_threads() {
    let mut rig = Rig::new(settings(), 2);
    let idle = Some(Report { inflight: Some(0.5), ..Report::default() });
    for e in [1, 2] {
        rig.event(Event::ProbeFinished { executor: e, outcome: Outcome::Ok, latency: MS, report: idle });
    }
    let mut on_one = 0;
    for _ in 0..40 {
        let (_, actions) = rig.arrive(0, 0.2);
        on_one += u32::from(sent_to(&actions) == Some(1));
        // Executor 1 sends the same old report after each request.
        rig.event(Event::ProbeFinished { executor: 1, outcome: Outcome::Ok, latency: MS, report: idle });
    }
    assert!(on_one <= 28, "{on_one} of 40 went to the executor with the old report");
}

// Operators set weights in list files. Guards against weights that have no effect on the draw.
#[test]
fn a_listed_weight_scales_the_traffic_of_an_executor() {
    let mut rig = Rig::new(settings(), 2);
    let endpoints = vec![Endpoint { weight: Some(0.2), ..endpoint(1) }];
    rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints });
    let mut sent = [0, 0];
    for _ in 0..400 {
        let (q, actions) = rig.arrive(0, 0.1);
        let executor = sent_to(&actions).unwrap();
        sent[executor as usize - 1] += 1;
        rig.finish(q, 0, executor, Outcome::Ok, 0.1);
        rig.pass(50 * MS);
    }
    assert!(sent[0] > 10 && sent[0] * 3 < sent[1], "{sent:?}");
}

/// Executors that report only their granted memory were drawn as if all had the same load (found on the bench,
/// main-dc).
#[test]
fn load_is_derived_from_granted_memory_if_nothing_else_is_reported() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(0, 10, 0.2);
    let mut on_one = 0;
    for group in 0..60 {
        for (executor, memory) in [(1, 0.06), (2, 0.01)] {
            let report = Some(Report { memory: Some(memory), ..Report::default() });
            rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
        }
        let (q, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, 0, 0.2) });
        let e = sent_to(&actions).expect("sent");
        on_one += u32::from(e == 1);
        rig.pass(20 * MS);
        rig.finish(q, 0, e, Outcome::Ok, 0.02);
    }
    assert!(on_one <= 12, "{on_one} of 60 went to the executor with more granted memory");
}

/// Loads and the requests that are blocked by them had the same preferred executors (found on the bench, main-dc).
#[test]
fn loads_and_the_requests_that_they_block_go_to_different_executors() {
    let mut s = Settings { reports: Reports::Off, ..settings() };
    (s.classes[0].yields_to_loads, s.classes[1].loads) = (true, true);
    let mut rig = Rig::new(s, 6);
    let mut count = [[0; 7]; 2];
    for class in [0, 1] {
        for _ in 0..120 {
            let (q, actions) = rig.arrive_as(Arrival { table_group: 9, ..arrival(0, class, 0.2) });
            let e = sent_to(&actions).expect("sent");
            count[class][e as usize] += 1;
            rig.finish(q, 0, e, Outcome::Ok, 0.2);
        }
    }
    let mut order: Vec<usize> = (1..=6).collect();
    order.sort_by_key(|&e| count[1][e]);
    let of = |class: usize| count[class][order[4]] + count[class][order[5]];
    assert!(of(1) > 60 && of(0) < 24, "{count:?}");
}

/// Unrestricted classes filled the only executors that a restricted class may use (found on the bench, main-dc).
#[test]
fn unrestricted_classes_avoid_the_executors_of_a_restricted_class() {
    let mut rig = two_kinds(Settings { reports: Reports::Off, ..restricted_class() });
    let on_reserved = (0..80).filter(|&group| {
        let (q, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, 0, 0.2) });
        let e = sent_to(&actions).expect("sent");
        rig.finish(q, 0, e, Outcome::Ok, 0.2);
        e > 2
    });
    let n = on_reserved.count();
    assert!((1..32).contains(&n), "{n} of 80");
}

// Reports are delayed, and an executor that loses requests reports few. Its load is at least that of this dispatcher's
// attempts in flight on it, whatever the report states.
#[test]
fn the_load_of_an_executor_is_at_least_that_of_own_attempts_in_flight() {
    let mut rig = Rig::new(settings(), 2);
    let sent = |all: &[Action]| {
        let executor =
            |a: &Action| if let Action::Send { executor, .. } = a { Some(*executor) } else { None };
        all.iter().find_map(executor).unwrap()
    };
    // Sends a request and serves it, unless it was sent to the executor `keep`.
    let send_one = |rig: &mut Rig, keep: Option<ExecutorId>| {
        let (request, actions) = rig.arrive(1, 2.0);
        let executor = sent(&actions);
        if keep != Some(executor) {
            rig.finish(request, 0, executor, Outcome::Ok, 2.0);
        }
        executor
    };
    let report = |rig: &mut Rig, executor, inflight| {
        let report = Some(Report { inflight: Some(inflight), ..Report::default() });
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
    };
    let mut in_flight = 0;
    while in_flight < 12 {
        report(&mut rig, 1, 0.0);
        in_flight += u32::from(send_one(&mut rig, Some(1)) == 1);
    }
    rig.pass(200 * MS);
    let mut to_first = 0;
    for n in 0..40 {
        report(&mut rig, 1, 0.01 * f64::from(n));
        report(&mut rig, 2, 6.0);
        to_first += u32::from(send_one(&mut rig, None) == 1);
    }
    assert!(to_first < 20, "{to_first} of 40 went to the executor with twelve in flight");
}

/// On both sites, an executor in another zone was drawn two times for every three of a local one with the same load,
/// and the cross-zone traffic cost more than the day's rejections.
#[test]
fn an_executor_in_another_zone_is_drawn_only_if_the_local_one_is_clearly_busier() {
    let drawn_across_zones = |local_util: f64| {
        let mut rig = Rig::new(Settings { cross_zone_price: 0.02, ..settings() }, 2);
        let endpoints = vec![Endpoint { zone: 1, ..endpoint(2) }];
        rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints });
        let report = |util| Some(Report { util: Some(util), ..Report::default() });
        let drawn = (0..60).filter(|_| {
            for (executor, util) in [(1, local_util), (2, 0.3)] {
                let outcome = Outcome::Ok;
                rig.event(Event::ProbeFinished { executor, outcome, latency: MS, report: report(util) });
            }
            let (q, actions) = rig.arrive(0, 0.2);
            let e = sent_to(&actions).unwrap();
            rig.finish(q, 0, e, Outcome::Ok, 0.2);
            rig.pass(30 * MS);
            e == 2
        });
        drawn.count()
    };
    let (same_load, local_busier) = (drawn_across_zones(0.3), drawn_across_zones(0.95));
    assert!(same_load <= 16 && local_busier >= 30, "{same_load} and {local_busier} of 60");
}
