//! Misbehaving, idle and excess clients.

use super::*;

// Malformed input must not terminate the program; it closes only the connection on which it arrived.
#[test]
fn bad_input_costs_one_connection() {
    let executor = Executor::new();
    let (mut dispatcher, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut client = Client::asks(dispatcher.address, READ);
    let mut peer = executor.accept();
    peer.command().unwrap();
    peer.say("00000000000000a1 OK pages=1 6\r\nx\ty\tz\n\r"); // one byte short of its length's end
    peer.say("x what is this\r\n");
    assert!(peer.command().is_none());
    assert!(matches!(client.got(), Got::Error(1203, _)));
    client.ask("/* method=nothing,rid=00000000000000a2,budget=9 */ SELECT 1");
    assert!(matches!(client.got(), Got::Error(1064, _)));
    client.ask("/* method=read,rid=00000000000000a2 */ SELECT 1");
    assert!(matches!(client.got(), Got::Error(1064, _)));
    client.ask("/* method=read,rid=00000000000000a2,budget=9,est=1e300 */ SELECT 1");
    assert!(matches!(client.got(), Got::Error(1064, _)));
    client.ask("SELECT @@version_comment LIMIT 1");
    assert_eq!(client.got(), Got::Rows(vec![vec!["ottercroft".to_string()]]));
    // Reading a table requires the comment fields, however the SELECT begins.
    client.ask("select 1 FROM sales_7.t");
    assert!(matches!(client.got(), Got::Error(1064, _)));
    client.stream.write_all(&[1, 0, 0, 0, 22]).unwrap();
    assert!(matches!(client.got(), Got::Error(1047, _)));
    client.stream.write_all(&[255, 255, 255, 0, 3]).unwrap();
    assert!(matches!(client.got(), Got::Error(1153, _)));
    assert_eq!(client.got(), Got::Closed);
    let mut other = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(other.got(), Got::Ok);
    assert!(dispatcher.child.try_wait().unwrap().is_none());
}

// Clients that send nothing or only part of a packet are disconnected after a timeout, while a client that has sent a
// command and is idle keeps its connection.
#[test]
fn who_never_asks_has_to_go_and_who_rests_may_stay() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut rests = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(rests.got(), Got::Ok);
    let from = std::time::Instant::now();
    let mut silent = std::net::TcpStream::connect(dispatcher.address).unwrap();
    let mut half = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(half.got(), Got::Ok);
    half.stream.write_all(&[90, 0, 0, 0, 3, b'S']).unwrap();
    assert!(matches!(half.got(), Got::Error(1159, _)));
    assert_eq!(half.got(), Got::Closed);
    silent.read_to_end(&mut Vec::new()).unwrap();
    assert!(from.elapsed().as_millis() < 3000);
    rests.ask("SET NAMES utf8mb4");
    assert_eq!(rests.got(), Got::Ok);
}

// Invalid requests used to be served: results without an executor, reused ids, a second request on a connection with
// an open one. Each must get an error and never reach an executor.
#[test]
fn what_is_no_request_is_never_served() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let wrong = [
        "SELECT 1",
        "/* never closed SELECT 1",
        "/* method=read,budget=9 */ SELECT 1",
        "/* method=read,rid=+0000000000000a1,budget=9 */ SELECT 1",
        "/* method=read,rid=00000000000000a1,budget=99999 */ SELECT 1",
        "/* method=read,rid=00000000000000a1,budget=0 */ SELECT 1",
        "/* method=read,rid=00000000000000a1,budget=9,est=nan */ SELECT 1",
        "/* method=read_x,rid=00000000000000a1,budget=9 */ SELECT 1",
    ];
    // The client sends the next request right after each error and is disconnected after several errors in a row.
    let mut client = Client::asks(dispatcher.address, wrong[0]);
    for next in wrong.iter().skip(1) {
        assert!(matches!(client.got(), Got::Error(1064 | 1105, _)));
        client.ask(next);
    }
    assert!(matches!(client.got(), Got::Error(..)));
    assert_eq!(client.got(), Got::Closed);
    // Pipelined requests are all rejected, and the one already sent is cancelled.
    let mut many = Client::asks(dispatcher.address, READ);
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    many.ask(&READ.replace("a1", "a2"));
    assert!(matches!(many.got(), Got::Error(1105, _)));
    assert_eq!(many.got(), Got::Closed);
    assert_eq!(peer.command().unwrap(), ["KILL", pull[1].as_str()]);
}

// Hundreds of silent or idle connections must not keep new clients out: silent ones are closed first, then those idle
// longest.
#[test]
fn a_crowd_that_stays_makes_room() {
    let executor = Executor::new();
    let (dispatcher, _coordinator) = dispatcher(&[("e1", executor.address)]);
    let mut first = Client::asks(dispatcher.address, "SET NAMES utf8mb4");
    assert_eq!(first.got(), Got::Ok);
    let mut open = Client::asks(dispatcher.address, &READ.replace("est=10", "est=2000"));
    let mut peer = executor.accept();
    let pull = peer.command().unwrap();
    let connect = |_| std::net::TcpStream::connect(dispatcher.address).unwrap();
    let silent: Vec<_> = (0..150).map(connect).collect();
    std::thread::sleep(std::time::Duration::from_millis(300));
    // On a busy machine a client may stall between connect and login and count as silent.
    let mut crowd: Vec<Client> =
        (0..200).map(|_| Client::says(dispatcher.address, "SET NAMES utf8mb4")).collect();
    let served =
        crowd.iter_mut().filter_map(|c| (c.got() == Got::Ok && c.got() == Got::Ok).then_some(())).count();
    assert!(served > 150, "{served} of 200 active clients were accepted");
    first.ask("SET NAMES utf8mb4");
    assert_eq!(first.got(), Got::Closed, "the client idle longest was closed");
    peer.page(&pull[1], "OK pages=1", "1\tx\ty\n");
    assert_eq!(open.got(), Got::Rows(vec![row(["1", "x", "y"])]), "a client with an open request was closed");
    drop(silent);
}
