//! Behaviour that is harmless at one dispatcher and harmful at a hundred. Each test drives the balancer of one
//! dispatcher with the request rate that it would have in a small or a large fleet, or several independent ones.

#[path = "../common/mod.rs"]
mod common;
mod loads;

use common::*;
use ottercroft::api::*;

/// Reports come with probes only, and probes have a price, as with many dispatchers and many executors.
fn priced() -> Settings {
    Settings { reports: Reports::OnProbe, probe_price: 0.1, dispatchers: 100, ..settings() }
}

fn probes(rig: &Rig) -> usize {
    rig.log.iter().filter(|(_, a)| matches!(a, Action::Probe { .. })).count()
}

/// Found in simulated days of full-size fleets: with five requests a second no report was still fresh at the next one,
/// so that nearly each request caused a probe, which cost a hundred dispatchers eight points of service.
#[test]
fn probes_of_thin_traffic_stay_within_what_its_requests_pay_for() {
    let mut rig = Rig::new(priced(), 30);
    for i in 0..300 {
        let (q, actions) = rig.arrive(usize::from(i % 5 == 0), 0.2);
        let e = sent_to(&actions).expect("a request without a fresh report is sent all the same");
        rig.pass(200 * MS);
        rig.finish(q, 0, e, Outcome::Ok, 0.2);
    }
    // A tenth of a probe for each request, plus the saved probe budget.
    assert!(probes(&rig) <= 40, "{} probes for 300 requests", probes(&rig));
    assert!(probes(&rig) >= 15, "what is paid for is used: {}", probes(&rig));
}

/// The same mechanism in a small fleet: a hundred requests a second pay for all the probes that they need.
#[test]
fn busy_traffic_probes_as_often_as_reports_grow_old() {
    let mut rig = Rig::new(Settings { probe_price: 0.01, dispatchers: 3, ..priced() }, 6);
    for _ in 0..500 {
        let (q, actions) = rig.arrive(0, 0.02);
        rig.pass(10 * MS);
        rig.finish(q, 0, sent_to(&actions).unwrap(), Outcome::Ok, 0.02);
    }
    assert!((12..=60).contains(&probes(&rig)), "{} probes in 5 s", probes(&rig));
}

/// Expensive requests gain most from a report: cheap ones leave them half of the probe budget.
#[test]
fn cheap_requests_leave_probes_for_dear_ones() {
    let mut rig = Rig::new(priced(), 30);
    for _ in 0..400 {
        let (q, actions) = rig.arrive(0, 0.1);
        rig.pass(200 * MS);
        rig.finish(q, 0, sent_to(&actions).unwrap(), Outcome::Ok, 0.1);
    }
    let before = probes(&rig);
    rig.arrive(1, 6.0);
    assert!(probes(&rig) >= before + 2, "{} probes for an expensive request", probes(&rig) - before);
}

/// A fleet of independent dispatchers, each with a request every 200 ms, four of five light. Eighteen of thirty
/// executors restart at once. Returns the work sent to each of these, by second since the restart.
fn replaced(dispatchers: u32, seconds: usize) -> Vec<Vec<f64>> {
    let s = Settings { dispatchers, probe_price: 0.1, reports: Reports::OnProbe, ..settings() };
    let mut sent = vec![vec![0.0; seconds]; 18];
    for g in 0..dispatchers {
        let mut rig = Rig::seeded(s.clone(), 30, u64::from(g) + 1);
        rig.teach(0, 30, 0.1);
        rig.teach(1, 10, 1.0);
        let started = Some(rig.now);
        let endpoints = (1..=18).map(|e| Endpoint { started, ..endpoint(e) }).collect();
        rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints });
        for i in 0..5 * seconds {
            let (class, cost) = if (i + g as usize) % 5 == 0 { (1, 1.0) } else { (0, 0.1) };
            let (q, actions) = rig.arrive(class, cost);
            rig.pass(200 * MS);
            let Some(e) = sent_to(&actions) else { continue };
            if e <= 18 {
                sent[e as usize - 1][i / 5] += cost;
            }
            rig.finish(q, 0, e, Outcome::Ok, cost);
        }
    }
    sent
}

