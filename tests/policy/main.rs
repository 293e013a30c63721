//! Atomic policy changes of a fleet of three dispatcher processes, with network faults between them.

mod fleet;

use fleet::*;
use standins::asks::*;
use standins::link::Weather;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const ALL: [usize; 3] = [0, 1, 2];
/// Long enough that a short stall of the machine does not end it.
const LEASE: &str = "4s";

fn timed(fleet: &Fleet, at: usize, line: &str) -> (String, Duration) {
    let begun = Instant::now();
    (fleet.call(at, line), begun.elapsed())
}

// Guards against two policies in force at once: a request sent after any other was seen to follow the new policy must
// not follow the old one at any dispatcher. Requests that wait for the switch are served, not refused.
#[test]
fn a_policy_takes_hold_everywhere() {
    let mut fleet = Fleet::start(LEASE, [SETTINGS; 3]);
    let (told, first) = timed(&fleet, 0, &format!("POLICY PROPOSE {}", fleet.file("old", "")));
    taken(&told, 1);
    fleet.in_force(&ALL, 1);
    let since = SystemTime::now();
    ALL.iter().chain(&ALL).for_each(|i| fleet.client(*i));
    thread::sleep(Duration::from_millis(500));
    // One dispatcher learns of each step later than the others, so that admissions by the old policy would show.
    fleet.weather(2, Weather::Late(60));
    let (told, second) = timed(&fleet, 1, &format!("POLICY PROPOSE {}", fleet.file("new", "")));
    taken(&told, 2);
    let status = fleet.in_force(&ALL, 2);
    assert_eq!(status, "+OK policy 2 in force\n2 in force\n1 in force\n.\n");
    let switch = fleet.first_new(since);
    fleet.weather(2, Weather::Clear);
    thread::sleep(Duration::from_millis(500));
    let status = ALL.map(|i| timed(&fleet, i, "POLICY STATUS").1.min(timed(&fleet, i, "POLICY STATUS").1));
    fleet.rest();
    assert!(!fleet.reached(OLD, |a| a.asked > since).is_empty(), "the old policy was in use before");
    assert_eq!(
        fleet.late_old(switch).iter().map(|a| a.rid).collect::<Vec<_>>(),
        [0; 0],
        "no two policies at once"
    );
    assert_eq!(
        fleet.asks().into_iter().filter(|a| a.got != Some(Answer::Rows)).map(|a| a.got).collect::<Vec<_>>(),
        []
    );
    // Calls that change something have 800 ms to be committed; a stall of the machine hits one of two, not both.
    assert!(first.min(second) < Duration::from_secs(1), "{first:?} {second:?}");
    assert!(status.iter().all(|t| *t < Duration::from_secs(1)), "{status:?}");
}

