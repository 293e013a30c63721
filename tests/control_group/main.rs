//! Tests of a control group with three member processes, three dispatcher processes that follow them, and clients.

mod group;
mod members;
mod requests;

use group::*;
use standins::asks::{Answer, call};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, SystemTime};

// Guards against two policies in force at once: after any dispatcher has admitted a request by the new policy, none
// admits one by the old policy. Requests that wait for the change are served, not refused.
#[test]
fn followers_serve_through_a_change() {
    let mut group = Group::start("");
    group.call_in_force(0, "old", 1);
    let since = SystemTime::now();
    (0..3).chain(0..3).for_each(|i| group.client(i));
    thread::sleep(Duration::from_millis(400));
    group.call_in_force(1, "new", 2);
    let switch = group.first_new(since);
    thread::sleep(Duration::from_millis(400));
    group.rest();
    assert!(!group.reached(OLD, |a| a.asked > since).is_empty(), "the old policy was in use before");
    assert_eq!(group.late_old(switch), []);
    let odd: Vec<_> = group.asks().into_iter().filter(|a| a.got != Some(Answer::Rows)).collect();
    assert!(odd.is_empty(), "{odd:?}");
    let status = group.status(2);
    assert!(status.starts_with("+OK policy 2 in force\n"), "{status}");
    let told = group.call_follower(0, "POLICY ABORT");
    assert!(told.starts_with("-ERR this dispatcher follows a control group"), "{told}");
}

// A killed member: its followers connect to others, and a change completes without it.
#[test]
fn a_member_that_is_killed_is_not_needed() {
    let mut group = Group::start("");
    group.call_in_force(0, "old", 1);
    let since = SystemTime::now();
    (0..3).for_each(|i| group.client(i));
    group.kill_member(0);
    group.call_in_force(1, "new", 2);
    let switch = group.first_new(since);
    thread::sleep(Duration::from_millis(500));
    group.rest();
    assert_eq!(group.late_old(switch), []);
    for i in 0..3 {
        let again = group.ask(i);
        assert_eq!(again.got, Some(Answer::Rows), "dispatcher {i} serves");
    }
}

// A dispatcher that is stopped during a change serves only by the new policy once it resumes.
#[test]
fn a_dispatcher_that_stood_still_admits_nothing_old() {
    let mut group = Group::start("");
    group.call_in_force(0, "old", 1);
    let since = SystemTime::now();
    (0..3).for_each(|i| group.client(i));
    thread::sleep(Duration::from_millis(200));
    group.dispatchers[2].0.signal("STOP");
    let line = group.propose(0, "new");
    assert!(line.starts_with("+OK proposed 2"), "{line}");
    let switch = group.first_new(since);
    group.dispatchers[2].0.signal("CONT");
    group.in_force_at_followers(2);
    thread::sleep(Duration::from_millis(300));
    group.rest();
    assert_eq!(group.late_old(switch), []);
}

// A policy that one dispatcher can't apply comes into force nowhere, and each member reports which dispatcher and why.
#[test]
fn a_policy_that_one_dispatcher_cannot_do_is_told_at_the_members() {
    let with = SETTINGS.replace(
        r#","boundTo":["old","new"]}]"#,
        r#","boundTo":["old","new"]},{"name":"report","promise":5.0,"hardLimit":20.0,"effect":"read_like"}]"#,
    );
    let group = Group::with("", [&with, &with, SETTINGS], &with);
    let file = group.file("new", "  class \"report\" {\n    worth = 2\n  }\n");
    let told = group.call_member(0, &format!("POLICY PROPOSE {file}"));
    assert_eq!(told, "+OK proposed 1\n");
    let status = group.until_member(0, |s| s.contains("1 given up: "));
    assert!(status.contains("follower-2: ") && status.contains("report"), "{status}");
    assert!(status.starts_with("+OK policy 0 in force"), "{status}");
}

// Changes proposed while another is in progress are all accepted; the last of them is in force in the end.
#[test]
fn of_changes_that_are_called_at_once_the_last_is_in_force() {
    let group = Group::start("");
    let lines: Vec<String> = (0..8).map(|n| group.propose(n % 3, ["old", "new"][n % 2])).collect();
    assert!(lines.iter().all(|l| l.starts_with("+OK proposed ")), "{lines:?}");
    group.in_force_at_followers(8);
    let status = group.until_member(1, |s| s.starts_with("+OK policy 8 in force\n8 in force\n"));
    let other = |l: &&str| l.contains("given up") && !l.contains("given up: superseded by ");
    assert_eq!(status.lines().find(other), None, "{status}");
}

// Rolling restart of all members: the log is kept, and the dispatchers serve meanwhile.
#[test]
fn members_are_replaced_one_by_one() {
    let mut group = Group::start("");
    group.call_in_force(0, "old", 1);
    (0..3).for_each(|i| group.client(i));
    for i in 0..3 {
        group.end_member(i);
        group.start_member(i);
        group.until_member(i, |s| s.starts_with("+OK policy 1 in force"));
        group.until_leased(i);
    }
    group.call_in_force(2, "new", 2);
    group.rest();
    assert_eq!(group.ask(0).got, Some(Answer::Rows));
}

// An invalid frame, an oversized one, and a follower of another group: only the connection concerned is closed.
#[test]
fn bad_bytes_end_their_own_connection_alone() {
    let group = Group::start("");
    let at = group.followers_address(0);
    let long = [&0x00ff_ffff_u32.to_le_bytes()[..], &(0x00ff_ffff_u32 ^ 0x6f74_6374).to_le_bytes()].concat();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &long] {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(bytes).unwrap();
        let mut rest = Vec::new();
        assert!(stream.read_to_end(&mut rest).is_ok_and(|n| n == 0) || rest.is_empty());
    }
    let figures = group.call_member(0, "DUMP");
    assert!(figures.contains("control_bad_frames_total 2\n"), "{figures}");
    let mut stranger = group.start_follower("another", SETTINGS, 9);
    let line = stranger.0.logs("member lost");
    assert!(line.contains("Rejected(Group(\"control\"))"), "{line}");
    group.call_in_force(0, "old", 1);
    assert_eq!(group.ask(1).got, Some(Answer::Rows));
}

// A follower rejects a process that answers at a member's address but is not that member.
#[test]
fn whoever_is_not_the_listed_member_is_not_believed() {
    let group = Group::start("");
    // The three members' addresses are permuted, so that each answers as another member than the one dialed.
    let mut follower = group.start_follower_at("control", SETTINGS, 9, [1, 2, 0]);
    let line = follower.0.logs("member lost");
    assert!(line.contains("WrongMember"), "{line}");
    let told = call(follower.1, "POLICY STATUS");
    assert!(told.starts_with("-ERR "), "it knows nothing: {told}");
}

// Without the `control` block there is no call, metric or socket of a control group.
#[test]
fn without_the_block_nothing_of_it_runs() {
    let (mut dispatcher, operators) = alone();
    assert_eq!(call(operators, "POLICY STATUS"), "-ERR unknown call \"POLICY\"\n");
    assert!(!call(operators, "DUMP").contains("control"));
    let pid = dispatcher.child.id();
    let sockets = || {
        let fds = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
        fds.filter(|f| std::fs::read_link(f.path()).is_ok_and(|l| l.starts_with("socket:"))).count()
    };
    // Clients, operators, the two ends of the signal stream, and the feed.
    assert!(sockets() <= 6, "{}", sockets());
    dispatcher.signal("TERM");
    assert!(dispatcher.ends());
}
