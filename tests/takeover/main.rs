//! Takeover of requests between dispatcher processes that are killed or partitioned.

mod ids;

use standins::executor::{Executor, Pull};
use standins::feed::Feed;
use standins::link::{Link, Weather};
use standins::scripted::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// No test step takes this long unless something hangs.
const PATIENCE: Duration = Duration::from_secs(20);

/// Three dispatchers with a link between each pair, and two executors that take 1.5 s per statement.
struct Fleet {
    executors: Vec<Executor>,
    dispatchers: Vec<Option<Dispatcher>>,
    links: Vec<((usize, usize), Link)>,
    _feed: Feed,
}

fn launch() -> Launch {
    Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"))
}

fn work(_: &Pull) -> Duration {
    Duration::from_millis(1_500)
}

impl Fleet {
    fn start() -> Fleet {
        let executors: Vec<Executor> = (0..2).map(|_| Executor::new(work).unwrap()).collect();
        let feed = Feed::at("127.0.0.1:0", 1).unwrap();
        let pairs = (0..3).flat_map(|i| (0..3).filter(move |j| *j != i).map(move |j| (i, j)));
        let links: Vec<((usize, usize), Link)> = pairs.map(|p| (p, Link::new().unwrap())).collect();
        let mut dispatchers = Vec::new();
        for i in 0..3 {
            let at = |j| links.iter().find(|(p, _)| *p == (i, j)).map(|(_, l)| l.address);
            let own = SocketAddr::from(([127, 0, 0, 1], 1));
            let peer = |j| format!("  peer \"d{j}\" {{\n    address = \"{}\"\n  }}\n", at(j).unwrap_or(own));
            let peers: String = (0..3).map(peer).collect();
            let hcl = format!(
                "peers {{\n  me = \"d{i}\"\n  listen = \"127.0.0.1:0\"\n  remember = \"1s\"\n{peers}}}\n"
            );
            let file = launch().file(&hcl);
            let uids = ["s-00000001", "s-00000002"];
            let known: Vec<(&str, SocketAddr)> =
                uids.into_iter().zip(executors.iter().map(|e| e.address)).collect();
            let config = launch().config(feed.address, &known);
            let mut d = launch().with(&["--settings", &file.display().to_string()]).serving(&config);
            let line = d.logs("peers' address ");
            let here: SocketAddr = line.split("peers' address ").nth(1).unwrap().trim().parse().unwrap();
            links.iter().filter(|((_, to), _)| *to == i).for_each(|(_, l)| l.leads_to(here));
            dispatchers.push(Some(d));
        }
        for d in dispatchers.iter_mut().flatten() {
            d.logs("lease held");
        }
        // Once the fleet is older than `remember` (1 s), a missing record proves that a request never ran.
        std::thread::sleep(Duration::from_millis(1_200));
        Fleet { executors, dispatchers, links, _feed: feed }
    }

    fn at(&mut self, i: usize) -> &mut Dispatcher {
        self.dispatchers[i].as_mut().unwrap()
    }

    fn address(&self, i: usize) -> SocketAddr {
        self.dispatchers[i].as_ref().unwrap().address
    }

    /// The executions of statements that contain `text`.
    fn pulls(&self, text: &str) -> Vec<Pull> {
        self.executors.iter().flat_map(|e| e.pulls()).filter(|p| p.statement.contains(text)).collect()
    }

