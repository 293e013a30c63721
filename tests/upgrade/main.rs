//! Two processes of one dispatcher that share the client port, as during an upgrade: what one of them is told, the other
//! one has to know.

mod bans;
mod kills;
mod lists;

use standins::scripted::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// A process of a dispatcher, and its operators' address.
struct Process {
    dispatcher: Dispatcher,
    operators: SocketAddr,
}

impl Process {
    /// Starts a process, which has met the others of its dispatcher once this returns.
    fn start(config: &str) -> Process {
        Process::start_with(&launch(), config)
    }

    /// The same, started in another way.
    fn start_with(launch: &Launch, config: &str) -> Process {
        let mut dispatcher = launch.serving(config);
        Process { operators: dispatcher.operators_address(), dispatcher }
    }

    /// Sends a call of an operator; returns everything received until the connection is closed.
    fn call(&self, line: &str) -> String {
        standins::asks::call(self.operators, line)
    }
}

fn launch() -> Launch {
    Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"))
}

/// A dispatcher with a name of its own, an executor and a coordinator.
struct Deployment {
    executors: Vec<Executor>,
    coordinator: Coordinator,
    name: String,
}

impl Deployment {
    fn new(executors: usize) -> Deployment {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("upgrade-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let executors = (0..executors).map(|_| Executor::new()).collect();
        Deployment { executors, coordinator: Coordinator::new(), name }
    }

    /// The configuration of a process that listens for clients on `listen`.
    fn config(&self, listen: &str) -> String {
        let uids: Vec<String> = (1..=self.executors.len()).map(|n| format!("e{n}")).collect();
        let listed: Vec<(&str, SocketAddr)> =
            uids.iter().map(String::as_str).zip(self.executors.iter().map(|e| e.address)).collect();
        launch()
            .config(self.coordinator.address, &listed)
            .replace(r#""name":"t""#, &format!(r#""name":"{}""#, self.name))
            .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{listen}""#))
            .replace(r#""more":0"#, r#""operator":"127.0.0.1:0","more":0"#)
    }

    /// Starts the first process.
    fn first(&self) -> Process {
        Process::start(&self.config("127.0.0.1:0"))
    }

    /// Starts a further process beside `other`.
    fn beside(&self, other: &Process) -> Process {
        Process::start(&self.config(&other.dispatcher.address.to_string()))
    }
}

/// A statement of the class that must not run twice, with its request id; all have the same key.
fn load(request: u32) -> String {
    format!("/* method=load,rid={request:016x},budget=15000,obj=00000000000000c1 */ INSERT INTO sales_7.t")
}
