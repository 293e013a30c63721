//! Executors whose reports state no load: the load is estimated from latencies of own requests instead.

use super::*;

/// Settings for executors that send progress messages, and reports that state no load.
fn without_load_reports() -> Settings {
    Settings { progress_interval: Some(500 * MS), reports_cost: false, ..fleet(300) }
}

const REPORT_WITHOUT_LOAD: Option<Report> =
    Some(Report { util: None, inflight: None, queue: Some(0.0), memory: None, disks: None });

/// Serves one request that takes `ratio` times as long as estimated.
fn serve_at_ratio(rig: &mut Rig, class: ClassId, group: u64, ratio: f64) -> Option<ExecutorId> {
    let (request, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, class, 0.2) });
    let executor = sent_to(&actions)?;
    let threads = f64::from(without_load_reports().classes[class].threads);
    let latency = (0.2 / threads * ratio * 1e6) as Micros;
    rig.pass(latency);
    rig.event(Event::AttemptFinished(AttemptFinished {
        request,
        attempt: 0,
        executor,
        request_done: true,
        outcome: Outcome::Ok,
        latency,
        reported_cost: None,
        report: REPORT_WITHOUT_LOAD,
    }));
    Some(executor)
}

/// Each request caused three probes whose responses stated no load: they cost service points and were useless.
#[test]
fn executors_are_not_probed_where_reports_state_no_load() {
    let mut rig = Rig::new(without_load_reports(), 40);
    serve_at_ratio(&mut rig, 0, 1, 1.0);
    let before = probes(&rig);
    for group in 0..40 {
        serve_at_ratio(&mut rig, 0, group, 1.0);
    }
    assert_eq!(probes(&rig), before);
}

/// Without load reports, pressure came from lateness alone, which lags too far behind. The latency ratio of own
/// requests raises pressure earlier, and loses its effect as it gets old.
#[test]
fn the_latency_ratio_of_own_requests_raises_pressure_until_it_is_old() {
    let mut rig = Rig::new(without_load_reports(), 4);
    for group in 0..30 {
        serve_at_ratio(&mut rig, 0, group, 1.0);
    }
    assert!(sent_to(&rig.arrive(0, 1.0).1).is_some(), "no pressure at the usual latency");
    for group in 0..12 {
        serve_at_ratio(&mut rig, 0, group, 4.0);
    }
    rig.pass(100 * MS);
    assert!(refused(&rig.arrive(0, 2.0).1).is_some(), "pressure while all executors are slow");
    rig.pass(60 * S);
    assert!(sent_to(&rig.arrive(0, 2.0).1).is_some(), "no pressure from old latencies");
}
