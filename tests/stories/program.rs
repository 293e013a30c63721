//! The program: executor list, signals and configuration.

use super::*;

// The list changes by numbered events: draining executors get no new requests, and a lost feed is resumed after the
// last event, with duplicate events skipped.
#[test]
fn the_feed_goes_on_where_it_was_lost() {
    let executors = [Executor::new(), Executor::new()];
    let at = [executors[0].address, executors[1].address];
    let (d, coordinator) = dispatcher(&[("e1", at[0])]);
    let (mut feed, line) = coordinator.accept();
    assert_eq!(line, "follow 1\n");
    writeln!(feed, "1\n{}\n", event(2, false, &[target("e2", at[1], "up")])).unwrap();
    drop(feed); // the empty line is malformed and closes the connection after the event was applied
    let (mut feed, line) = coordinator.accept();
    assert_eq!(line, "follow 2\n");
    let last = event(3, false, &[target("e1", at[0], "draining")]);
    writeln!(feed, "{}\n{last}\n9", event(2, false, &[target("e2", at[1], "removed")])).unwrap();
    assert_eq!(coordinator.accept().1, "follow 3\n"); // 9 is the last event but only 3 is known: a gap
    std::thread::sleep(std::time::Duration::from_millis(700)); // a new executor is in slow start
    let mut client = Client::asks(d.address, READ);
    let mut peer = executors[1].accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(client.got(), Got::Rows(vec![row(["1", "x", "y"])]));
}

// A planned restart: requests that arrive during shutdown are still accepted, all accepted requests are answered, and
// the program exits with success.
#[test]
fn sigterm_answers_all_that_was_taken() {
    let executor = Executor::new();
    let (mut d, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut open = Client::asks(d.address, READ);
    let mut peer = executor.accept();
    let first = peer.command().unwrap();
    let mut stuck = Client::asks(d.address, LOAD);
    let mut held = executor.accept();
    assert_eq!(held.command().unwrap()[0], "PULL");
    d.signal("TERM");
    d.logs("SIGTERM");
    let mut late = Client::asks(d.address, &READ.replace("a1", "a3"));
    let mut other = executor.accept();
    let second = other.command().unwrap();
    for (peer, pull) in [(&mut peer, &first), (&mut other, &second)] {
        peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    }
    assert_eq!(open.got(), Got::Rows(vec![row(["1", "x", "y"])]));
    assert_eq!(late.got(), Got::Rows(vec![row(["1", "x", "y"])]));
    assert!(matches!(stuck.got(), Got::Error(1105, _)), "it may have run, so it is failed");
    assert!(d.child.wait().unwrap().success());
}

// SIGHUP used to terminate the program. It switches the feed to the file's coordinator, from the last known event, and
// does not affect clients, executors and open requests; an invalid file changes nothing.
#[test]
fn sighup_moves_the_feed_and_nothing_else() {
    let executor = Executor::new();
    let (mut d, old) = dispatcher(&[("e1", executor.address)]);
    let (feed, _) = old.accept();
    // A long estimate, so that the attempt is not taken for an outlier and hedged during the test.
    let mut client = Client::asks(d.address, &READ.replace("est=10.0", "est=15000.0"));
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    let new = Coordinator::new();
    let moved = d.config.replace(&format!("\"{}\"", old.address), &format!("\"{}\"", new.address));
    for (config, told) in
        [(&moved[..99], "configuration reload rejected"), (&moved, "configuration reloaded")]
    {
        std::fs::write(&d.file, config).unwrap();
        d.signal("HUP");
        d.signal("HUP");
        d.logs(told);
    }
    let (mut followed, line) = new.accept();
    assert_eq!(line, "follow 1\n");
    writeln!(followed, "{}", event(2, false, &[target("e1", executor.address, "draining")])).unwrap();
    d.logs("executor listed anew executor=\"e1\" state=Draining");
    assert_eq!((&feed).read(&mut [0; 8]).unwrap(), 0, "the old feed is closed");
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(client.got(), Got::Rows(vec![row(["1", "x", "y"])]));
}

// A coordinator that falls silent on an open connection is followed anew, and a partial event is ignored.
#[test]
fn a_coordinator_that_falls_silent_is_asked_again() {
    let (e1, e2) = (Executor::new(), Executor::new());
    let (mut d, coordinator) = dispatcher(&[("e1", e1.address)]);
    let change = event(2, false, &[target("e2", e2.address, "up")]);
    let (mut silent, _) = coordinator.accept();
    write!(silent, "{}", &change[..40]).unwrap();
    let (mut feed, line) = coordinator.accept();
    assert_eq!(line, "follow 1\n");
    writeln!(feed, "{change}\n{}", event(3, false, &[target("e2", e2.address, "draining")])).unwrap();
    d.logs("executor listed anew executor=\"e2\" state=Draining was=Up");
}

// An invalid configuration gives one error line and a failed start, not a dispatcher that works in part.
#[test]
fn a_bad_configuration_is_one_line() {
    for (config, what) in
        [("{", "EOF"), (r#"{"listen":"nowhere"}"#, "listen"), (r#"{"listen":"127.0.0.1:0"}"#, "coordinator")]
    {
        let mut child = program(config).0;
        let mut text = String::new();
        child.stderr.take().unwrap().read_to_string(&mut text).unwrap();
        assert!(!child.wait().unwrap().success());
        assert!(text.lines().count() == 1 && text.contains(what), "{text}");
    }
}