// A policy that one dispatcher can't apply comes into force nowhere, and an operator can read at any other dispatcher
// what is wrong and where. Otherwise that one would continue with the old policy, or with none.
#[test]
fn a_policy_that_one_cannot_take_takes_hold_nowhere() {
    let more =
        r#","boundTo":["old","new"]},{"name":"report","promise":5.0,"hardLimit":20.0,"effect":"read_like"}]"#;
    let with = SETTINGS.replace(r#","boundTo":["old","new"]}]"#, more);
    assert_ne!(with, SETTINGS);
    let mut fleet = Fleet::start(LEASE, [&with, &with, SETTINGS]);
    fleet.binds("old", 1);
    let since = SystemTime::now();
    ALL.iter().for_each(|i| fleet.client(*i));
    let bad = fleet.file("new", "  class \"report\" {\n    worth = 2\n  }\n");
    taken(&fleet.call(0, &format!("POLICY PROPOSE {bad}")), 2);
    let status = fleet.until(&ALL, "given up", |s| s.contains("2 given up: 1 of 3 voted against it"));
    assert!(status.starts_with("+OK policy 1 in force\n"), "{status}");
    let fault = status.lines().find(|l| l.starts_with("2 peer ")).unwrap_or_default();
    assert!(fault.contains("report") && fault.contains("unknown; known here: read"), "{status}");
    // A dispatcher that sees the error itself reports it at once, without a vote of the fleet.
    let here = fleet.call(2, &format!("POLICY PROPOSE {bad}"));
    assert!(here.starts_with("-ERR ") && here.contains("report"), "{here}");
    thread::sleep(Duration::from_millis(300));
    fleet.rest();
    assert_eq!(fleet.reached(NEW, |a| a.asked > since).len(), 0);
    assert!(fleet.asks().iter().all(|a| a.got == Some(Answer::Rows)), "{:?}", fleet.asks());
}

// A partitioned dispatcher can't learn of a switch: it has to stop by its own clock before the others switch without
// it, and must not resume with the old policy.
#[test]
fn a_dispatcher_that_is_cut_off_refuses_until_it_knows() {
    let mut fleet = Fleet::start("2s", [SETTINGS; 3]);
    fleet.binds("old", 1);
    let since = SystemTime::now();
    ALL.iter().chain(&ALL).for_each(|i| fleet.client(*i));
    thread::sleep(Duration::from_millis(300));
    fleet.weather(2, Weather::Silent);
    // If it was the leader, the others need an election before they can commit anything.
    let begun = Instant::now();
    let line = format!("POLICY PROPOSE {}", fleet.file("new", ""));
    while !fleet.call(0, &line).starts_with("+OK") && !fleet.call(0, "POLICY STATUS").contains("\nproposed ")
    {
        assert!(begun.elapsed() < PATIENCE);
    }
    fleet.in_force(&[0, 1], 2);
    let switch = fleet.first_new(since);
    let (cut_off, later) = (fleet.ask(2), fleet.ask(2));
    for ask in [&cut_off, &later] {
        assert!(matches!(&ask.got, Some(Answer::Refused(t)) if t.contains("backoff=")), "{ask:?}");
    }
    assert!(fleet.call(2, "POLICY BACK").starts_with("-ERR "), "it can agree on nothing");
    thread::sleep(Duration::from_millis(300));
    let healed = SystemTime::now();
    fleet.weather(2, Weather::Clear);
    fleet.in_force(&ALL, 2);
    let begun = Instant::now();
    while fleet.reached(NEW, |a| a.at == 2 && a.asked > healed).is_empty() {
        assert!(begun.elapsed() < PATIENCE, "it does not serve again");
        thread::sleep(Duration::from_millis(20));
    }
    fleet.rest();
    assert!(
        !fleet.reached(OLD, |a| a.at == 2 && a.asked > since).is_empty(),
        "it served by the old policy before"
    );
    assert_eq!(fleet.late_old(switch).iter().map(|a| (a.at, a.rid)).collect::<Vec<_>>(), []);
    let between = fleet.asks().into_iter().filter(|a| a.at == 2 && a.asked > switch && a.asked < healed);
    // Requests that were open when the links recovered may have waited for that.
    let served = between.filter(|a| a.got == Some(Answer::Rows)).map(|a| a.rid).collect::<Vec<_>>();
    assert!(fleet.reached(OLD, |a| served.contains(&a.rid)).is_empty(), "{served:?}");
}

// The proposer dies before its change is complete, after and before its call was answered: the others reach the same
// result, and it learns the policy in force before it serves again. If the proposer were needed, the fleet would be
// stuck; if it restarted with its own settings, two policies would be in force.
#[test]
fn a_proposer_that_is_killed_is_not_needed() {
    for answered in [true, false] {
        let mut fleet = Fleet::start("2s", [SETTINGS; 3]);
        fleet.binds("old", 1);
        let since = SystemTime::now();
        ALL.iter().for_each(|i| fleet.client(*i));
        thread::sleep(Duration::from_millis(300));
        let line = format!("POLICY PROPOSE {}", fleet.file("new", ""));
        if answered {
            assert_eq!(fleet.call(0, &line), "+OK proposed 2\n");
        } else {
            let mut stream = TcpStream::connect(fleet.dispatchers[0].as_ref().unwrap().1).unwrap();
            stream.write_all(format!("{line}\n").as_bytes()).unwrap();
            thread::sleep(Duration::from_millis(15));
        }
        fleet.dispatchers[0] = None;
        fleet.launch(0);
        let restarted = SystemTime::now();
        fleet.client(0);
        // Once it has a lease again, no earlier proposal can still begin.
        fleet.dispatchers[0].as_mut().unwrap().0.logs("lease held");
        let status =
            fleet.until(&ALL, "at an end", |s| !s.contains("\nproposed ") && s.starts_with("+OK policy "));
        let begun = Instant::now();
        while !fleet.asks().iter().any(|a| a.at == 0 && a.asked > restarted && a.got == Some(Answer::Rows)) {
            assert!(begun.elapsed() < PATIENCE, "it does not serve again: {status}");
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(Duration::from_millis(300));
        fleet.rest();
        let for_now = |a: &Ask| matches!(&a.got, Some(Answer::Refused(t)) if t.contains("backoff="));
        let odd = |a: &Ask| a.asked > restarted && !for_now(a) && a.got != Some(Answer::Rows);
        assert_eq!(fleet.asks().into_iter().filter(odd).map(|a| a.got).collect::<Vec<_>>(), []);
        if status.starts_with("+OK policy 2 in force") {
            let switch = fleet.first_new(since);
            assert_eq!(fleet.late_old(switch).iter().map(|a| (a.at, a.rid)).collect::<Vec<_>>(), []);
            assert!(!fleet.reached(NEW, |a| a.at == 0 && a.asked > restarted).is_empty());
        } else {
            assert!(status.starts_with("+OK policy 1 in force"), "{status}");
            assert!(!answered || status.contains("\n2 given up: "), "{status}");
            assert_eq!(fleet.reached(NEW, |a| a.asked > since).len(), 0);
        }
    }
}

// An operator can go back to the previous policy or abort a change; of two concurrent proposals one is told that
// another is in progress. Otherwise an operator would rely on a policy that is not in force.
#[test]
fn a_change_goes_back_is_called_off_and_excludes_another() {
    let fleet = Fleet::start("10s", [SETTINGS; 3]);
    assert!(fleet.call(1, "POLICY BACK").starts_with("-ERR "), "there is none before");
    assert_eq!(fleet.call(1, "POLICY ABORT"), "-ERR nothing is under way\n");
    fleet.binds("old", 1);
    fleet.binds("new", 2);
    taken(&fleet.call(1, "POLICY BACK"), 3);
    fleet.in_force(&ALL, 3);
    let since = SystemTime::now();
    assert!(ALL.iter().all(|i| fleet.ask(*i).got == Some(Answer::Rows)));
    assert_eq!((fleet.reached(OLD, |a| a.asked > since).len(), fleet.late_new(since)), (3, 0));
    // A partitioned dispatcher blocks every change until its lease has ended.
    fleet.weather(2, Weather::Silent);
    let line = format!("POLICY PROPOSE {}", fleet.file("new", ""));
    let begun = Instant::now();
    while !fleet.call(0, &line).starts_with("+OK") && !fleet.call(0, "POLICY STATUS").contains("\nproposed ")
    {
        assert!(begun.elapsed() < PATIENCE);
    }
    fleet.until(&[1], "under way", |s| s.contains("\nproposed 4 voting by peer "));
    assert_eq!(fleet.call(1, "POLICY ABORT"), "+OK given up: called off by an operator\n");
    fleet.in_force(&[0, 1], 3);
    let both: Vec<String> = thread::scope(|s| {
        let calls = [0, 1].map(|i| {
            s.spawn({
                let (f, l) = (&fleet, &line);
                move || f.call(i, l)
            })
        });
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    let (yes, no): (Vec<&String>, Vec<&String>) = both.iter().partition(|a| a.starts_with("+OK"));
    assert_eq!(
        (yes, no),
        (vec![&"+OK proposed 5\n".to_string()], vec![&"-ERR policy 5 is under way already\n".to_string()])
    );
    assert!(fleet.call(0, "POLICY ABORT").starts_with("+OK given up"));
    fleet.weather(2, Weather::Clear);
    let status = fleet.in_force(&ALL, 3);
    assert!(status.contains("5 given up: called off by an operator\n4 given up: "), "{status}");
    assert_eq!(fleet.late_new(since), 0);
}

// Without a policy block there is no call and no metric of policies, and no request is refused for lack of a lease.
#[test]
fn without_the_block_nothing_of_it_is_there() {
    let unknown = "-ERR unknown call \"POLICY\"\n";
    let lines =
        ["POLICY STATUS", "POLICY ABORT", "POLICY BACK", "POLICY PROPOSE /x", "POLICY", "POLICY STATUS x"];
    let fleet = Fleet::with("", [SETTINGS; 3]);
    lines.iter().for_each(|l| assert_eq!(fleet.call(0, l), unknown, "{l}"));
    assert!(!fleet.call(0, "DUMP").contains("policy"));
    fleet.weather(0, Weather::Silent);
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(fleet.ask(0).got, Some(Answer::Rows));
    let (mut d, _coordinator) = alone();
    let at = d.operators_address();
    lines.iter().for_each(|l| assert_eq!(call(at, l), unknown, "{l}"));
}
