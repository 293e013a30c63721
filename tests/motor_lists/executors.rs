//! The effects of a list on the executors that it contains and on those that it leaves out.

use super::*;

// An executor is removed from its list while it runs a load: the load completes on its connection, and the executor gets
// no new work. Once listed again, it is up.
#[test]
fn an_unlisted_executor_completes_its_load_and_gets_no_new_work() {
    let (e1, e2, fixture) = (Executor::new(), Executor::new(), fixture());
    let both = [("e1", e1.address, ""), ("e2", e2.address, "state = \"draining\"")];
    fixture.write_sealed(&list(&both));
    let (mut d, _coordinator) = fixture.launch().dispatcher(&[]);
    let mut loader = Client::asks(d.address, LOAD);
    let mut peer = e1.accept();
    let load = peer.command().unwrap();
    assert_eq!(load[0], "PULL");
    fixture.write_sealed(&list(&[("e2", e2.address, "")]));
    d.logs("executor listed anew executor=\"e1\" state=Draining");
    let mut client = Client::asks(d.address, &read(1));
    let mut other = e2.accept();
    let pull = other.command().unwrap();
    other.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    peer.page(&load[1], "OK pages=1", ROW);
    assert_eq!(loader.got(), rows());
    d.logs("executor drained and removed executor=\"e1\"");
    fixture.write_sealed(&list(&[("e1", e1.address, ""), ("e2", e2.address, "state = \"draining\"")]));
    d.logs("executor listed anew executor=\"e2\" state=Draining");
    wait_until_warm();
    client.ask(&read(2));
    let mut peer = e1.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
}

// The same address under a new uid is another process: attempts of the old one complete on their connections, and new
// attempts use a new connection.
#[test]
fn an_address_under_a_new_uid_has_connections_of_its_own() {
    let (e1, fixture) = (Executor::new(), fixture());
    fixture.write_sealed(&list(&[("old", e1.address, "")]));
    let (mut d, _coordinator) = fixture.launch().dispatcher(&[]);
    let mut client = Client::asks(d.address, &read(2));
    let mut old = e1.accept();
    let pull = old.command().unwrap();
    old.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    let mut loader = Client::asks(d.address, LOAD);
    let load = old.command().unwrap();
    assert_eq!(load[0], "PULL");
    fixture.write_sealed(&list(&[("new", e1.address, "")]));
    d.logs("executor listed anew executor=\"old\" state=Draining");
    wait_until_warm();
    client.ask(&read(1));
    let mut new = e1.accept();
    let pull = new.command().unwrap();
    assert_eq!(pull[1], "0000000000000001");
    new.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    old.page(&load[1], "OK pages=1", ROW);
    assert_eq!(loader.got(), rows());
}

// The entry of a list file takes precedence over that of the feed if the file is listed first.
#[test]
fn a_file_has_precedence_over_the_feed() {
    let (e1, e2, fixture) = (Executor::new(), Executor::new(), fixture());
    fixture.write_sealed(&list(&[("e1", e1.address, "state = \"draining\""), ("e2", e2.address, "")]));
    let (d, coordinator) = fixture.launch().dispatcher(&[("e1", e1.address)]);
    let (mut feed, _) = coordinator.accept();
    use std::io::Write;
    for (n, state) in [(2, "removed"), (3, "up"), (4, "up")] {
        writeln!(feed, "{}", event(n, false, &[target("e1", e1.address, state)])).unwrap();
    }
    // If e1 were up, half of these requests would be sent to it and time out.
    let mut client = Client::asks(d.address, &read(1));
    let mut peer = e2.accept();
    for id in 2..22 {
        let pull = peer.command().unwrap();
        peer.page(&pull[1], "OK pages=1", ROW);
        assert_eq!(client.got(), rows());
        client.ask(&read(id));
    }
}
