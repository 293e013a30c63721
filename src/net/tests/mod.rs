//! Tests of a complete dispatcher on a thread, so that its system calls can fail and its wall clock can be
//! stepped.

mod failing_calls;
mod stepped_clock;

use super::signals::Signals;
use super::*;
use crate::net::sockets::system_calls;
use crate::settings::options::Options;
use standins::executor::Executor;
use standins::feed::Feed;
use standins::scripted::{Client, Got, Launch, Quiet, target};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// One class per effect.
const CLASSES: [&str; 3] = ["read", "load", "keyed"];

/// A dispatcher running on its own thread.
struct RunningDispatcher {
    address: SocketAddr,
    stop: Arc<AtomicBool>,
    wake: UnixStream,
    thread: Option<JoinHandle<u32>>,
    _feed: Feed,
    executors: Vec<Executor>,
}

impl RunningDispatcher {
    /// Starts a dispatcher with two executors that take `work` per request; `before` runs on the dispatcher's
    /// thread.
    fn start(work: Duration, settings: &Quiet, before: impl FnOnce() + Send + 'static) -> RunningDispatcher {
        let feed = Feed::at("127.0.0.1:0", 1).unwrap();
        let executors: Vec<Executor> = (0..2).map(|_| Executor::new(move |_| work).unwrap()).collect();
        let targets: Vec<String> =
            (0..).zip(&executors).map(|(n, e)| target(&format!("e{n}"), e.address, "up")).collect();
        let mut launch = Launch::new("", std::env::temp_dir());
        launch.settings = settings.json();
        let config = launch.config_of(feed.address, &targets);
        let (signals, stop, wake) = Signals::for_test().unwrap();
        let (tell, told) = channel();
        let thread = std::thread::spawn(move || {
            let load = || Config::parse("");
            let config = Config::parse(&config).unwrap();
            let mut server = DispatcherServer::new(config, Options::default(), signals, load).unwrap();
            tell.send(server.listener.address()).unwrap();
            before();
            server.run().unwrap();
            system_calls::tests::failed()
        });
        let address = told.recv().unwrap();
        RunningDispatcher { address, stop, wake, thread: Some(thread), _feed: feed, executors }
    }

    /// Triggers the shutdown, as SIGTERM does.
    fn terminate(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.wake.write_all(&[1]).unwrap();
    }

    /// Waits for the dispatcher to exit. Returns how many of its system calls failed.
    fn join(&mut self) -> u32 {
        self.thread.take().unwrap().join().expect("an orderly exit")
    }

    /// Number of times a request was sent to an executor.
    fn run_count(&self, rid: u64) -> usize {
        let id = format!("{rid:016x}");
        self.executors.iter().flat_map(Executor::pulls).filter(|p| p.id == id).count()
    }
}

fn request(class: &str, rid: u64, budget_ms: u64) -> String {
    format!("/* method={class},rid={rid:016x},budget={budget_ms},est=10.0 */ SELECT a FROM sales_7.t")
}

/// Whether an answer is one complete result made by an executor for this request.
fn is_result(got: &Got, rid: u64) -> bool {
    let Got::Rows(rows) = got else { return false };
    rows.len() == 2 && rows[0][0] == "fields" && rows[1][0] == "statement" && rid > 0
}
