//! Test harness: member and follower processes, two old and two new executors, and clients.

use super::members::MemberProcess;
use standins::asks::{Ask, PATIENCE, call};
use standins::executor::{Executor, Pull};
use standins::feed::Feed;
use standins::link::Link;
use standins::scripted::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// One zone, two kinds of executor; the class may run on both.
pub const SETTINGS: &str = r#"{"areas":["a"],"balancers":3,"kinds":["old","new"],"domain":{"kindCores":[8,8],"memoryByKindMb":[16384,16384],"parallelism":[1]},"permissions":{"cancel":true,"maxAttempts":3,"probes":true,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25},"report":{"how":"on_probe"},"requestClasses":[{"name":"read","promise":5.0,"hardLimit":20.0,"effect":"read_like","boundTo":["old","new"]}],"rules":{"stopSendingWithin":0.5,"coldFrom":0.0,"rampTime":1,"fall":1,"fallMultiple":3}}"#;
/// Indices of the executors of kind `old`.
pub const OLD: [usize; 2] = [0, 1];
/// Indices of the executors of kind `new`.
pub const NEW: [usize; 2] = [2, 3];
/// Long enough that a short stall of the machine does not end it.
const LEASE: &str = "3s";
const LIMITS: &str = "  policy {\n    vote_limit = \"30s\"\n    close_limit = \"30s\"\n  }\n";

pub struct Group {
    pub launch: Launch,
    pub members: Vec<MemberProcess>,
    pub member_settings: String,
    pub lines: String,
    pub executors: Vec<Executor>,
    pub dispatchers: Vec<(Dispatcher, SocketAddr)>,
    pub asks: Arc<Mutex<Vec<Ask>>>,
    pub stop: Arc<AtomicBool>,
    pub clients: Vec<JoinHandle<()>>,
    pub feed: Feed,
}

fn launch() -> Launch {
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
    launch.settings = SETTINGS.into();
    launch
}

pub fn said(line: &str, what: &str) -> SocketAddr {
    line.split(what).nth(1).unwrap().trim().parse().unwrap()
}

impl Group {
    pub fn start(lines: &str) -> Group {
        Group::with(lines, [SETTINGS; 3], SETTINGS)
    }

    /// Starts three followers and the members, each with the given platform settings.
    pub fn with(lines: &str, settings: [&str; 3], member_settings: &str) -> Group {
        let work = |_: &Pull| Duration::from_millis(20);
        let process = |_| MemberProcess {
            child: None,
            peers: Link::new().unwrap(),
            followers: Link::new().unwrap(),
            operators: None,
        };
        let mut group = Group {
            launch: launch(),
            members: (0..3).map(process).collect(),
            member_settings: member_settings.into(),
            lines: format!("  lease = \"{LEASE}\"\n{lines}{LIMITS}"),
            executors: (0..4).map(|_| Executor::new(work).unwrap()).collect(),
            dispatchers: Vec::new(),
            asks: Arc::default(),
            stop: Arc::default(),
            clients: Vec::new(),
            feed: Feed::at("127.0.0.1:0", 1).unwrap(),
        };
        (0..3).for_each(|i| group.start_member(i));
        for (i, settings) in settings.iter().enumerate() {
            let follower = group.start_follower("control", settings, i);
            group.dispatchers.push(follower);
        }
        for (dispatcher, _) in &mut group.dispatchers {
            dispatcher.logs("control: lease held");
        }
        group
    }

    pub fn member_blocks(&self, order: [usize; 3]) -> String {
        let block = |(i, at): (usize, usize)| {
            let m = &self.members[at];
            format!(
                "  member \"m{i}\" {{\n    address = \"{}\"\n    followers = \"{}\"\n  }}\n",
                m.peers.address, m.followers.address
            )
        };
        order.into_iter().enumerate().map(block).collect()
    }

    /// A member's address for followers.
    pub fn followers_address(&self, i: usize) -> SocketAddr {
        self.members[i].followers.address
    }

    /// Starts a dispatcher that follows the group of this name.
    pub fn start_follower(&self, group: &str, settings: &str, i: usize) -> (Dispatcher, SocketAddr) {
        self.start_follower_at(group, settings, i, [0, 1, 2])
    }

    /// The same, with the members' addresses in the given order.
    pub fn start_follower_at(
        &self,
        group: &str,
        settings: &str,
        i: usize,
        order: [usize; 3],
    ) -> (Dispatcher, SocketAddr) {
        let own: PathBuf = self.launch.file(&format!(
            "control {{\n  role = \"follower\"\n  group = \"{group}\"\n{}{}}}\n",
            self.lines,
            self.member_blocks(order)
        ));
        let known = |(n, e): (usize, &Executor)| {
            target_of(&format!("s-{n:08x}"), e.address, ["old", "new"][n / 2], "up")
        };
        let known: Vec<String> = self.executors.iter().enumerate().map(known).collect();
        let config = Launch { settings: settings.to_string(), ..self.launch.clone() }
            .config_of(self.feed.address, &known)
            .replace(r#""name":"t""#, &format!(r#""name":"follower-{i}""#))
            .replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
        let launch = self.launch.clone().with(&["--settings", &own.display().to_string()]);
        let mut dispatcher = launch.serving(&config);
        let operators = said(&dispatcher.logs("operators' address "), "operators' address ");
        (dispatcher, operators)
    }

    /// Writes a policy file that binds reads to a kind; `further` is additional text.
    pub fn file(&self, kind: &str, further: &str) -> String {
        let text = format!(
            "policy \"{kind}\" {{\n  class \"read\" {{\n    kinds = [\"{kind}\"]\n  }}\n{further}}}\n"
        );
        self.launch.file(&text).display().to_string()
    }

    pub fn call_member(&self, i: usize, line: &str) -> String {
        call(self.members[i].operators.unwrap(), line)
    }

    pub fn call_follower(&self, i: usize, line: &str) -> String {
        call(self.dispatchers[i].1, line)
    }

    pub fn status(&self, follower: usize) -> String {
        self.call_follower(follower, "POLICY STATUS")
    }

    /// Proposes a policy for a kind at a member; repeats it until the member has a lease.
    pub fn propose(&self, member: usize, kind: &str) -> String {
        let line = format!("POLICY PROPOSE {}", self.file(kind, ""));
        let begun = Instant::now();
        loop {
            let told = self.call_member(member, &line);
            if told.starts_with("+OK") || begun.elapsed() > PATIENCE {
                return told;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Brings a policy for this kind into force at all followers.
    pub fn call_in_force(&self, member: usize, kind: &str, number: u64) {
        let told = self.propose(member, kind);
        assert!(told.starts_with(&format!("+OK proposed {number}")), "{told}");
        self.in_force_at_followers(number);
    }

    pub fn in_force_at_followers(&self, number: u64) {
        let wanted = format!("+OK policy {number} in force\n");
        let begun = Instant::now();
        for i in 0..3 {
            loop {
                let status = self.status(i);
                if status.starts_with(&wanted) {
                    break;
                }
                assert!(begun.elapsed() < PATIENCE, "policy {number} is not in force at {i}: {status}");
                thread::sleep(Duration::from_millis(10));
            }
        }
    }
}

/// A dispatcher without a control group.
pub fn alone() -> (Dispatcher, SocketAddr) {
    let (launch, coordinator) = (launch(), Coordinator::new());
    let config =
        launch.config_of(coordinator.address, &[]).replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
    let mut dispatcher = launch.serving(&config);
    let line = dispatcher.logs("operators' address ");
    (dispatcher, said(&line, "operators' address "))
}