/// Found in simulated days of full-size fleets: a hundredth of an executor's budget is less than any request, so that a
/// hundred dispatchers that each saved it up sent eighteen cold executors a tenth of a thread each, while the twelve
/// others held forty. All dispatchers together must not overload any of them either.
#[test]
fn a_hundred_dispatchers_use_cold_executors_and_push_none_over() {
    let cold = settings().slow_start;
    let (window, cores) = (cold.overload_window as f64 / 1e6, 8.0);
    let sent = replaced(100, 6);
    let mean = sent.iter().flatten().sum::<f64>() / (18.0 * 6.0);
    // A fraction of their capacity from the first second on, in thread-seconds per second.
    assert!(
        mean > 0.3 * cold.initial_fraction * cores,
        "{mean:.2} a second of {:.2}",
        cold.initial_fraction * cores
    );
    // Two whole seconds are longer than the window.
    let most = sent.iter().flat_map(|e| e.windows(2).map(|w| w[0] + w[1])).fold(0.0, f64::max);
    let budget = cold.overload_factor * cold.initial_fraction * cores * window;
    assert!(most < budget, "{most:.2} within the window, {budget:.2} push it over");
}

/// The same mechanism with three dispatchers.
#[test]
fn three_dispatchers_push_no_cold_executor_over_either() {
    let cold = settings().slow_start;
    let most = replaced(3, 6).iter().flat_map(|e| e.windows(2).map(|w| w[0] + w[1])).fold(0.0, f64::max);
    assert!(
        most < cold.overload_factor * cold.initial_fraction * 8.0 * cold.overload_window as f64 / 1e6,
        "{most:.2}"
    );
}

/// Runs a request; executor 1 fails it, any other serves it. Returns whether it was sent to executor 1.
fn met_the_bad_one(rig: &mut Rig, class: ClassId) -> bool {
    let (q, actions) = rig.arrive(class, 0.2);
    let Some(mut e) = sent_to(&actions) else { return false };
    let met = e == 1;
    if met {
        let again = rig.finish(q, 0, 1, Outcome::Error, 0.001);
        e = sent_to(&again).unwrap_or(0);
    }
    rig.pass(20 * MS);
    if e > 1 {
        rig.finish(q, u32::from(met), e, Outcome::Ok, 0.2);
    }
    met
}

/// Found in simulated days of full-size fleets: each dispatcher had to see six errors of its own before it ejected a
/// bad executor, which cost a hundred dispatchers 1,400 attempts. If another executor serves the request, the statement
/// was not at fault.
#[test]
fn two_errors_that_another_executor_does_not_make_are_proof() {
    let mut rig = Rig::new(Settings { reports: Reports::Off, ..priced() }, 4);
    let met = (0..40).filter(|_| met_the_bad_one(&mut rig, 0)).count();
    assert!(met <= 2, "{met} requests sent to it within a second");
}

/// A statement that fails at every executor is no executor's fault: none is ejected.
#[test]
fn errors_that_every_executor_makes_blame_nobody() {
    let mut rig = Rig::new(Settings { reports: Reports::Off, ..priced() }, 4);
    for _ in 0..3 {
        let (q, actions) = rig.arrive(0, 0.2);
        let (mut next, mut n) = (sent_to(&actions), 0);
        while let Some(e) = next {
            next = sent_to(&rig.finish(q, n, e, Outcome::Error, 0.001));
            n += 1;
        }
        rig.pass(S);
    }
    let ejected = |a: &Action| matches!(a, Action::Log(l) if l.contains("ejected"));
    assert!(!rig.log.iter().any(|(_, a)| ejected(a)));
}

