//! Retries, hedged requests, runaway attempts, priorities and memory grants.

use crate::common::*;
use ottercroft::api::*;

#[test]
fn a_failed_attempt_is_retried_immediately_on_another_executor() {
    let mut rig = Rig::new(settings(), 3);
    let (request, actions) = rig.arrive(0, 0.2);
    let first = sent_to(&actions).unwrap();
    let again = sent_to(&rig.finish(request, 0, first, Outcome::Error, 0.001)).expect("retried");
    assert_ne!(first, again);
}

// Without a configured retry budget, overloaded executors looked unresponsive, and hedging all their requests made the
// overload worse. The default budget limits hedged requests.
#[test]
fn hedged_requests_stay_within_the_default_retry_budget() {
    let mut rig = Rig::new(Settings { retry_budget: None, ..settings() }, 3);
    rig.teach(0, 60, 0.2);
    let stuck: Vec<_> = (0..60).map(|_| rig.arrive(0, 0.2).0).collect();
    let sent = rig.pass(3 * S);
    let hedged = sent.iter().filter(|a| matches!(a, Action::Send { request, .. } if stuck.contains(request)));
    assert!(hedged.count() <= 3 + 30);
}

// A bad query plan makes an attempt run for a multiple of its expected time. It is cancelled and retried on another
// executor, whether or not the executor reports progress.
#[test]
fn a_runaway_attempt_is_cancelled_and_retried() {
    for progress in [None, Some(500 * MS)] {
        let mut rig = Rig::new(Settings { progress_interval: progress, ..settings() }, 3);
        rig.teach(0, 30, 0.2);
        rig.teach(1, 60, 0.4);
        rig.pass(2 * S);
        let (request, actions) = rig.arrive(1, 0.4);
        let executor = sent_to(&actions).unwrap();
        let mut all = vec![];
        for i in 1..=20 {
            all.extend(rig.pass(100 * MS));
            // Other requests are served meanwhile, so that the executor does not look unresponsive.
            for _ in 0..4 {
                let (other, actions) = rig.arrive(0, 0.05);
                if let Some(e) = sent_to(&actions) {
                    rig.finish(other, 0, e, Outcome::Ok, 0.05);
                }
            }
            if progress.is_some() && i % 5 == 0 {
                let progress = AttemptProgress::Progress(0.01 * f64::from(i));
                rig.event(Event::AttemptProgressed { request, attempt: 0, executor, progress });
            }
        }
        let again = all
            .iter()
            .position(|a| matches!(a, Action::Send { request: retried, .. } if *retried == request));
        let cancel = all.iter().position(|a| *a == Action::Cancel { request, attempt: 0 });
        assert!(again.is_some() && cancel.is_some(), "progress {progress:?}: {all:?}");
    }
}

#[test]
fn cheap_requests_get_higher_priority_and_grants_follow_reported_needs() {
    let mut rig = Rig::new(settings(), 2);
    rig.teach(0, 30, 0.2);
    rig.teach(1, 30, 2.0);
    let terms = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SetTerms { memory_mb, priority, .. } => Some((*memory_mb, *priority)),
            _ => None,
        })
    };
    let light = terms(&rig.arrive(0, 0.1).1).unwrap();
    let heavy = terms(&rig.arrive(1, 6.0).1).unwrap();
    assert!(light.1 > heavy.1);
    // Estimates and reported needs are 100: the grant falls from the initial 125 to near 100.
    assert!(light.0 > 95.0 && light.0 < 115.0, "{light:?}");
}

// An executor may lose one request and report progress of all others. The attempt without progress messages is retried
// on another executor long before its deadline; the one with progress messages is not.
#[test]
fn an_unresponsive_attempt_is_retried_on_another_executor() {
    let mut rig = Rig::new(Settings { progress_interval: Some(500 * MS), ..settings() }, 3);
    let sent = |all: &[Action]| {
        let executor =
            |a: &Action| if let Action::Send { executor, .. } = a { Some(*executor) } else { None };
        all.iter().find_map(executor)
    };
    let (lost, actions) = rig.arrive(1, 1.0);
    let executor = sent(&actions).unwrap();
    let answering = loop {
        let (request, actions) = rig.arrive(1, 1.0);
        match sent(&actions) {
            Some(e) if e == executor => break request,
            other => drop(rig.finish(request, 0, other.unwrap(), Outcome::Ok, 1.0)),
        }
    };
    let mut all = Vec::new();
    for step in 1..=5u32 {
        all.extend(rig.pass(500 * MS));
        let progress = AttemptProgress::Progress(0.19 * f64::from(step));
        all.extend(rig.event(Event::AttemptProgressed {
            request: answering,
            attempt: 0,
            executor,
            progress,
        }));
    }
    let again = |id| {
        all.iter().any(
            |a| matches!(a, Action::Send { request, executor: e, .. } if *request == id && *e != executor),
        )
    };
    assert!(again(lost) && all.contains(&Action::Cancel { request: lost, attempt: 0 }), "{all:?}");
    assert!(!again(answering));
}

// Network links may lose a fifth of all attempts. With the default retry budget, each lost attempt is retried.
#[test]
fn the_default_retry_budget_covers_a_loss_of_one_fifth_of_attempts() {
    let mut rig = Rig::new(Settings { retry_budget: None, ..settings() }, 3);
    for n in 0..60 {
        let (request, actions) = rig.arrive(0, 0.1);
        let executor =
            |a: &Action| if let Action::Send { executor, .. } = a { Some(*executor) } else { None };
        let first = actions.iter().find_map(executor).unwrap();
        if n % 5 == 0 {
            let again = rig.finish(request, 0, first, Outcome::Timeout, 0.1);
            let second = again.iter().find_map(executor);
            assert!(second.is_some(), "request {n}: {again:?}");
            rig.finish(request, 1, second.unwrap(), Outcome::Ok, 0.1);
        } else {
            rig.finish(request, 0, first, Outcome::Ok, 0.1);
        }
    }
}
