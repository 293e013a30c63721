//! Toy executors with their coordinator, to try the dispatcher by hand: they run nothing, and answer each request
//! after 0.2 s with its class, its statement and the priority that it came with.
//!
//! Without arguments one executor listens on 127.0.0.1:8444; each argument is the address of one more.

use standins::{executor::Executor, feed::Feed};
use std::time::Duration;

const EXECUTOR: &str = "127.0.0.1:8444";
const COORDINATOR: &str = "127.0.0.1:7070";
/// How long a request seems to run.
const WORK: Duration = Duration::from_millis(200);

fn main() -> std::io::Result<()> {
    let feed = Feed::at(COORDINATOR, 1)?;
    println!("coordinator listening on {}", feed.address);
    let others = std::env::args().skip(1);
    let mut executors = Vec::new();
    for at in [EXECUTOR.to_string()].into_iter().chain(others) {
        let named = |e: std::io::Error| std::io::Error::other(format!("{at}: {e}"));
        executors.push(Executor::at(&at, true, |_| WORK).map_err(named)?);
        println!("motor listening on {at}");
    }
    loop {
        std::thread::park();
    }
}
