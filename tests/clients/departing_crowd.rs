//! A crowd of clients that leave while connections to an executor are being established.

use super::*;
use std::io::Write;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

const EXECUTORS: usize = 4;
const CROWD: u64 = 32;
const LATER_REQUESTS: usize = 100;

/// How a client leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Kill,
    Close,
    Reset,
    ShutdownWrite,
    Quit,
}

impl Departure {
    fn leave(self, dispatcher: SocketAddr, mut client: Client) {
        match self {
            Departure::Kill => {
                let mut killer = Client::asks(dispatcher, &format!("KILL QUERY {}", client.id));
                assert_eq!(killer.got(), Got::Ok);
                assert!(matches!(client.got(), Got::Error(1317, _)));
            }
            Departure::Close => drop(client),
            Departure::Reset => resets(client.stream),
            Departure::ShutdownWrite => client.stream.shutdown(Shutdown::Write).unwrap(),
            Departure::Quit => client.stream.write_all(&[1, 0, 0, 0, 1]).unwrap(),
        }
    }
}

/// Answers all requests of an executor and counts those of the class `read`.
fn serve(executor: Executor) -> Arc<AtomicUsize> {
    let served = Arc::new(AtomicUsize::new(0));
    let count = served.clone();
    thread::spawn(move || {
        loop {
            let (mut peer, count) = (executor.accept(), count.clone());
            thread::spawn(move || {
                while let Some(command) = peer.command() {
                    if command[0] == "PULL" {
                        count.fetch_add(usize::from(command[2].contains("read")), Ordering::SeqCst);
                        peer.page(&command[1], "OK pages=1", "1\tx\ty\n");
                    }
                }
            });
        }
    });
    served
}

fn request_of(class: &str, id: u64) -> String {
    format!("/* method={class},rid={id:016x},budget=15000,est=0.1,space=9 */ SELECT a FROM sales_{id}.t")
}

/// Clients leave by `departure` while a connection to the first of the executors is being established. Returns how many
/// of the next requests each executor served.
fn served_after_a_crowd_left(departure: Departure) -> Vec<usize> {
    let executors: Vec<Executor> = (0..EXECUTORS).map(|_| Executor::new()).collect();
    let names = ["e1", "e2", "e3", "e4"];
    let list: Vec<_> = names.into_iter().zip(executors.iter().map(|executor| executor.address)).collect();
    let (dispatcher, _coordinator) = quiet(&list);
    let filler = executors[0].narrows();
    // Loads are not cancelled when their clients leave.
    let crowd: Vec<Client> =
        (1..=CROWD).map(|n| Client::asks(dispatcher.address, &request_of("load", n))).collect();
    dialed(executors[0].address, 1);
    crowd.into_iter().for_each(|client| departure.leave(dispatcher.address, client));
    executors[0].widens(filler);
    let served: Vec<_> = executors.into_iter().map(serve).collect();
    for n in 0..LATER_REQUESTS {
        let mut client = Client::asks(dispatcher.address, &request_of("read", 0x1000 + n as u64));
        assert_eq!(client.got(), row());
    }
    served.iter().map(|count| count.load(Ordering::SeqCst)).collect()
}

// A client that left before the first byte of its attempt was written used to eject the executor: a crowd of them
// could take a healthy fleet away piece by piece.
#[test]
fn a_crowd_that_leaves_during_connects_ejects_no_executor() {
    for departure in
        [Departure::Kill, Departure::Close, Departure::Reset, Departure::ShutdownWrite, Departure::Quit]
    {
        let served = served_after_a_crowd_left(departure);
        let even = LATER_REQUESTS / EXECUTORS;
        assert!(served[0] >= even / 2, "{departure:?}: the executors served {served:?}");
    }
}

// An executor to which no connection comes up is ejected also if all clients leave before the connect times out.
#[test]
fn an_unreachable_executor_is_ejected_after_its_clients_left() {
    let executor = Executor::new();
    let mut launch = launch();
    launch.settings = Quiet { dial_timeout: 0.5, ..Quiet::default() }.json();
    let (mut dispatcher, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let _filler = executor.narrows();
    let client = Client::asks(dispatcher.address, &request_of("load", 1));
    dialed(executor.address, 1);
    drop(client);
    dispatcher.logs("ejected: no connection");
}
