//! Slow attempts where hedging is not allowed: their successors are sent only after they were cancelled.

use crate::common::*;
use ottercroft::api::*;

fn without_hedging(base_retries: f64) -> Settings {
    let window = 60 * S;
    let retry_budget = Some(RetryBudget { base_retries, retries_per_request: 0.0, window, send_delay: 0 });
    Settings { hedging: false, retry_budget, ..settings() }
}

/// A fleet of three executors that knows what requests cost.
fn taught(settings: Settings) -> Rig {
    let mut rig = Rig::new(settings, 3);
    rig.teach(0, 30, 0.2);
    rig.teach(1, 60, 0.4);
    rig.pass(2 * S);
    rig
}

/// Passes some time, in which executors answer other requests, so that none looks unresponsive.
fn pass_with_traffic(rig: &mut Rig, tenths: usize) -> Vec<Action> {
    let mut all = vec![];
    for _ in 0..tenths {
        all.extend(rig.pass(100 * MS));
        for _ in 0..4 {
            let (other, actions) = rig.arrive(0, 0.05);
            if let Some(executor) = sent_to(&actions) {
                rig.finish(other, 0, executor, Outcome::Ok, 0.05);
            }
        }
    }
    all
}

fn ends(action: &Action, id: RequestId) -> bool {
    match action {
        Action::Cancel { request, .. } | Action::Reject { request, .. } | Action::Fail { request, .. } => {
            *request == id
        }
        _ => false,
    }
}

// Without hedging, a slow attempt used to be cancelled before the retry budget and the number of attempts were looked
// at: the request lost the attempt that was running and was rejected.
#[test]
fn a_slow_attempt_goes_on_if_no_other_may_follow() {
    let one_attempt = Settings { max_attempts: 1, ..without_hedging(100.0) };
    for (what, settings) in [("no retry budget", without_hedging(0.0)), ("one attempt", one_attempt)] {
        let mut rig = taught(settings);
        let (request, actions) = rig.arrive(1, 0.4);
        let executor = sent_to(&actions).unwrap();
        let all = pass_with_traffic(&mut rig, 20);
        assert!(!all.iter().any(|action| ends(action, request)), "{what}: {all:?}");
        let after = rig.finish(request, 0, executor, Outcome::Ok, 2.0);
        assert!(!after.iter().any(|action| ends(action, request)), "{what}: {after:?}");
    }
}

// The same for the attempts of an executor that sends nothing any more.
#[test]
fn an_attempt_on_an_unresponsive_executor_goes_on_if_no_other_may_follow() {
    let mut rig = taught(without_hedging(0.0));
    let (request, _) = rig.arrive(1, 0.4);
    let all = rig.pass(2_500 * MS);
    assert!(all.iter().any(|action| matches!(action, Action::Log(line) if line.contains("silent"))));
    assert!(!all.iter().any(|action| ends(action, request)), "{all:?}");
}

// Of two slow requests, only as many are cancelled as the budget has retries for, however late the cancellations are
// confirmed, and each that was cancelled is sent again.
#[test]
fn a_retry_is_reserved_until_the_cancellation_is_confirmed() {
    let mut rig = taught(without_hedging(1.0));
    let slow = [rig.arrive(1, 0.4), rig.arrive(1, 0.4)]
        .map(|(request, actions)| (request, sent_to(&actions).unwrap()));
    let all = pass_with_traffic(&mut rig, 20);
    let cancelled: Vec<_> =
        slow.iter().filter(|(id, _)| all.iter().any(|action| ends(action, *id))).copied().collect();
    let [(request, executor)] = cancelled[..] else { panic!("cancelled: {cancelled:?}") };
    let again = rig.finish(request, 0, executor, Outcome::Cancelled, 0.0);
    assert!(sent_to(&again).is_some_and(|other| other != executor), "{again:?}");
    let later = pass_with_traffic(&mut rig, 10);
    let sent = |action: &Action| matches!(action, Action::Send { request, .. } if slow.iter().any(|(id, _)| id == request));
    assert!(!later.iter().any(sent), "more retries than the budget has");
}

// An attempt that is served while its cancellation is on the way needs no successor: its retry is for another request.
#[test]
fn a_reserved_retry_is_taken_back_if_the_request_ends() {
    let mut rig = taught(without_hedging(1.0));
    let slow = [rig.arrive(1, 0.4), rig.arrive(1, 0.4)]
        .map(|(request, actions)| (request, sent_to(&actions).unwrap()));
    let all = pass_with_traffic(&mut rig, 20);
    type Slow = Vec<(RequestId, ExecutorId)>;
    let (first, second): (Slow, Slow) =
        slow.into_iter().partition(|(id, _)| all.iter().any(|action| ends(action, *id)));
    assert_eq!((first.len(), second.len()), (1, 1));
    rig.finish(first[0].0, 0, first[0].1, Outcome::Ok, 2.0);
    let later = pass_with_traffic(&mut rig, 5);
    assert!(later.contains(&Action::Cancel { request: second[0].0, attempt: 0 }), "{later:?}");
}
