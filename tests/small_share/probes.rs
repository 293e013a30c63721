//! Executors that are asked, and those that do not answer.

use super::*;

/// Found on the bench: paced probes cost 0.2 to 0.35 of G, as executors times dispatchers.
#[test]
fn probes_stay_in_proportion_to_requests_and_an_idle_dispatcher_sends_none() {
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

/// A hanging executor answers no probe: the request goes elsewhere after a short wait, and the executor is ejected.
#[test]
fn an_executor_that_answers_no_probe_is_passed_over() {
    let mut rig = Rig::new(fleet(300), 3);
    let (request, probed) =
        (900, |a: &Action| if let Action::Probe { executor } = a { Some(*executor) } else { None });
    let asked = rig.event(Event::Arrival(arrival(request, 0, 0.2)));
    assert_eq!(sent_to(&asked), None);
    let dumb = asked.iter().find_map(probed).expect("probes first");
    for executor in asked.iter().filter_map(probed).filter(|e| *e != dumb) {
        let report = Some(Report { inflight: Some(1.0), ..Report::default() });
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
    }
    let executor = sent_to(&rig.pass(60 * MS)).expect("sent once the wait is over");
    assert_ne!(executor, dumb);
    let out = rig.event(Event::ProbeFinished {
        executor: dumb,
        outcome: Outcome::Timeout,
        latency: 250 * MS,
        report: None,
    });
    assert!(out.iter().any(|a| matches!(a, Action::Log(l) if l.contains("no answer to a probe"))));
}

/// Found on the bench: a dispatcher that stood still read its own silence as that of every executor.
#[test]
fn a_dispatcher_that_stood_still_ejects_nobody() {
    let mut rig = Rig::new(fleet(300), 3);
    rig.teach(0, 60, 0.2);
    let (q, actions) = rig.arrive(0, 0.2);
    let executor = sent_to(&actions).expect("sent");
    rig.now += 5 * S;
    rig.timers.iter_mut().for_each(|t| t.0 = rig.now); // all that was due comes now
    let late = rig.pass(0);
    assert!(!late.iter().any(|a| matches!(a, Action::Log(_))), "{late:?}");
    rig.finish(q, 0, executor, Outcome::Ok, 0.2);
    assert!(!rig.pass(S).iter().any(|a| matches!(a, Action::Log(_))));
}

/// A client with hardly any patience gets its answer before it leaves, with no wait for probes.
#[test]
fn a_short_grace_is_not_spent_on_probes() {
    let mut rig = Rig::new(fleet(300), 40);
    let request = Arrival { time_budget: 30 * MS, ..arrival(901, 0, 0.2) };
    let actions = rig.event(Event::Arrival(request));
    assert!(sent_to(&actions).is_some(), "{actions:?}");
}
