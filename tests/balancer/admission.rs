//! Which requests are admitted, which are rejected at once, and what makes pressure.

use crate::common::*;
use crate::{bound, two_kinds, under_pressure};
use ottercroft::api::*;

#[test]
fn an_expensive_request_is_rejected_at_once_under_pressure_and_a_light_one_is_admitted() {
    let mut rig = Rig::new(settings(), 2);
    under_pressure(&mut rig);
    let (_, actions) = rig.arrive(1, 30.0);
    let advice = refused(&actions).expect("rejected on arrival");
    assert!(advice.is_some_and(|t| t > 0 && t <= 2 * S), "advice when to return: {advice:?}");
    let (_, actions) = rig.arrive(0, 0.02);
    assert!(sent_to(&actions).is_some(), "light requests match no rule");
}

#[test]
fn without_pressure_expensive_requests_are_admitted() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(1, 30, 2.0);
    rig.pass(S);
    let (_, actions) = rig.arrive(1, 6.0);
    assert!(sent_to(&actions).is_some());
}

#[test]
fn buckets_stay_open_until_the_class_has_outcomes() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..20 {
        let (_, actions) = rig.arrive(1, 50.0);
        assert!(sent_to(&actions).is_some());
    }
}

#[test]
fn without_estimates_the_cached_cost_of_the_table_group_decides() {
    let mut rig = Rig::new(settings(), 2);
    under_pressure(&mut rig);
    let arrival_of =
        |group| Arrival { estimated_thread_seconds: None, table_group: group, ..arrival(0, 1, 0.0) };
    // Group 9 has been expensive, group 8 cheap.
    for (group, cost) in [(9, 40.0), (8, 0.1)] {
        let (request, actions) = rig.arrive_as(arrival_of(group));
        if let Some(executor) = sent_to(&actions) {
            rig.finish(request, 0, executor, Outcome::Ok, cost);
        } else {
            // Closed by pressure: the cost is learned from requests with a light estimate.
            let (request, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, 1, 0.1) });
            rig.finish(request, 0, sent_to(&actions).unwrap(), Outcome::Ok, cost);
        }
    }
    assert!(refused(&rig.arrive_as(arrival_of(9)).1).is_some());
    assert!(sent_to(&rig.arrive_as(arrival_of(8)).1).is_some());
}

/// Where lateness alone made pressure, requests were rejected long after the executors were idle.
/// Lateness is forgotten faster while executors have spare capacity.
#[test]
fn pressure_from_lateness_eases_when_executors_have_room() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(0, 30, 0.2);
    rig.teach(1, 30, 2.0);
    for _ in 0..20 {
        let (request, actions) = rig.arrive(1, 2.0);
        let Some(executor) = sent_to(&actions) else { continue };
        rig.pass(400 * MS);
        rig.now += 9 * S;
        let idle = Some(Report { inflight: Some(0.0), ..Report::default() });
        rig.finish_with(request, 0, executor, Outcome::Ok, 2.0, idle);
    }
    rig.pass(4 * S);
    assert!(sent_to(&rig.arrive(1, 6.0).1).is_some());
}

/// Executors out of memory made requests wait at half their utilization, and no pressure was seen. The memory in use
/// makes pressure, as utilization says nothing of that queue.
#[test]
fn memory_that_runs_out_makes_pressure_where_requests_wait_for_it() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(1, 30, 2.0);
    rig.pass(2 * S);
    let full = Some(Report { util: Some(0.5), memory: Some(1.0), ..Report::default() });
    for executor in [1, 2] {
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report: full });
    }
    rig.pass(200 * MS);
    assert!(refused(&rig.arrive(1, 20.0).1).is_some());
}

/// Executors had a third of their cores busy and all of their disks: nothing was rejected and all answers were late.
#[test]
fn busy_disks_make_pressure() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(1, 30, 2.0);
    rig.pass(2 * S);
    let jammed = Some(Report { util: Some(0.3), disks: Some(1.05), ..Report::default() });
    for executor in [1, 2] {
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report: jammed });
    }
    rig.pass(200 * MS);
    assert!(refused(&rig.arrive(1, 20.0).1).is_some());
}

/// The executors of a class bound to one kind were full, and classes free to go elsewhere were rejected with it.
#[test]
fn a_full_pool_of_a_bound_class_rejects_that_class_alone() {
    let mut rig = two_kinds(bound());
    rig.teach(0, 30, 0.2);
    rig.teach(1, 30, 2.0);
    rig.pass(2 * S);
    for executor in 1..=4 {
        let inflight = Some(if executor < 3 { 2.0 } else { 90.0 });
        let report = Some(Report { inflight, ..Report::default() });
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
    }
    rig.pass(200 * MS);
    assert!(refused(&rig.arrive(1, 20.0).1).is_some());
    assert!(sent_to(&rig.arrive(0, 2.0).1).is_some_and(|e| e < 3));
}

/// A tenant with 73% of all traffic went over its quota and got nothing at all from pressure 0.4, not even its quota:
/// executors stood idle while its requests were rejected.
#[test]
fn a_tenant_over_its_quota_still_gets_a_part_of_it_at_half_pressure() {
    let tenants = vec![Tenant { quota_per_s: 40.0 }];
    let mut rig = Rig::new(Settings { tenants, over_quota_weight: 0.1, ..settings() }, 2);
    rig.teach(0, 30, 0.2);
    let busy = Some(Report { inflight: Some(16.0), ..Report::default() });
    let mut sends = [0, 0];
    for n in 0..400 {
        let arrival = Arrival { tenant: Some(0), ..arrival(0, 0, 0.2) };
        let (request, actions) = rig.arrive_as(arrival);
        if let Some(executor) = sent_to(&actions) {
            sends[usize::from(n >= 200)] += 1;
            rig.finish_with(request, 0, executor, Outcome::Ok, 0.2, busy);
        }
        for executor in [1, 2] {
            rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report: busy });
        }
        rig.pass(20 * MS);
    }
    // Some four of its twenty a second pass, not all and not none.
    assert!((8..60).contains(&sends[1]), "{sends:?}");
}

/// How many of 600 requests of the only class are rejected while executors are a little over the load at which pressure
/// begins.
fn rejections(priority_weight: f64) -> usize {
    let mut settings = settings();
    settings.classes.truncate(1);
    settings.classes[0].priority_weight = priority_weight;
    let mut rig = Rig::new(settings, 4);
    rig.teach(0, 30, 0.2);
    let busy = Report { util: Some(1.0), inflight: Some(16.0), ..Report::default() };
    let mut passes = |_: &usize| {
        let (request, actions) = rig.arrive(0, 0.2);
        rig.pass(20 * MS);
        if let Some(executor) = sent_to(&actions) {
            rig.finish_with(request, 0, executor, Outcome::Ok, 0.2, Some(busy));
        }
        refused(&actions).is_some()
    };
    (0..600).filter(|n| passes(n)).count()
}

/// A class with a priority weight of 0 was shed at the first pressure, and without pressure its bucket held NaN, as 0 was
/// divided by 0. The weight sets classes against each other; a class alone is treated alike whatever its weight.
#[test]
fn a_class_without_priority_weight_is_shed_no_sooner_than_the_same_class_alone() {
    assert_eq!([0.0, 1e-9, 7.0].map(rejections), [rejections(1.0); 3]);
}
