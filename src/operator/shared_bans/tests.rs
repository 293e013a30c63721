use super::*;
use proptest::prelude::*;

/// A step of a run with three processes: a call of an operator at one of them, or the delivery of what one knows to another.
#[derive(Debug, Clone)]
enum Step {
    Call { process: usize, executor: String, banned: bool, now: u64 },
    Deliver { from: usize, to: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let call = (0..3usize, "e[1-4]", any::<bool>(), 0..20u64)
        .prop_map(|(process, executor, banned, now)| Step::Call { process, executor, banned, now });
    let deliver = (0..3usize, 0..3usize).prop_map(|(from, to)| Step::Deliver { from, to });
    prop::collection::vec(prop_oneof![call, deliver], 0..60)
}

fn deliver(processes: &mut [SharedBans], from: usize, to: usize) {
    let calls: Vec<(String, BanCall)> =
        processes[from].calls().map(|(id, call)| (id.to_string(), call)).collect();
    for (id, call) in calls {
        processes[to].merge(&id, call).unwrap();
    }
}

proptest! {
    // The processes of a dispatcher must hold the same bans once they know the same calls, in whatever order they learned of
    // them and whatever their clocks say; a call made by an operator who has seen the others must win.
    #[test]
    fn processes_that_know_the_same_calls_hold_the_same_bans(steps in steps()) {
        let mut loaded = Bans::default();
        loaded.offline("e1", true).unwrap();
        let mut processes = vec![SharedBans::new(loaded); 3];
        for step in steps {
            match step {
                Step::Call { process, executor, banned: true, now } => {
                    processes[process].offline(&executor, true, now).unwrap();
                    prop_assert!(processes[process].banned(&executor));
                }
                Step::Call { process, executor, banned: false, now } => {
                    processes[process].online(&executor, true, now).unwrap();
                    prop_assert!(!processes[process].banned(&executor));
                }
                Step::Deliver { from, to } => deliver(&mut processes, from, to),
            }
        }
        for (from, to) in [(0, 1), (1, 2), (2, 0), (2, 1)] {
            deliver(&mut processes, from, to);
        }
        let last = processes[0].online("e4", true, 0).unwrap();
        deliver(&mut processes, 0, 1);
        deliver(&mut processes, 0, 2);
        for process in &processes {
            prop_assert_eq!(process.in_force(), processes[0].in_force());
            prop_assert!(process.calls().eq(processes[0].calls()));
            prop_assert!(last.is_none() || !process.banned("e4"));
        }
    }
}

// A call that is older than the known one, or the same, must change nothing.
#[test]
fn an_older_call_of_another_process_changes_nothing() {
    let mut bans = SharedBans::default();
    let call = bans.offline("e1", true, 10).unwrap().unwrap();
    assert_eq!(bans.merge("e1", call), Ok(Merged::Known));
    assert_eq!(bans.merge("e1", BanCall { at: 9, banned: false }), Ok(Merged::Known));
    assert_eq!(bans.merge("e1", BanCall { at: 10, banned: false }), Ok(Merged::Known));
    assert_eq!(bans.merge("e1", BanCall { at: 11, banned: true }), Ok(Merged::Confirmed));
    assert_eq!(bans.merge("e1", BanCall { at: 12, banned: false }), Ok(Merged::Changed));
    assert_eq!(bans.offline("e1", true, 5), Ok(Some(BanCall { at: 13, banned: true })));
}

// Calls of executors that came and went must not fill the memory; bans in force are kept.
#[test]
fn the_calls_that_are_remembered_are_bounded() {
    let mut bans = SharedBans::default();
    bans.offline("kept", true, 0).unwrap();
    for n in 0..MAX_CALLS as u64 + 100 {
        let id = format!("e{n}");
        bans.offline(&id, true, n).unwrap();
        bans.online(&id, true, n).unwrap();
    }
    assert_eq!(bans.calls().count(), MAX_CALLS);
    assert!(bans.banned("kept"));
    assert_eq!(bans.calls().filter(|(_, call)| call.banned).count(), 1);
}
