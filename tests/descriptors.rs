//! The program under a low descriptor limit: many idle clients must not keep a new one out.

use standins::scripted::*;
use std::net::TcpStream;

// When descriptors ran out, accepting used to be paused only, so idle connections kept every new client
// waiting for as long as they stayed. The newest idle client must be closed, with a log line, and the new
// client served.
#[test]
fn the_newest_idle_client_is_closed_when_descriptors_run_out() {
    let program = env!("CARGO_BIN_EXE_ottercroft");
    let launch = Launch::new("sh", env!("CARGO_TARGET_TMPDIR"))
        .with(&["-c", &format!("ulimit -n 40 && exec {program}")]);
    let executor = Executor::new();
    let (mut d, _coordinator) = launch.dispatcher(&[("e1", executor.address)]);
    let mut crowd: Vec<Client> = Vec::new();
    for _ in 0..45 {
        let mut c = Client::says(d.address, "SELECT 1");
        if c.got() == Got::Ok {
            crowd.push(c);
        }
    }
    let idle: Vec<TcpStream> = (0..5).filter_map(|_| TcpStream::connect(d.address).ok()).collect();
    let mut late = Client::says(d.address, "SELECT 1");
    assert_ne!(late.got(), Got::Closed, "the new client is served");
    assert!(d.logs("idle client closed").contains("out of descriptors"));
    drop((crowd, idle));
}
