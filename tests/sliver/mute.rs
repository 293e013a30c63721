//! Executors whose reports tell of no load.

use super::*;

/// Reports that tell of no load, and notes: the pace of own requests stands in.
fn mute() -> Settings {
    Settings { progress_interval: Some(500 * MS), reports_cost: false, ..fleet(300) }
}

const MUTE: Option<Report> =
    Some(Report { util: None, inflight: None, queue: Some(0.0), memory: None, disks: None });

/// Serves one request that takes so many times what was estimated.
fn paced(rig: &mut Rig, class: ClassId, group: u64, times: f64) -> Option<ExecutorId> {
    let (request, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, class, 0.2) });
    let executor = sent_to(&actions)?;
    let threads = f64::from(mute().classes[class].threads);
    let latency = (0.2 / threads * times * 1e6) as Micros;
    rig.pass(latency);
    rig.event(Event::AttemptFinished(AttemptFinished {
        request,
        attempt: 0,
        executor,
        request_done: true,
        outcome: Outcome::Ok,
        latency,
        reported_cost: None,
        report: MUTE,
    }));
    Some(executor)
}

/// Found on the bench (tunis-lac-campus): three probes a request that told of nothing cost 0.018 of G.
#[test]
fn reports_that_tell_nothing_are_not_asked_for() {
    let mut rig = Rig::new(mute(), 40);
    paced(&mut rig, 0, 1, 1.0);
    let before = probes(&rig);
    for group in 0..40 {
        paced(&mut rig, 0, group, 1.0);
    }
    assert_eq!(probes(&rig), before);
}

/// Found on the bench (tunis-lac-campus): with nothing reported, pressure came from lateness alone, too late.
#[test]
fn the_pace_of_own_requests_makes_pressure_and_is_forgotten() {
    let mut rig = Rig::new(mute(), 4);
    for group in 0..30 {
        paced(&mut rig, 0, group, 1.0);
    }
    assert!(sent_to(&rig.arrive(0, 1.0).1).is_some(), "no pressure at the usual pace");
    for group in 0..12 {
        paced(&mut rig, 0, group, 4.0);
    }
    rig.pass(100 * MS);
    assert!(refused(&rig.arrive(0, 2.0).1).is_some(), "all are slow");
    rig.pass(60 * S);
    assert!(sent_to(&rig.arrive(0, 2.0).1).is_some(), "little heard of late tells of no crowd");
}
