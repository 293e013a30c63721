//! Stub executors and a coordinator for trying out the dispatcher by hand. They execute nothing and answer each
//! request after 0.2 s with its class, statement and priority.
//!
//! Without arguments one executor listens on 127.0.0.1:8444; each argument is the address of an additional one.

use standins::{executor::Executor, feed::Feed};
use std::time::Duration;

const EXECUTOR: &str = "127.0.0.1:8444";
const COORDINATOR: &str = "127.0.0.1:7070";
/// Simulated execution time of a request.
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
