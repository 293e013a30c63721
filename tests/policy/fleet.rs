//! Test harness: three dispatchers with a link between each pair, two old and two new executors, and clients.

use standins::asks::{Ask, PATIENCE, ask, call, table};
use standins::executor::{Executor, Pull};
use standins::feed::Feed;
use standins::link::{Link, Weather};
use standins::scripted::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

/// One zone, two kinds of executor; the class may run on both.
pub const SETTINGS: &str = r#"{"areas":["a"],"balancers":3,"kinds":["old","new"],"domain":{"kindCores":[8,8],"memoryByKindMb":[16384,16384],"parallelism":[1]},"permissions":{"cancel":true,"maxAttempts":3,"probes":true,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25},"report":{"how":"on_probe"},"requestClasses":[{"name":"read","promise":5.0,"hardLimit":20.0,"effect":"read_like","boundTo":["old","new"]}],"rules":{"stopSendingWithin":0.5,"coldFrom":0.0,"rampTime":1,"fall":1,"fallMultiple":3}}"#;
/// Time limits that suffice on a slow machine.
const BLOCK: &str = "  policy {\n    vote_limit = \"30s\"\n    close_limit = \"30s\"\n  }\n";

/// Indices of the executors of kind `old`.
pub const OLD: [usize; 2] = [0, 1];
/// Indices of the executors of kind `new`.
pub const NEW: [usize; 2] = [2, 3];

pub struct Fleet {
    launch: Launch,
    files: Vec<(PathBuf, String)>,
    pub executors: Vec<Executor>,
    pub dispatchers: Vec<Option<(Dispatcher, SocketAddr)>>,
    links: Vec<((usize, usize), Link)>,
    asks: Arc<Mutex<Vec<Ask>>>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    _feed: Feed,
}

pub fn launch() -> Launch {
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
    launch.settings = SETTINGS.into();
    launch
}

fn said(line: &str, what: &str) -> SocketAddr {
    line.split(what).nth(1).unwrap().trim().parse().unwrap()
}

impl Fleet {
    /// Starts dispatchers with a policy block and this lease; `settings` are the platform settings of each.
    pub fn start(lease: &str, settings: [&str; 3]) -> Fleet {
        Fleet::with(&format!("  lease = \"{lease}\"\n{BLOCK}"), settings)
    }

    /// The same, with these lines in the `peers` block.
    pub fn with(lines: &str, settings: [&str; 3]) -> Fleet {
        let launch = launch();
        let work = |_: &Pull| Duration::from_millis(20);
        let executors: Vec<Executor> = (0..4).map(|_| Executor::new(work).unwrap()).collect();
        let feed = Feed::at("127.0.0.1:0", 1).unwrap();
        let pairs = (0..3).flat_map(|i| (0..3).filter(move |j| *j != i).map(move |j| (i, j)));
        let links: Vec<((usize, usize), Link)> = pairs.map(|p| (p, Link::new().unwrap())).collect();
        let known = |(n, e): (usize, &Executor)| {
            target_of(&format!("s-{n:08x}"), e.address, ["old", "new"][n / 2], "up")
        };
        let known: Vec<String> = executors.iter().enumerate().map(known).collect();
        let mut files = Vec::new();
        for (i, settings) in settings.iter().enumerate() {
            let own = SocketAddr::from(([127, 0, 0, 1], 1));
            let at = |j| links.iter().find(|(p, _)| *p == (i, j)).map_or(own, |(_, l)| l.address);
            let peer = |j| format!("  peer \"d{j}\" {{\n    address = \"{}\"\n  }}\n", at(j));
            let peers: String = (0..3).map(peer).collect();
            let own = launch
                .file(&format!("peers {{\n  me = \"d{i}\"\n  listen = \"127.0.0.1:0\"\n{lines}{peers}}}\n"));
            let config = Launch { settings: settings.to_string(), ..launch.clone() }
                .config_of(feed.address, &known)
                .replace(r#""name":"t""#, &format!(r#""name":"policy-{}-{i}""#, std::process::id()))
                .replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
            files.push((own, config));
        }
        let (asks, stop) = (Arc::default(), Arc::default());
        let dispatchers = (0..3).map(|_| None).collect();
        let mut fleet = Fleet {
            launch,
            files,
            executors,
            dispatchers,
            links,
            asks,
            stop,
            clients: Vec::new(),
            _feed: feed,
        };
        (0..3).for_each(|i| fleet.launch(i));
        for (d, _) in fleet.dispatchers.iter_mut().flatten() {
            d.logs("lease held");
        }
        fleet
    }

    /// Starts or restarts a dispatcher.
    pub fn launch(&mut self, i: usize) {
        let (own, config) = &self.files[i];
        let mut d = self.launch.clone().with(&["--settings", &own.display().to_string()]).serving(config);
        let operators = said(&d.logs("operators' address "), "operators' address ");
        let here = said(&d.logs("peers' address "), "peers' address ");
        self.links.iter().filter(|((_, to), _)| *to == i).for_each(|(_, l)| l.leads_to(here));
        self.dispatchers[i] = Some((d, operators));
    }

    /// Writes a policy file that binds reads to a kind; `further` is additional text.
    pub fn file(&self, kind: &str, further: &str) -> String {
        let text = format!(
            "policy \"{kind}\" {{\n  class \"read\" {{\n    kinds = [\"{kind}\"]\n  }}\n{further}}}\n"
        );
        self.launch.file(&text).display().to_string()
    }

    pub fn call(&self, at: usize, line: &str) -> String {
        call(self.dispatchers[at].as_ref().unwrap().1, line)
    }

    /// Waits until the statuses of these dispatchers are equal and satisfy `done`.
    pub fn until(&self, those: &[usize], what: &str, done: impl Fn(&str) -> bool) -> String {
        let begun = Instant::now();
        loop {
            let all: Vec<String> = those.iter().map(|i| self.call(*i, "POLICY STATUS")).collect();
            if all.iter().all(|s| *s == all[0] && done(s)) {
                return all[0].clone();
            }
            assert!(begun.elapsed() < PATIENCE, "not {what} in time: {all:#?}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until the policy of this number is in force at these dispatchers, and no change is in progress.
    pub fn in_force(&self, those: &[usize], number: u64) -> String {
        let line = format!("+OK policy {number} in force\n");
        self.until(those, &line, |s| s.starts_with(&line) && !s.contains("\nproposed "))
    }

    /// Brings a policy for this kind into force everywhere.
    pub fn binds(&self, kind: &str, number: u64) {
        let line = format!("POLICY PROPOSE {}", self.file(kind, ""));
        taken(&self.call(0, &line), number);
        self.in_force(&[0, 1, 2], number);
    }

    /// Sets the network conditions of all links of one dispatcher.
    pub fn weather(&self, of: usize, weather: Weather) {
        let touches = |(a, b): &(usize, usize)| *a == of || *b == of;
        self.links.iter().filter(|(p, _)| touches(p)).for_each(|(_, l)| l.set(weather));
    }

    /// Starts a client that sends requests to a dispatcher until it is gone or [`Fleet::rest`] is called.
    pub fn client(&mut self, at: usize) {
        let (to, asks, stop) =
            (self.dispatchers[at].as_ref().unwrap().0.address, self.asks.clone(), self.stop.clone());
        self.clients.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) && ask(at, to, &asks).got.is_some() {
                thread::sleep(Duration::from_millis(4));
            }
        }));
    }

