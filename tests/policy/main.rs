//! One policy for a whole fleet, changed everywhere or nowhere: three real dispatchers and faults between them.

mod fleet;

use fleet::*;
use standins::asks::*;
use standins::link::Weather;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const ALL: [usize; 3] = [0, 1, 2];
/// Long enough that a machine that stalls for a while does not end it.
const LEASE: &str = "4s";

fn timed(fleet: &Fleet, at: usize, line: &str) -> (String, Duration) {
    let begun = Instant::now();
    (fleet.call(at, line), begun.elapsed())
}

// A change takes hold at all three or it is two policies at once: a request asked after any other one was seen to go
// by the new policy must not go by the old one, wherever it is asked. What waits for the switch is served, not refused.
#[test]
fn a_policy_takes_hold_everywhere() {
    let mut fleet = Fleet::start(LEASE, [SETTINGS; 3]);
    let (told, first) = timed(&fleet, 0, &format!("POLICY PROPOSE {}", fleet.file("old", "")));
    taken(&told, 1);
    fleet.in_force(&ALL, 1);
    let since = SystemTime::now();
    ALL.iter().chain(&ALL).for_each(|i| fleet.client(*i));
    thread::sleep(Duration::from_millis(500));
    // One hears of each step later than the others: what it admitted meanwhile by the old policy would be seen.
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
    // Calls that change something have 800 ms to be agreed; a stall of the machine hits one of two, not both.
    assert!(first.min(second) < Duration::from_secs(1), "{first:?} {second:?}");
    assert!(status.iter().all(|t| *t < Duration::from_secs(1)), "{status:?}");
}

// One dispatcher that can't do a policy is enough for it to take hold nowhere; an operator reads at any other one what
// is wrong and where. Otherwise that one would go on by the old policy, or by none.
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
    // Where it can be seen at once it is told at once, and the fleet is not asked.
    let here = fleet.call(2, &format!("POLICY PROPOSE {bad}"));
    assert!(here.starts_with("-ERR ") && here.contains("report"), "{here}");
    thread::sleep(Duration::from_millis(300));
    fleet.rest();
    assert_eq!(fleet.reached(NEW, |a| a.asked > since).len(), 0);
    assert!(fleet.asks().iter().all(|a| a.got == Some(Answer::Rows)), "{:?}", fleet.asks());
}

// One that is cut off can't hear of a switch: it has to stop by its own clock before the others go on without it, and
// must not come back to the policy that it knew.
#[test]
fn a_dispatcher_that_is_cut_off_refuses_until_it_knows() {
    let mut fleet = Fleet::start("2s", [SETTINGS; 3]);
    fleet.binds("old", 1);
    let since = SystemTime::now();
    ALL.iter().chain(&ALL).for_each(|i| fleet.client(*i));
    thread::sleep(Duration::from_millis(300));
    fleet.weather(2, Weather::Silent);
    // If it led, the others need an election before they can agree on anything.
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
    // Those that were open as the links cleared may have waited for that.
    let served = between.filter(|a| a.got == Some(Answer::Rows)).map(|a| a.rid).collect::<Vec<_>>();
    assert!(fleet.reached(OLD, |a| served.contains(&a.rid)).is_empty(), "{served:?}");
}

// The one that proposed dies before it could see its change through, with its answer and without: the others end it
// alike, and it learns what is in force before it serves again. A proposer that is needed would leave a fleet stuck,
// and one that starts by its settings would be a policy of its own.
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
        // Once it has a lease again, nothing of before is under way any more that could still begin.
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

// An operator who was wrong goes back, or calls off what is under way; of two who propose at once one is told that it
// is not his policy that comes. Otherwise either would believe in a policy that is not there.
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
    // One that hears nothing holds every change up as long as its lease lasts.
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

// Whoever has not asked for policies has nothing of them: no call, no line in the figures, and no request that is
// refused for want of a lease.
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
    let line = d.logs("operators' address ");
    let at = line.split("operators' address ").nth(1).unwrap().trim().parse().unwrap();
    lines.iter().for_each(|l| assert_eq!(call(at, l), unknown, "{l}"));
}
