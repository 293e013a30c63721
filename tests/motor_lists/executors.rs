//! What a list makes of the executors that it names and of those that it leaves out.

use super::*;

// An executor that holds a load is taken out of its list: the load runs to its end on the connection that it has,
// nothing new goes there, and taken back in the middle of that the executor is up again.
#[test]
fn a_executor_taken_out_of_its_list_ends_its_load_and_gets_nothing_new() {
    let (e1, e2, place) = (Executor::new(), Executor::new(), place());
    let both = [("e1", e1.address, ""), ("e2", e2.address, "state = \"draining\"")];
    place.put(&list(&both));
    let (mut d, _coordinator) = place.launch().dispatcher(&[]);
    let mut loader = Client::asks(d.address, LOAD);
    let mut peer = e1.accept();
    let load = peer.command().unwrap();
    assert_eq!(load[0], "PULL");
    place.put(&list(&[("e2", e2.address, "")]));
    d.logs("executor listed anew executor=\"e1\" state=Draining");
    let mut client = Client::asks(d.address, &read(1));
    let mut other = e2.accept();
    let pull = other.command().unwrap();
    other.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    peer.page(&load[1], "OK pages=1", ROW);
    assert_eq!(loader.got(), rows());
    d.logs("executor drained and gone executor=\"e1\"");
    place.put(&list(&[("e1", e1.address, ""), ("e2", e2.address, "state = \"draining\"")]));
    d.logs("executor listed anew executor=\"e2\" state=Draining");
    warm();
    client.ask(&read(2));
    let mut peer = e1.accept();
    let pull = peer.command().unwrap();
    peer.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
}

// The same address under a new uid is another process: what the old one had goes to its end where it is, and
// what is new goes out on a connection of its own.
#[test]
fn an_address_under_a_new_uid_has_connections_of_its_own() {
    let (e1, place) = (Executor::new(), place());
    place.put(&list(&[("old", e1.address, "")]));
    let (mut d, _coordinator) = place.launch().dispatcher(&[]);
    let mut client = Client::asks(d.address, &read(2));
    let mut old = e1.accept();
    let pull = old.command().unwrap();
    old.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    let mut loader = Client::asks(d.address, LOAD);
    let load = old.command().unwrap();
    assert_eq!(load[0], "PULL");
    place.put(&list(&[("new", e1.address, "")]));
    d.logs("executor listed anew executor=\"old\" state=Draining");
    warm();
    client.ask(&read(1));
    let mut new = e1.accept();
    let pull = new.command().unwrap();
    assert_eq!(pull[1], "0000000000000001");
    new.page(&pull[1], "OK pages=1", ROW);
    assert_eq!(client.got(), rows());
    old.page(&load[1], "OK pages=1", ROW);
    assert_eq!(loader.got(), rows());
}

// What a list says of an executor goes before what the feed says, if it stands first: the two never fight over one.
#[test]
fn a_file_and_the_feed_never_fight_over_a_executor() {
    let (e1, e2, place) = (Executor::new(), Executor::new(), place());
    place.put(&list(&[("e1", e1.address, "state = \"draining\""), ("e2", e2.address, "")]));
    let (d, coordinator) = place.launch().dispatcher(&[("e1", e1.address)]);
    let (mut feed, _) = coordinator.accept();
    use std::io::Write;
    for (n, state) in [(2, "removed"), (3, "up"), (4, "up")] {
        writeln!(feed, "{}", event(n, false, &[target("e1", e1.address, state)])).unwrap();
    }
    // Were e1 up, half of these would go there, and wait in vain.
    let mut client = Client::asks(d.address, &read(1));
    let mut peer = e2.accept();
    for id in 2..22 {
        let pull = peer.command().unwrap();
        peer.page(&pull[1], "OK pages=1", ROW);
        assert_eq!(client.got(), rows());
        client.ask(&read(id));
    }
}
