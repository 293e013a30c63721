//! Probes, and executors that do not respond.

use super::*;

/// Periodic probes cost 0.2 to 0.35 of the score G, as they grow with executors times dispatchers (found on the bench).
#[test]
fn probes_are_proportional_to_requests_and_an_idle_dispatcher_sends_none() {
    for reports in [Reports::Inline, Reports::OnProbe] {
        let mut rig = Rig::new(Settings { reports, ..fleet(300) }, 40);
        rig.pass(20 * S);
        assert_eq!(probes(&rig), 0);
        for group in 0..50 {
            let (q, actions) = rig.arrive_as(Arrival { table_group: group, ..arrival(0, 0, 0.2) });
            rig.pass(300 * MS);
            rig.finish(q, 0, sent_to(&actions).expect("sent"), Outcome::Ok, 0.2);
        }
        assert!(probes(&rig) > 0 && probes(&rig) <= 3 * 50, "{}", probes(&rig));
    }
}

/// A hanging executor does not respond to probes: after a short wait the request is sent to another one, and the
/// hanging executor is ejected.
#[test]
fn an_executor_that_does_not_respond_to_a_probe_is_skipped_and_ejected() {
    let mut rig = Rig::new(fleet(300), 3);
    let (request, probed) =
        (900, |a: &Action| if let Action::Probe { executor } = a { Some(*executor) } else { None });
    let actions = rig.event(Event::Arrival(arrival(request, 0, 0.2)));
    assert_eq!(sent_to(&actions), None);
    let hanging = actions.iter().find_map(probed).expect("probes are sent first");
    for executor in actions.iter().filter_map(probed).filter(|e| *e != hanging) {
        let report = Some(Report { inflight: Some(1.0), ..Report::default() });
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
    }
    let executor = sent_to(&rig.pass(60 * MS)).expect("sent once the wait is over");
    assert_ne!(executor, hanging);
    let actions = rig.event(Event::ProbeFinished {
        executor: hanging,
        outcome: Outcome::Timeout,
        latency: 250 * MS,
        report: None,
    });
    assert!(actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("no answer to a probe"))));
}

/// A dispatcher that had stalled took its own missed messages for unresponsive executors (found on the bench).
#[test]
fn a_dispatcher_that_stalled_ejects_no_executor() {
    let mut rig = Rig::new(fleet(300), 3);
    rig.teach(0, 60, 0.2);
    let (q, actions) = rig.arrive(0, 0.2);
    let executor = sent_to(&actions).expect("sent");
    rig.now += 5 * S;
    rig.timers.iter_mut().for_each(|t| t.0 = rig.now); // all overdue timers fire now
    let late = rig.pass(0);
    assert!(!late.iter().any(|a| matches!(a, Action::Log(_))), "{late:?}");
    rig.finish(q, 0, executor, Outcome::Ok, 0.2);
    assert!(!rig.pass(S).iter().any(|a| matches!(a, Action::Log(_))));
}

/// A request with a short time budget is sent at once, without waiting for probes.
#[test]
fn a_short_time_budget_is_not_spent_on_probes() {
    let mut rig = Rig::new(fleet(300), 40);
    let request = Arrival { time_budget: 30 * MS, ..arrival(901, 0, 0.2) };
    let actions = rig.event(Event::Arrival(request));
    assert!(sent_to(&actions).is_some(), "{actions:?}");
}