    /// Sends one request.
    pub fn ask(&self, at: usize) -> Ask {
        ask(at, self.dispatchers[at].as_ref().unwrap().0.address, &self.asks)
    }

    /// Stops the clients.
    pub fn rest(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|c| c.join().unwrap());
        self.stop.store(false, Ordering::SeqCst);
    }

    /// All requests so far.
    pub fn asks(&self) -> Vec<Ask> {
        self.asks.lock().unwrap().clone()
    }

    /// Requests matching `of` that reached these executors, with their times, in order of time.
    pub fn reached(&self, executors: [usize; 2], of: impl Fn(&Ask) -> bool) -> Vec<(SystemTime, Ask)> {
        let asks: Vec<Ask> = self.asks().into_iter().filter(|a| of(a)).collect();
        let pulls = executors.iter().flat_map(|m| self.executors[*m].pulls());
        let named = |p: &Pull| asks.iter().find(|a| p.statement.contains(&table(a.rid))).cloned();
        let mut all: Vec<_> = pulls.filter_map(|p| Some((p.at, named(&p)?))).collect();
        all.sort_by_key(|(at, _)| *at);
        all
    }

    /// Waits until a request sent after `since` reaches a new executor. Returns that time.
    pub fn first_new(&self, since: SystemTime) -> SystemTime {
        let begun = Instant::now();
        loop {
            if let Some((at, _)) = self.reached(NEW, |a| a.asked > since).first() {
                return *at;
            }
            assert!(begun.elapsed() < PATIENCE, "no request reached a new executor in time");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Requests that were sent after `since` and still reached an old executor.
    pub fn late_old(&self, since: SystemTime) -> Vec<Ask> {
        self.reached(OLD, |a| a.asked > since).into_iter().map(|(_, a)| a).collect()
    }

    /// Number of requests that were sent after `since` and reached a new executor.
    pub fn late_new(&self, since: SystemTime) -> usize {
        self.reached(NEW, |a| a.asked > since).len()
    }
}

/// Checks that a proposal was accepted. On a stalled machine the call may time out although the proposal is committed
/// later.
pub fn taken(told: &str, number: u64) {
    assert!(told == format!("+OK proposed {number}\n") || told.contains("not agreed in time"), "{told}");
}

/// A dispatcher without peers.
pub fn alone() -> (Dispatcher, Coordinator) {
    let (launch, coordinator) = (launch(), Coordinator::new());
    let config =
        launch.config_of(coordinator.address, &[]).replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
    (launch.serving(&config), coordinator)
}
