//! Memory grants of a dispatcher that sees few outcomes.

use super::*;

/// A dispatcher that sees few outcomes kept granting too little memory, and 45% of its requests spilled to disk. A
/// single spill message raises the next grant.
#[test]
fn a_single_spill_message_raises_the_next_grant() {
    let mut rig = Rig::new(Settings { reports_cost: false, ..fleet(300) }, 3);
    let grant = |actions: &[Action]| {
        actions
            .iter()
            .find_map(|a| if let Action::SetTerms { memory_mb, .. } = a { Some(*memory_mb) } else { None })
    };
    let (request, actions) = rig.arrive(1, 2.0);
    let (before, executor) = (grant(&actions).expect("a grant"), sent_to(&actions).expect("sent"));
    rig.event(Event::AttemptProgressed {
        request,
        attempt: 0,
        executor,
        progress: AttemptProgress::Spill(300.0),
    });
    let after = grant(&rig.arrive(1, 2.0).1).expect("a grant");
    assert!(after > 1.2 * before, "{before} then {after}");
}

/// With neither progress messages nor reported needs, the grant fell slightly with every response, until most requests
/// spilled and the disks were saturated on a day with little traffic.
#[test]
fn grants_do_not_fall_where_spills_are_not_reported() {
    let mut rig = Rig::new(Settings { reports_cost: false, progress_interval: None, ..fleet(2) }, 3);
    let mut grants = vec![];
    for _ in 0..60 {
        let (request, actions) = rig.arrive(1, 0.2);
        grants.extend(
            actions.iter().find_map(|a| {
                if let Action::SetTerms { memory_mb, .. } = a { Some(*memory_mb) } else { None }
            }),
        );
        let executor = sent_to(&actions).expect("sent");
        rig.event(Event::AttemptFinished(AttemptFinished {
            request,
            attempt: 0,
            executor,
            request_done: true,
            outcome: Outcome::Ok,
            latency: 100 * MS,
            reported_cost: None,
            report: None,
        }));
    }
    assert!(grants.len() == 60 && grants.iter().all(|g| (g - 125.0).abs() < 1.0), "{grants:?}");
}
