//! What the decisions do, one test for each behaviour or failure found.

mod admission;
mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod health;
mod policy;
mod requests;
mod selection;

use common::*;
use ottercroft::api::*;

fn crowded() -> Option<Report> {
    Some(Report { inflight: Some(60.0), ..Report::default() })
}

/// Learns both classes, then lets every executor report a crowd.
fn under_pressure(rig: &mut Rig) {
    rig.teach(0, 30, 0.2);
    rig.teach(1, 30, 2.0);
    for _ in 0..12 {
        let (q, actions) = rig.arrive(0, 0.02);
        let e = sent_to(&actions).expect("light queries pass");
        rig.finish_with(q, 0, e, Outcome::Ok, 0.02, crowded());
        rig.pass(100 * MS);
    }
}

fn bound() -> Settings {
    let mut s = settings();
    s.classes[1].only_kinds = Some(vec![1]);
    s
}

/// Executors 1 and 2 of kind 0, 3 and 4 of kind 1, which alone may take the second class.
fn two_kinds(s: Settings) -> Rig {
    let mut rig = Rig::new(s, 4);
    let endpoints = (1..=4).map(|i| Endpoint { kind: (i as usize - 1) / 2, ..endpoint(i) }).collect();
    rig.event(Event::EndpointList { kind: EndpointListKind::Replace, endpoints });
    rig
}
