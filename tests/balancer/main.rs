//! Tests of the balancer's decisions, one for each behaviour or fault found.

mod admission;
mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod health;
mod policy;
mod replacement;
mod requests;
mod selection;

use common::*;
use ottercroft::api::*;

fn overloaded_report() -> Option<Report> {
    Some(Report { inflight: Some(60.0), ..Report::default() })
}

/// Teaches the costs of both classes, then lets the executors report an overload.
fn under_pressure(rig: &mut Rig) {
    rig.teach(0, 30, 0.2);
    rig.teach(1, 30, 2.0);
    for _ in 0..12 {
        let (request, actions) = rig.arrive(0, 0.02);
        let executor = sent_to(&actions).expect("cheap requests are admitted");
        rig.finish_with(request, 0, executor, Outcome::Ok, 0.02, overloaded_report());
        rig.pass(100 * MS);
    }
}

/// Settings that restrict the second class to kind 1.
fn restricted_class() -> Settings {
    let mut settings = settings();
    settings.classes[1].only_kinds = Some(vec![1]);
    settings
}

/// A rig with executors 1 and 2 of kind 0, and 3 and 4 of kind 1.
fn two_kinds(settings: Settings) -> Rig {
    let mut rig = Rig::new(settings, 4);
    let endpoints = (1..=4).map(|i| Endpoint { kind: (i as usize - 1) / 2, ..endpoint(i) }).collect();
    rig.event(Event::EndpointList { kind: EndpointListKind::Replace, endpoints });
    rig
}
