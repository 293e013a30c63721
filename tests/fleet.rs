//! What is harmless at one gateway and harmful at a hundred. Each story drives the decisions of one gateway as
//! thin or as busy as it would be in a small or a large fleet, or several of them that share nothing.

mod common;

use common::*;
use ottercroft::api::*;

/// Reports come with probes alone, and probes have a price, as where many gateways stand before many engines.
fn priced() -> Settings {
    Settings { reports: Reports::OnProbe, probe_price: 0.1, gateways: 100, ..settings() }
}

fn probes(rig: &Rig) -> usize {
    rig.log.iter().filter(|(_, a)| matches!(a, Action::Probe { .. })).count()
}

/// Found on the days at size: with five queries a second no report was still fresh at the next one, so nearly
/// each query had an engine probed, and a hundred gateways paid eight points of service for it.
#[test]
fn probes_of_thin_traffic_stay_within_what_its_queries_pay_for() {
    let mut rig = Rig::new(priced(), 30);
    for i in 0..300 {
        let (q, actions) = rig.arrive(usize::from(i % 5 == 0), 0.2);
        let e = sent_to(&actions).expect("a query without a fresh report is sent all the same");
        rig.pass(200 * MS);
        rig.finish(q, 0, e, Outcome::Ok, 0.2);
    }
    // A tenth of a probe for each query, and what the purse holds.
    assert!(probes(&rig) <= 40, "{} probes for 300 queries", probes(&rig));
    assert!(probes(&rig) >= 15, "what is paid for is used: {}", probes(&rig));
}

/// The same mechanism at a small fleet: a hundred queries a second pay for all the probes that they want.
#[test]
fn busy_traffic_probes_as_often_as_reports_grow_old() {
    let mut rig = Rig::new(Settings { probe_price: 0.01, gateways: 3, ..priced() }, 6);
    for _ in 0..500 {
        let (q, actions) = rig.arrive(0, 0.02);
        rig.pass(10 * MS);
        rig.finish(q, 0, sent_to(&actions).unwrap(), Outcome::Ok, 0.02);
    }
    assert!((12..=60).contains(&probes(&rig)), "{} probes in 5 s", probes(&rig));
}

/// Dear queries gain most by a report: cheap ones leave them half of what there is.
#[test]
fn cheap_queries_leave_probes_for_dear_ones() {
    let mut rig = Rig::new(priced(), 30);
    for _ in 0..400 {
        let (q, actions) = rig.arrive(0, 0.1);
        rig.pass(200 * MS);
        rig.finish(q, 0, sent_to(&actions).unwrap(), Outcome::Ok, 0.1);
    }
    let before = probes(&rig);
    rig.arrive(1, 6.0);
    assert!(probes(&rig) >= before + 2, "{} probes for a dear query", probes(&rig) - before);
}
