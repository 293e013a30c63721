//! Clients that do nothing of use.

use crate::soak::records::BadClient;
use crate::soak::world::{World, lock};
use rand::Rng;
use rand::rngs::StdRng;
use standins::scripted::{Client, Got};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// How many come.
const MOST: usize = 12;
/// One is watched for longer than it may take.
const WATCHED: Duration = Duration::from_secs(5);
/// What is no packet of the protocol, and what is only half of one.
const GARBAGE: &[u8] = &[0xff; 64];
const HALF_A_LOGIN: &[u8] = &[32, 0, 0, 1, 0x85, 0xa2];

/// Some come at once.
pub fn come(world: &World, rng: &mut StdRng) {
    let manners: Vec<(usize, u8)> = (0..rng.random_range(3..MOST))
        .map(|_| (rng.random_range(0..world.plan.dispatchers), rng.random_range(0..4)))
        .collect();
    thread::scope(|scope| {
        for (dispatcher, manner) in manners {
            scope.spawn(move || comes(world, dispatcher, manner));
        }
    });
}

fn comes(world: &World, dispatcher: usize, manner: u8) {
    let (address, process) = world.dispatcher(dispatcher);
    let Ok(mut stream) = TcpStream::connect(address) else { return };
    let since = world.now();
    let written = match manner {
        0 => Ok(()),
        1 => stream.write_all(GARBAGE),
        2 => stream.write_all(HALF_A_LOGIN),
        _ => return asks_nonsense(world, dispatcher),
    };
    // One that is closed at once could not be written to.
    let _ = written;
    let _ = stream.set_read_timeout(Some(WATCHED));
    let mut bytes = [0; 1024];
    let closed = loop {
        match stream.read(&mut bytes) {
            Ok(0) => break true,
            Ok(_) => {}
            Err(e) => break e.kind() != std::io::ErrorKind::WouldBlock,
        }
    };
    note(world, BadClient { process, since, ended: closed.then(|| world.now()) });
}

/// A statement that means nothing.
fn asks_nonsense(world: &World, dispatcher: usize) {
    let (address, process) = world.dispatcher(dispatcher);
    let Ok(mut client) = Client::try_writes(address, "SELECT a FROM t") else { return };
    let since = world.now();
    let _ = client.stream.set_read_timeout(Some(WATCHED));
    let mut got = client.login_answer();
    if got == Got::Ok {
        got = client.got();
    }
    let ended = matches!(got, Got::Error(..) | Got::Closed).then(|| world.now());
    note(world, BadClient { process, since, ended: ended.filter(|t| *t < since + WATCHED) });
}

fn note(world: &World, client: BadClient) {
    lock(&world.records).bad_clients.push(client);
}