/// Found in simulated days of full-size fleets: a non-idempotent request fails with its first error, so that it must
/// not be the trial for an ejected executor, and one proven error keeps it away.
#[test]
fn what_may_not_run_twice_avoids_an_executor_that_failed_others() {
    let mut s = Settings { reports: Reports::Off, ..priced() };
    s.classes[1].idempotency = Idempotency::NotIdempotent;
    let mut rig = Rig::new(s, 4);
    while !met_the_bad_one(&mut rig, 0) {}
    let met = (0..60).filter(|_| met_the_bad_one(&mut rig, 1)).count();
    assert!(met <= 3, "{met} of 60 sent there");
}

/// Found in simulated days of full-size fleets: a hundred dispatchers that each spread a few requests a second over all
/// executors open a connection for nearly every second request. If connections have a price, a dispatcher keeps to
/// executors that it has used while these have room, each dispatcher to different ones; if not, it spreads at once.
#[test]
fn thin_traffic_stays_with_executors_that_it_has_met() {
    let reached = |handshake_price: f64, seed: u64| {
        let s = Settings { handshake_price, reports: Reports::Off, ..priced() };
        let mut rig = Rig::seeded(s, 30, seed);
        for group in 0..100 {
            let (q, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, 0, 0.1) });
            rig.pass(200 * MS);
            rig.finish(q, 0, sent_to(&actions).unwrap(), Outcome::Ok, 0.1);
        }
        let sent = rig.log.iter().filter_map(|(_, a)| sent_to(std::slice::from_ref(a)));
        sent.collect::<std::collections::BTreeSet<_>>()
    };
    let (few, many) = (reached(0.08, 1), reached(0.0, 1));
    assert!((2..=15).contains(&few.len()), "{} executors for a hundred requests", few.len());
    assert!(many.len() >= 25, "{}", many.len());
    let all: std::collections::BTreeSet<_> = (0..20).flat_map(|seed| reached(0.08, seed)).collect();
    assert!(all.len() >= 28, "all dispatchers together reach {}", all.len());
}

/// Found in simulated days of full-size fleets: a dispatcher with little traffic has reports of two or three executors
/// at a time, and when these were the busy ones it refused requests that thirty others had room for.
#[test]
fn a_few_crowded_reports_do_not_close_a_large_fleet() {
    let refusals = |executors: u32| {
        let mut rig = Rig::new(priced(), executors);
        rig.teach(0, 30, 0.2);
        for _ in 0..20 {
            let report = Some(Report { inflight: Some(26.0), ..Report::default() });
            for executor in 1..=2 {
                rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
            }
            rig.pass(100 * MS);
        }
        (0..40).filter(|_| refused(&rig.arrive(0, 0.5).1).is_some()).count()
    };
    assert!(refusals(2) > 20, "two executors that are the fleet: {}", refusals(2));
    assert!(refusals(30) <= 4, "two of thirty: {}", refusals(30));
}

/// Found in simulated days of full-size fleets (seed 103): the loads of one hot key run one at a time, each at the
/// lowest priority as it is expensive, so that those queued behind it were late: the class served 0.61 where others
/// served 0.97.
#[test]
fn a_load_that_others_wait_behind_has_the_priority_of_a_lighter_one() {
    let mut s = priced();
    s.classes[1].keep_order = true;
    let mut rig = Rig::new(s, 4);
    rig.teach(0, 60, 0.2);
    let load = Arrival { key: Some(5), time_budget: 60 * S, ..arrival(0, 1, 3.0) };
    let (first, _) = rig.arrive_as(load.clone());
    let priority = |rig: &Rig| {
        rig.log.iter().rev().find_map(|(_, a)| match a {
            Action::SetTerms { request, priority, .. } if *request == first => Some(*priority),
            _ => None,
        })
    };
    let alone = priority(&rig).expect("sent with its terms");
    for _ in 0..5 {
        rig.arrive_as(load.clone());
    }
    rig.pass(200 * MS);
    assert!(priority(&rig) > Some(alone), "{alone} alone, {:?} with five behind it", priority(&rig));
}
