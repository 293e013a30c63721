//! The accept backlog at shutdown.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

// When accepting ends, more connections are pending than one turn accepts, each with its request written in
// time while the process was suspended. Each must be answered or closed in order, and none reset with its
// request unread.
#[test]
fn a_backlog_larger_than_a_turn_is_answered_at_shutdown() {
    let mut launch = launch(&Quiet::default());
    launch.sockets = 2048;
    let (mut dispatcher, _coordinator) = launch.dispatcher(&[]);
    dispatcher.signal("TERM");
    dispatcher.logs("SIGTERM");
    dispatcher.stands_still();
    let mut login = (0x200u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
    login.extend_from_slice(&[0; 28]);
    login.extend_from_slice(b"app\0\0main\0");
    let mut clients: Vec<Client> = (1..=300)
        .map(|n| {
            let mut stream = TcpStream::connect(dispatcher.address).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
            let head = [login.len() as u8, 0, 0, 1];
            stream
                .write_all(&[&head, &login[..], &shutdown::packet(&request("read", n, 15_000, 10))].concat())
                .unwrap();
            arrived(&stream);
            Client { stream, id: 0 }
        })
        .collect();
    std::thread::sleep(shutdown::ACCEPTING_ENDED);
    dispatcher.goes_on();
    let answered = clients.iter_mut().filter_map(|client| {
        let mut all = Vec::new();
        // Greeting, OK to the login, rejection, and an orderly close.
        client.stream.read_to_end(&mut all).ok().filter(|_| all.windows(7).any(|w| w == b"refused"))
    });
    assert_eq!(answered.count(), 300, "all of them have an answer");
    assert!(dispatcher.ends());
}
