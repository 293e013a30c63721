//! KILL QUERY that reaches another process than the request it is for.

use super::*;

/// Two loads of one key at the process that accepts clients: one that an executor has, and one that waits behind it.
fn running_and_waiting(deployment: &Deployment, at: &Process) -> (Client, Peer, Client) {
    let running = Client::asks(at.dispatcher.address, &load(1));
    let mut executor = deployment.executors[0].accept();
    assert_eq!(executor.command().unwrap()[0], "PULL");
    let waiting = Client::asks(at.dispatcher.address, &load(2));
    (running, executor, waiting)
}

/// Ends the running load; the load behind it, which was killed, must not have begun.
fn assert_killed_before_it_began(mut running: Client, mut executor: Peer, mut waiting: Client) {
    assert!(matches!(waiting.got(), Got::Error(1317, _)), "the killed request is interrupted");
    executor.page(&format!("{:016x}", 1), "OK pages=1", "1\tx\ty\n");
    assert!(matches!(running.got(), Got::Rows(_)));
    // Its client may ask on; an attempt of the killed load would come before this one.
    waiting.ask(&load(3));
    assert_eq!(executor.command().unwrap()[1], format!("{:016x}", 3));
}

// A client's KILL QUERY is a new connection, which may reach the new process while the request is at the old one: it was
// answered with 1094, and the cancelled load was begun.
#[test]
fn a_kill_at_the_new_process_reaches_the_request_of_the_old_one() {
    let deployment = Deployment::new(1);
    let old = deployment.first();
    let (running, executor, waiting) = running_and_waiting(&deployment, &old);
    let _new = deployment.beside(&old);
    assert_eq!(old.call("LEAVE"), "+OK leaving\n", "new connections reach the new process from here on");
    let mut killer = Client::asks(old.dispatcher.address, &format!("KILL QUERY {}", waiting.id));
    assert_eq!(killer.got(), Got::Ok);
    assert_killed_before_it_began(running, executor, waiting);
}

// The same the other way round: the old process accepts connections until some time after SIGTERM.
#[test]
fn a_kill_at_the_old_process_reaches_the_request_of_the_new_one() {
    let deployment = Deployment::new(1);
    let old = deployment.first();
    let new = deployment.beside(&old);
    assert_eq!(old.call("LEAVE"), "+OK leaving\n");
    let (running, executor, waiting) = running_and_waiting(&deployment, &new);
    assert_eq!(old.call("JOIN"), "+OK joined\n");
    assert_eq!(new.call("LEAVE"), "+OK leaving\n", "new connections reach the old process from here on");
    let mut killer = Client::asks(old.dispatcher.address, &format!("KILL QUERY {}", waiting.id));
    assert_eq!(killer.got(), Got::Ok);
    assert_killed_before_it_began(running, executor, waiting);
}

// A second upgrade may begin while the oldest process drains: a KILL at the newest one must reach it after SIGTERM.
#[test]
fn a_kill_at_the_third_process_reaches_a_request_of_the_first_one_that_drains() {
    let deployment = Deployment::new(1);
    let first = deployment.first();
    let (running, executor, waiting) = running_and_waiting(&deployment, &first);
    let second = deployment.beside(&first);
    assert_eq!(first.call("LEAVE"), "+OK leaving\n");
    let _third = deployment.beside(&second);
    assert_eq!(second.call("LEAVE"), "+OK leaving\n");
    first.dispatcher.signal("TERM");
    let mut killer = Client::asks(first.dispatcher.address, &format!("KILL QUERY {}", waiting.id));
    assert_eq!(killer.got(), Got::Ok);
    let (mut running, mut executor, mut waiting) = (running, executor, waiting);
    assert!(matches!(waiting.got(), Got::Error(1317, _)), "the killed request is interrupted");
    executor.page(&format!("{:016x}", 1), "OK pages=1", "1\tx\ty\n");
    assert!(matches!(running.got(), Got::Rows(_)));
}

// A connection that no process has is an error, whether the other process runs, is stopped, or was killed. None of these
// may stop the process that was asked, and statements behind the KILL are answered after it.
#[test]
fn a_kill_for_an_unknown_connection_is_an_error_whatever_the_other_process_does() {
    let deployment = Deployment::new(1);
    let old = deployment.first();
    let new = deployment.beside(&old);
    assert_eq!(old.call("LEAVE"), "+OK leaving\n");
    let unknown = |id: u32| {
        let mut killer = Client::asks(new.dispatcher.address, &format!("KILL QUERY {id}"));
        killer.ask("COMMIT");
        assert!(matches!(killer.got(), Got::Error(1094, _)));
        assert_eq!(killer.got(), Got::Ok);
        killer.id
    };
    let id = unknown(0);
    let other_id = id.wrapping_add(1_000_000);
    old.dispatcher.stands_still();
    unknown(other_id);
    drop(old);
    unknown(other_id);
}

// After a standstill the old process may read the KILL before the request that it is for: the pipe was readable first, as
// an earlier message waited in it. The KILL found nothing open, and the request began.
#[test]
fn a_kill_is_not_read_before_the_request_that_it_is_for() {
    let deployment = Deployment::new(1);
    let old = deployment.first();
    let mut client = Client::asks(old.dispatcher.address, "COMMIT");
    assert_eq!(client.got(), Got::Ok);
    // A client that has written a part of its request is not closed by LEAVE.
    let request = query(&load(1));
    let (begin, rest) = request.split_at(9);
    client.stream.write_all(begin).unwrap();
    let _new = deployment.beside(&old);
    let kill = |id: u32| {
        let mut killer = Client::asks(old.dispatcher.address, &format!("KILL QUERY {id}"));
        assert!(matches!(killer.got(), Got::Error(1094, _)), "the other process stands still");
    };
    assert_eq!(old.call("LEAVE"), "+OK leaving\n");
    old.dispatcher.stands_still();
    kill(0);
    client.stream.write_all(rest).unwrap();
    kill(client.id);
    old.dispatcher.goes_on();
    assert!(matches!(client.got(), Got::Error(1317, _)), "the killed request is interrupted");
}
