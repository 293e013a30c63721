//! What passes, what is refused at once, and what makes pressure.

use crate::common::*;
use crate::{bound, two_kinds, under_pressure};
use ottercroft::api::*;

#[test]
fn an_expensive_request_is_refused_at_once_under_pressure_and_a_light_one_passes() {
    let mut rig = Rig::new(settings(), 2);
    under_pressure(&mut rig);
    let (_, actions) = rig.arrive(1, 30.0);
    let advice = refused(&actions).expect("refused on arrival");
    assert!(advice.is_some_and(|t| t > 0 && t <= 2 * S), "advice when to return: {advice:?}");
    let (_, actions) = rig.arrive(0, 0.02);
    assert!(sent_to(&actions).is_some(), "light queries match no rule");
}

#[test]
fn without_pressure_expensive_requests_pass() {
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
fn without_estimates_the_remembered_cost_of_the_table_group_decides() {
    let mut rig = Rig::new(settings(), 2);
    under_pressure(&mut rig);
    let of = |group| Arrival { estimated_thread_seconds: None, table_group: group, ..arrival(0, 1, 0.0) };
    // Group 9 has been dear, group 8 cheap.
    for (group, cost) in [(9, 40.0), (8, 0.1)] {
        let (q, actions) = rig.arrive_as(of(group));
        if let Some(e) = sent_to(&actions) {
            rig.finish(q, 0, e, Outcome::Ok, cost);
        } else {
            // Closed by pressure: teach by told estimates of light requests.
            let (q, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, 1, 0.1) });
            rig.finish(q, 0, sent_to(&actions).unwrap(), Outcome::Ok, cost);
        }
    }
    assert!(refused(&rig.arrive_as(of(9)).1).is_some());
    assert!(sent_to(&rig.arrive_as(of(8)).1).is_some());
}

/// Found on the bench: lateness alone as the brake stayed shut long after the executors were idle.
#[test]
fn pressure_from_lateness_eases_when_executors_have_room() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(0, 30, 0.2);
    rig.teach(1, 30, 2.0);
    for _ in 0..20 {
        let (q, actions) = rig.arrive(1, 2.0);
        let Some(e) = sent_to(&actions) else { continue };
        rig.pass(400 * MS);
        rig.now += 9 * S;
        let idle = Some(Report { inflight: Some(0.0), ..Report::default() });
        rig.finish_with(q, 0, e, Outcome::Ok, 2.0, idle);
    }
    rig.pass(4 * S);
    assert!(sent_to(&rig.arrive(1, 6.0).1).is_some());
}

/// Found on the bench (i2c17f0, i244026): utilisation saturates, memory granted tells of the line before.
#[test]
fn memory_near_its_end_makes_pressure_where_requests_wait_for_it() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(1, 30, 2.0);
    rig.pass(2 * S);
    let full = Some(Report { util: Some(0.5), memory: Some(1.0), ..Report::default() });
    for e in [1, 2] {
        rig.event(Event::ProbeFinished { executor: e, outcome: Outcome::Ok, latency: MS, report: full });
    }
    rig.pass(200 * MS);
    assert!(refused(&rig.arrive(1, 20.0).1).is_some());
}

/// Found on the bench (freight-exchange): cores at a third, disks full, nothing refused, all of it late.
#[test]
fn busy_disks_make_pressure() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(1, 30, 2.0);
    rig.pass(2 * S);
    let jammed = Some(Report { util: Some(0.3), disks: Some(1.05), ..Report::default() });
    for e in [1, 2] {
        rig.event(Event::ProbeFinished { executor: e, outcome: Outcome::Ok, latency: MS, report: jammed });
    }
    rig.pass(200 * MS);
    assert!(refused(&rig.arrive(1, 20.0).1).is_some());
}

/// Found on the bench (main-dc): the executors of a bound class were full, and classes free to go elsewhere were refused.
#[test]
fn a_full_pool_of_a_bound_class_refuses_that_class_alone() {
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

/// Found at a site whose largest merchant holds 73% of the fleet: one over its share got nothing at all from
/// pressure 0.4, what is within its share included, and executors stood idle beside the refusals.
#[test]
fn a_tenant_over_its_share_still_gets_a_part_of_it_at_half_pressure() {
    let tenants = vec![Tenant { quota_per_s: 40.0 }];
    let mut rig = Rig::new(Settings { tenants, over_quota_weight: 0.1, ..settings() }, 2);
    rig.teach(0, 30, 0.2);
    let busy = Some(Report { inflight: Some(16.0), ..Report::default() });
    let mut sends = [0, 0];
    for n in 0..400 {
        let a = Arrival { tenant: Some(0), ..arrival(0, 0, 0.2) };
        let (q, actions) = rig.arrive_as(a);
        if let Some(e) = sent_to(&actions) {
            sends[usize::from(n >= 200)] += 1;
            rig.finish_with(q, 0, e, Outcome::Ok, 0.2, busy);
        }
        for executor in [1, 2] {
            rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report: busy });
        }
        rig.pass(20 * MS);
    }
    // Some four of its twenty a second pass, not all and not none.
    assert!((8..60).contains(&sends[1]), "{sends:?}");
}

/// How many of 600 requests of the only class are refused while executors are a little over the load at which pressure
/// begins.
fn refusals(priority_weight: f64) -> usize {
    let mut s = settings();
    s.classes.truncate(1);
    s.classes[0].priority_weight = priority_weight;
    let mut rig = Rig::new(s, 4);
    rig.teach(0, 30, 0.2);
    let busy = Report { util: Some(1.0), inflight: Some(16.0), ..Report::default() };
    let mut passes = |_: &usize| {
        let (q, actions) = rig.arrive(0, 0.2);
        rig.pass(20 * MS);
        if let Some(e) = sent_to(&actions) {
            rig.finish_with(q, 0, e, Outcome::Ok, 0.2, Some(busy));
        }
        refused(&actions).is_some()
    };
    (0..600).filter(|n| passes(n)).count()
}

// A class that is worth 0 was shed at the first pressure, and with none its bucket held no number: the weight of its
// worth came to 0. Worth only sets classes against each other; a class alone is treated alike whatever it is worth.
#[test]
fn a_class_that_is_worth_nothing_is_shed_no_sooner_than_the_same_class_alone() {
    assert_eq!([0.0, 1e-9, 7.0].map(refusals), [refusals(1.0); 3]);
}
