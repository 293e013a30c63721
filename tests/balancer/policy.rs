//! Settings that change while the dispatcher serves.

use crate::common::*;
use ottercroft::api::*;

fn only(kind: KindId, most: u32) -> Settings {
    let mut settings = settings();
    (settings.classes[0].only_kinds, settings.max_attempts) = (Some(vec![kind]), most);
    settings
}

// A change of policy binds a class to other machines. Open requests are retried where and as often as the settings
// that admitted them allow; later arrivals go by the new settings from the first.
#[test]
fn open_requests_end_under_the_settings_that_admitted_them() {
    let mut rig = crate::two_kinds(only(0, 2));
    let (open, actions) = rig.arrive(0, 0.2);
    let first = sent_to(&actions).expect("sent");
    assert!(first <= 2, "kind 0 alone: {first}");
    let old = rig.dispatcher.update_settings(only(1, 4)).expect("good settings");
    assert_eq!(old.classes[0].only_kinds, Some(vec![0]), "those before come back");
    let (_, actions) = rig.arrive(0, 0.2);
    assert!(sent_to(&actions).is_some_and(|e| e > 2), "kind 1 alone: {actions:?}");
    let again = sent_to(&rig.finish(open, 0, first, Outcome::Rejected, 0.1)).expect("tried again");
    assert!(again <= 2 && again != first, "the other of kind 0: {again}");
    let last = rig.finish(open, 1, again, Outcome::Rejected, 0.1);
    assert!(sent_to(&last).is_none() && refused(&last).is_some(), "two attempts, as then: {last:?}");
}

// Settings that make no sense are refused, and those before stay in force.
#[test]
fn refused_settings_change_nothing() {
    let mut rig = crate::two_kinds(only(0, 2));
    assert!(rig.dispatcher.update_settings(only(9, 2)).is_err());
    assert!(sent_to(&rig.arrive(0, 0.2).1).is_some_and(|e| e <= 2));
}