    fn until_pulled(&self, text: &str) {
        let begun = Instant::now();
        while self.pulls(text).is_empty() {
            assert!(begun.elapsed() < PATIENCE, "no executor got it");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn ask(class: &str, ask: u64, attempt: u64) -> String {
    let (rid, statement) =
        (ask << 8 | attempt, if class == "load" { "INSERT INTO" } else { "SELECT a FROM" });
    format!(
        "/* method={class},rid={rid:016x},ask={ask:016x},try={attempt},budget=15000,est=1500.0,space=9 */ {statement} sales_7.t{ask}x"
    )
}

/// Retries until the answer is not a refusal.
fn until_answered(to: SocketAddr, class: &str, name: u64) -> Got {
    let begun = Instant::now();
    for attempt in 2.. {
        assert!(begun.elapsed() < PATIENCE, "no answer");
        match Client::asks(to, &ask(class, name, attempt)).got() {
            Got::Error(1203, _) => std::thread::sleep(Duration::from_millis(100)),
            got => return got,
        }
    }
    unreachable!()
}

// A dispatcher is killed while a load is in flight. The load may have run, so that every other dispatcher answers a
// retry at once, and no executor gets the load a second time.
#[test]
fn a_load_of_a_killed_dispatcher_runs_once_and_is_answered() {
    let mut fleet = Fleet::start();
    let mut client = Client::asks(fleet.address(0), &ask("load", 5, 1));
    fleet.until_pulled("t5x");
    fleet.dispatchers[0] = None;
    assert_eq!(client.got(), Got::Closed);
    for i in [1, 2] {
        assert!(matches!(until_answered(fleet.address(i), "load", 5), Got::Error(1105, _)));
    }
    assert_eq!(fleet.pulls("t5x").len(), 1);
}

// A dispatcher is killed while a read is in flight: another one takes it over before the client retries, and the
// client gets those rows at any dispatcher.
#[test]
fn a_read_of_a_killed_dispatcher_is_taken_over_once() {
    let mut fleet = Fleet::start();
    let mut client = Client::asks(fleet.address(0), &ask("read", 6, 1));
    fleet.until_pulled("t6x");
    // Idempotent requests are recorded while they are being sent.
    std::thread::sleep(Duration::from_millis(200));
    fleet.dispatchers[0] = None;
    assert_eq!(client.got(), Got::Closed);
    let begun = Instant::now();
    while fleet.pulls("t6x").len() < 2 {
        assert!(begun.elapsed() < PATIENCE, "no dispatcher took it over");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(matches!(until_answered(fleet.address(1), "read", 6), Got::Rows(_)));
    assert_eq!(fleet.pulls("t6x").len(), 2, "once at the one that died, once at the one that took it over");
}

// A dispatcher is partitioned from its peers but not from its client: it detects by its own clock that its lease has
// ended, refuses its read with a backoff, and refuses loads until it has a lease again.
#[test]
fn a_dispatcher_that_is_cut_off_lets_go_and_comes_back() {
    let mut fleet = Fleet::start();
    let mut client = Client::asks(fleet.address(0), &ask("read", 7, 1));
    fleet.until_pulled("t7x");
    let touches = |(a, b): &(usize, usize)| *a == 0 || *b == 0;
    fleet.links.iter().filter(|(p, _)| touches(p)).for_each(|(_, l)| l.set(Weather::Silent));
    let got = client.got();
    let refused = matches!(&got, Got::Error(1203, text) if text.contains("backoff="));
    // On a slow machine the lease may outlast the read's 1.5 s; then the read was served.
    assert!(refused || matches!(got, Got::Rows(_)), "{got:?}");
    fleet.at(0).logs("lease lost");
    let load = Client::asks(fleet.address(0), &ask("load", 8, 1)).got();
    assert!(matches!(load, Got::Error(1203, _)), "{load:?}");
    assert!(fleet.pulls("t8x").is_empty());
    assert!(matches!(until_answered(fleet.address(1), "read", 7), Got::Rows(_)));
    fleet.links.iter().for_each(|(_, l)| l.set(Weather::Clear));
    fleet.at(0).logs("lease held");
    assert!(matches!(until_answered(fleet.address(0), "load", 9), Got::Rows(_)));
    assert_eq!(fleet.pulls("t9x").len(), 1);
}

// The client's connection breaks while its dispatcher lives: the load continues, and its rows are recorded.
#[test]
fn a_load_whose_client_was_cut_off_gives_its_rows_to_the_next_try() {
    let fleet = Fleet::start();
    let client = Client::asks(fleet.address(0), &ask("load", 10, 1));
    fleet.until_pulled("t10x");
    drop(client);
    assert!(matches!(until_answered(fleet.address(1), "load", 10), Got::Rows(_)));
    assert_eq!(fleet.pulls("t10x").len(), 1);
}

// Without a `peers` block no socket but the client port is listened on.
#[test]
fn without_peers_no_peer_socket_is_opened() {
    let (d, _coordinator) = launch().dispatcher(&[]);
    assert_eq!(listens(d.child.id()), 1);
    let mut fleet = Fleet::start();
    assert_eq!(listens(fleet.at(0).child.id()), 2);
}

/// Number of TCP sockets that a process listens on, by its descriptors and the system's table.
fn listens(pid: u32) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap();
    let listening: Vec<&str> = table
        .lines()
        .filter_map(|l| {
            let words: Vec<&str> = l.split_whitespace().collect();
            (words.get(3) == Some(&"0A")).then(|| words.get(9).copied()).flatten()
        })
        .collect();
    let links = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
    let targets = links.filter_map(|e| std::fs::read_link(e.path()).ok());
    let socket = |t: std::path::PathBuf| {
        t.to_str().and_then(|t| Some(t.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
    };
    targets.filter_map(socket).filter(|inode| listening.contains(&inode.as_str())).count()
}
