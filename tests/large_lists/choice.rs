//! Properties of the selection that have to hold although a decision examines only a part of the list.

use super::*;
use std::collections::BTreeSet;

/// Sends `requests` requests of different table groups, each served at once; returns their executors.
fn served_by(rig: &mut Rig, requests: u64, class: ClassId) -> Vec<ExecutorId> {
    let mut all = Vec::new();
    for group in 0..requests {
        let (request, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, class, 0.1) });
        rig.pass(50 * MS);
        let executor = sent_to(&actions).or_else(|| executor_sent_later(rig, request));
        if let Some(executor) = executor {
            rig.finish(request, 0, executor, Outcome::Ok, 0.1);
            all.push(executor);
        }
    }
    all
}

/// The executor of a request that waited for probes first.
fn executor_sent_later(rig: &Rig, wanted: RequestId) -> Option<ExecutorId> {
    rig.log.iter().rev().find_map(|(_, a)| match a {
        Action::Send { request, executor, .. } if *request == wanted => Some(*executor),
        _ => None,
    })
}

// A class bound to a kind of which there are three executors in 3,200 finds all three.
#[test]
fn a_bound_class_finds_its_few_executors() {
    let mut s = settings();
    s.classes[1].only_kinds = Some(vec![1]);
    let kind = |n: u32| usize::from(n % 1_000 == 0);
    let mut rig =
        Rig::knowing(s, 7, (1..=3_200).map(|n| Endpoint { kind: kind(n), ..endpoint(n) }).collect());
    let served = served_by(&mut rig, 60, 1);
    assert_eq!(served.len(), 60, "all are served");
    assert!(served.iter().all(|e| kind(*e) == 1));
    assert_eq!(BTreeSet::from_iter(served).len(), 3, "all three are used");
}

// All dispatchers prefer the same few executors for a table group, more often than by chance.
#[test]
fn dispatchers_agree_on_the_preferred_executors_of_a_table_group() {
    let mut all = Vec::new();
    for seed in 0..40 {
        let mut rig = Rig::seeded(settings(), 3_200, seed);
        for _ in 0..5 {
            let (request, actions) = rig.arrive_as(Arrival { table_group: 7, ..arrival(0, 0, 0.1) });
            rig.pass(50 * MS);
            let executor = sent_to(&actions).or_else(|| executor_sent_later(&rig, request)).expect("sent");
            rig.finish(request, 0, executor, Outcome::Ok, 0.1);
            all.push(executor);
        }
    }
    let most = all.iter().map(|e| all.iter().filter(|o| *o == e).count()).max();
    assert!(most >= Some(all.len() / 20), "{most:?} of {} at one executor of 3,200", all.len());
}

// When all executors that a dispatcher prefers drain, it uses others at once.
#[test]
fn a_draining_subset_is_replaced_at_once() {
    let mut rig = Rig::seeded(settings(), 3_200, 7);
    let before = BTreeSet::from_iter(served_by(&mut rig, 200, 0));
    let leaves = before.iter().map(|e| Endpoint { readiness: Readiness::Draining, ..endpoint(*e) });
    rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints: leaves.collect() });
    let after = served_by(&mut rig, 100, 0);
    assert_eq!(after.len(), 100, "all are served");
    assert!(after.iter().all(|e| !before.contains(e)));
}

// With 300 dispatchers and 3,200 executors, each executor is in the subsets of some dispatchers.
#[test]
fn all_subsets_together_cover_the_list() {
    let mut served = BTreeSet::new();
    for seed in 0..300 {
        // Without prices a dispatcher has no reason to stay with executors that it has used.
        let free = Settings { handshake_price: 0.0, reports: Reports::Off, ..settings() };
        let mut rig = Rig::seeded(free, 3_200, seed);
        served.extend(served_by(&mut rig, 60, 0));
    }
    assert!(served.len() > 3_200 * 95 / 100, "{} of 3,200 executors were sent anything", served.len());
}

// Executors in slow start get a part of their share from the first seconds on, wherever they are in the list.
#[test]
fn cold_executors_of_a_long_list_get_their_share() {
    let mut cold_served = BTreeSet::new();
    for seed in 0..100 {
        let cold = |n: u32| Endpoint { started: (n % 2 == 0).then_some(START), ..endpoint(n) };
        let mut rig = Rig::knowing(settings(), seed, (1..=3_200).map(cold).collect());
        cold_served.extend(served_by(&mut rig, 100, 0).into_iter().filter(|e| e % 2 == 0));
    }
    assert!(cold_served.len() > 800, "{} of 1,600 cold executors were sent anything", cold_served.len());
}
