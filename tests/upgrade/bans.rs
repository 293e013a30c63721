//! Bans that an operator sets or lifts at one of the processes.

use super::*;

/// Asserts how many executors a process holds back.
fn assert_ejected(process: &Process, executors: usize) {
    let figures = process.call("DUMP");
    assert!(figures.contains(&format!("dispatcher_ejected {executors}\n")), "{figures}");
}

// An executor that was taken out at one process got new work from the other one, as each knew its own calls alone.
#[test]
fn a_ban_at_either_process_holds_at_both() {
    let deployment = Deployment::new(3);
    let old = deployment.first();
    let new = deployment.beside(&old);
    assert_eq!(old.call("OFFLINE e1"), "+OK offline e1\n");
    assert_eq!(new.call("OFFLINE e2"), "+OK offline e2\n");
    assert_ejected(&old, 2);
    assert_ejected(&new, 2);
    let mut client = Client::asks(old.dispatcher.address, &load(1));
    let mut executor = deployment.executors[2].accept();
    assert_eq!(executor.command().unwrap()[0], "PULL", "the executor that is left gets the work");
    executor.page(&format!("{:016x}", 1), "OK pages=1", "1\tx\ty\n");
    assert!(matches!(client.got(), Got::Rows(_)));
    // Either process may lift a ban of the other one.
    assert_eq!(new.call("ONLINE e1"), "+OK online e1\n");
    assert_eq!(old.call("ONLINE e2"), "+OK online e2\n");
    assert_ejected(&old, 0);
    assert_ejected(&new, 0);
}

// A process that wrote the hand-over file replaced what the other one had written: the next process must find the bans of
// both, also if both were killed.
#[test]
fn bans_of_both_processes_reach_the_next_ones() {
    let deployment = Deployment::new(4);
    let first = deployment.first();
    let second = deployment.beside(&first);
    assert_eq!(first.call("OFFLINE e1"), "+OK offline e1\n");
    assert_eq!(second.call("OFFLINE e2"), "+OK offline e2\n");
    // The call is processed after the ban of the other process.
    assert_ejected(&first, 2);
    let third = deployment.beside(&second);
    assert_ejected(&third, 2);
    assert_eq!(third.call("ONLINE e1"), "+OK online e1\n");
    assert_eq!(second.call("OFFLINE e3"), "+OK offline e3\n");
    assert_ejected(&third, 2);
    drop((first, second));
    assert_ejected(&third, 2);
    let address = third.dispatcher.address.to_string();
    drop(third);
    let fourth = Process::start(&deployment.config(&address));
    assert_ejected(&fourth, 2);
    assert_eq!(fourth.call("ONLINE e2"), "+OK online e2\n");
    assert_eq!(fourth.call("ONLINE e3"), "+OK online e3\n");
    assert_ejected(&fourth, 0);
}

// A process that stood still while operators called the other one must hold their bans once it goes on, and an old ban of
// its own must not come back.
#[test]
fn a_process_that_stood_still_learns_what_was_called_meanwhile() {
    let deployment = Deployment::new(3);
    let old = deployment.first();
    let new = deployment.beside(&old);
    assert_eq!(old.call("OFFLINE e1"), "+OK offline e1\n");
    assert_ejected(&new, 1);
    old.dispatcher.stands_still();
    assert_eq!(new.call("ONLINE e1"), "+OK online e1\n");
    assert_eq!(new.call("OFFLINE e2"), "+OK offline e2\n");
    assert_eq!(new.call("OFFLINE e3"), "+OK offline e3\n");
    old.dispatcher.goes_on();
    assert_ejected(&old, 2);
    assert_eq!(old.call("OFFLINE e1"), "+OK offline e1\n");
    assert_ejected(&new, 3);
}
