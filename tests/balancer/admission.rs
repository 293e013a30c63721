//! Admission control and the sources of pressure.

use crate::common::*;
use crate::{restricted_class, two_kinds, under_pressure};
use ottercroft::api::*;

#[test]
fn under_pressure_expensive_requests_are_rejected_and_cheap_ones_admitted() {
    let mut rig = Rig::new(settings(), 2);
    under_pressure(&mut rig);
    let (_, actions) = rig.arrive(1, 30.0);
    let retry_after = refused(&actions).expect("rejected on arrival");
    assert!(retry_after.is_some_and(|t| t > 0 && t <= 2 * S), "Retry-After: {retry_after:?}");
    let (_, actions) = rig.arrive(0, 0.02);
    assert!(sent_to(&actions).is_some(), "cheap requests match no rule");
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
fn all_requests_are_admitted_until_their_class_has_outcomes() {
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
            // Rejected due to pressure: the cost is learned from requests with a low estimate instead.
            let (request, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, 1, 0.1) });
            rig.finish(request, 0, sent_to(&actions).unwrap(), Outcome::Ok, cost);
        }
    }
    assert!(refused(&rig.arrive_as(arrival_of(9)).1).is_some());
    assert!(sent_to(&rig.arrive_as(arrival_of(8)).1).is_some());
}

/// Guards against rejections long after an overload, which happened when pressure came from lateness alone. Lateness
/// decays faster while executors have spare capacity.
#[test]
fn pressure_from_lateness_decays_while_executors_have_spare_capacity() {
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

/// Executors without free memory queue requests at half utilization, which went unnoticed. The memory in use raises
/// pressure, because utilization does not reflect that queue.
#[test]
fn exhausted_memory_raises_pressure_if_requests_queue_for_it() {
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

/// With a third of the cores but all disks busy, nothing was rejected and all answers were late.
#[test]
fn busy_disks_raise_pressure() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(1, 30, 2.0);
    rig.pass(2 * S);
    let saturated = Some(Report { util: Some(0.3), disks: Some(1.05), ..Report::default() });
    for executor in [1, 2] {
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report: saturated });
    }
    rig.pass(200 * MS);
    assert!(refused(&rig.arrive(1, 20.0).1).is_some());
}

/// When the executors of a class restricted to one kind were full, unrestricted classes were rejected as well.
#[test]
fn a_full_pool_of_a_restricted_class_rejects_only_that_class() {
    let mut rig = two_kinds(restricted_class());
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

/// A tenant with 73% of all traffic exceeded its quota and from pressure 0.4 on got nothing at all, not even its quota:
/// executors were idle while its requests were rejected.
#[test]
fn a_tenant_over_its_quota_still_gets_part_of_it_at_half_pressure() {
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
    // About four of its twenty requests per second are admitted, neither all nor none.
    assert!((8..60).contains(&sends[1]), "{sends:?}");
}

/// Number of rejections among 600 requests of the only class, at a load slightly above the point where pressure begins.
fn rejections(priority_weight: f64) -> usize {
    let mut settings = settings();
    settings.classes.truncate(1);
    settings.classes[0].priority_weight = priority_weight;
    let mut rig = Rig::new(settings, 4);
    rig.teach(0, 30, 0.2);
    let busy = Report { util: Some(1.0), inflight: Some(16.0), ..Report::default() };
    let mut is_rejected = |_: &usize| {
        let (request, actions) = rig.arrive(0, 0.2);
        rig.pass(20 * MS);
        if let Some(executor) = sent_to(&actions) {
            rig.finish_with(request, 0, executor, Outcome::Ok, 0.2, Some(busy));
        }
        refused(&actions).is_some()
    };
    (0..600).filter(|n| is_rejected(n)).count()
}

/// A class with a priority weight of 0 was shed at the slightest pressure, and without pressure its bucket contained
/// NaN from a division of 0 by 0. Weights only compare classes, so a single class is treated alike whatever its weight.
#[test]
fn the_priority_weight_of_a_single_class_does_not_change_its_rejections() {
    assert_eq!([0.0, 1e-9, 7.0].map(rejections), [rejections(1.0); 3]);
}
