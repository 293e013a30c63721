//! Changes of settings at run time.

use crate::common::*;
use ottercroft::api::*;

fn only(kind: KindId, max_attempts: u32) -> Settings {
    let mut settings = settings();
    (settings.classes[0].only_kinds, settings.max_attempts) = (Some(vec![kind]), max_attempts);
    settings
}

// A policy change restricts a class to other machines. Retries of open requests follow the settings that admitted them;
// later arrivals follow the new settings.
#[test]
fn open_requests_complete_under_the_settings_that_admitted_them() {
    let mut rig = crate::two_kinds(only(0, 2));
    let (open, actions) = rig.arrive(0, 0.2);
    let first = sent_to(&actions).expect("sent");
    assert!(first <= 2, "only kind 0: {first}");
    let old = rig.dispatcher.update_settings(only(1, 4)).expect("valid settings");
    assert_eq!(old.classes[0].only_kinds, Some(vec![0]), "the previous settings are returned");
    let (_, actions) = rig.arrive(0, 0.2);
    assert!(sent_to(&actions).is_some_and(|e| e > 2), "only kind 1: {actions:?}");
    let again = sent_to(&rig.finish(open, 0, first, Outcome::Rejected, 0.1)).expect("retried");
    assert!(again <= 2 && again != first, "the other executor of kind 0: {again}");
    let last = rig.finish(open, 1, again, Outcome::Rejected, 0.1);
    assert!(
        sent_to(&last).is_none() && refused(&last).is_some(),
        "at most two attempts, as admitted: {last:?}"
    );
}

// Invalid settings are rejected, and the previous ones stay in effect.
#[test]
fn invalid_settings_change_nothing() {
    let mut rig = crate::two_kinds(only(0, 2));
    assert!(rig.dispatcher.update_settings(only(9, 2)).is_err());
    assert!(sent_to(&rig.arrive(0, 0.2).1).is_some_and(|e| e <= 2));
}
