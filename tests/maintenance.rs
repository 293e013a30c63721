//! Planned maintenance by a fleet: three dispatcher processes, an operator, and faults on the links between them.

use standins::executor::{Executor, Pull};
use standins::feed::Feed;
use standins::link::{Link, Weather};
use standins::scripted::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Timeout of each wait; no test takes this long unless something hangs.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long after a step was agreed an executor may still get new work, including the interval between checks of the
/// plan.
const DETECTION_DELAY: Duration = Duration::from_millis(500);
/// Settings with one zone; the slow start of executors takes a second.
const SETTINGS: &str = r#"{"areas":["a"],"balancers":3,"kinds":["k"],"domain":{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1]},"permissions":{"cancel":true,"maxAttempts":3,"probes":true,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25},"report":{"how":"on_probe"},"requestClasses":[{"name":"read","promise":5.0,"hardLimit":20.0,"effect":"read_like"}],"rules":{"stopSendingWithin":0.5,"coldFrom":0.5,"rampTime":1,"fall":1,"fallMultiple":3}}"#;

struct Fleet {
    executors: Vec<Executor>,
    feed: Feed,
    dispatchers: Vec<Option<(Dispatcher, SocketAddr)>>,
    links: Vec<((usize, usize), Link)>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<u64>>,
}

fn uid(n: usize) -> String {
    format!("s-{:08x}", n + 1)
}

fn work(_: &Pull) -> Duration {
    Duration::from_millis(20)
}

impl Fleet {
    /// Starts three dispatchers, four executors, and a client at each dispatcher that sends requests all the time.
    fn start(maintenance: &str) -> Fleet {
        let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"));
        launch.settings = SETTINGS.into();
        let executors: Vec<Executor> = (0..4).map(|_| Executor::new(work).unwrap()).collect();
        let feed = Feed::at("127.0.0.1:0", 1).unwrap();
        let pairs = (0..3).flat_map(|i| (0..3).filter(move |j| *j != i).map(move |j| (i, j)));
        let links: Vec<((usize, usize), Link)> = pairs.map(|p| (p, Link::new().unwrap())).collect();
        let (stop, mut dispatchers, mut clients) = (Arc::new(AtomicBool::new(false)), Vec::new(), Vec::new());
        for i in 0..3 {
            let own = SocketAddr::from(([127, 0, 0, 1], 1));
            let at = |j| links.iter().find(|(p, _)| *p == (i, j)).map_or(own, |(_, l)| l.address);
            let peer = |j| format!("  peer \"d{j}\" {{\n    address = \"{}\"\n  }}\n", at(j));
            let peers: String = (0..3).map(peer).collect();
            let file = launch.file(&format!(
                "peers {{\n  me = \"d{i}\"\n  listen = \"127.0.0.1:0\"\n  maintenance {{\n{maintenance}  }}\n{peers}}}\n"
            ));
            let uids: Vec<String> = (0..4).map(uid).collect();
            let known: Vec<(&str, SocketAddr)> =
                uids.iter().map(String::as_str).zip(executors.iter().map(|e| e.address)).collect();
            let config = launch
                .config(feed.address, &known)
                .replace(r#""name":"t""#, &format!(r#""name":"maintenance-{}-{i}""#, std::process::id()))
                .replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
            let mut d = launch.clone().with(&["--settings", &file.display().to_string()]).serving(&config);
            let address_after = |line: String, what: &str| -> SocketAddr {
                line.split(what).nth(1).unwrap().trim().parse().unwrap()
            };
            let operators = address_after(d.logs("operators' address "), "operators' address ");
            let here = address_after(d.logs("peers' address "), "peers' address ");
            links.iter().filter(|((_, to), _)| *to == i).for_each(|(_, l)| l.leads_to(here));
            clients.push(client(d.address, stop.clone()));
            dispatchers.push(Some((d, operators)));
        }
        for (d, _) in dispatchers.iter_mut().flatten() {
            d.logs("lease held");
        }
        Fleet { executors, feed, dispatchers, links, stop, clients }
    }

    fn call(&self, at: usize, line: &str) -> String {
        call(self.dispatchers[at].as_ref().unwrap().1, line)
    }

    /// Waits until the status at a dispatcher shows this step of an executor.
    fn wait_for(&self, at: usize, executor: usize, word: &str) -> String {
        let (started, line) = (Instant::now(), format!("{} {word}", uid(executor)));
        loop {
            let status = self.call(at, "DRAIN STATUS");
            if status.lines().any(|l| l.starts_with(&line)) {
                return status;
            }
            assert!(started.elapsed() < TIMEOUT, "no {line:?} in time: {status}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Simulates the work on the machine: the executor drains, and comes back as a new process.
    fn replace_process(&self, executor: usize) {
        let at = self.executors[executor].address;
        self.feed.tell(false, &[target(&uid(executor), at, "draining")]);
        thread::sleep(Duration::from_millis(100));
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let back =
            target(&uid(executor), at, "up").replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#));
        self.feed.tell(false, &[back]);
    }

    /// Number of requests that an executor received between two points in time.
    fn pulls(&self, executor: usize, from: SystemTime, to: SystemTime) -> usize {
        self.executors[executor].pulls().iter().filter(|p| p.at >= from && p.at < to).count()
    }

    /// Stops the clients; returns the number of requests that were not answered properly.
    fn stop_clients(&mut self) -> u64 {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).map(|c| c.join().unwrap()).sum()
    }
}

fn call(at: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    let mut from = BufReader::new(stream);
    from.read_line(&mut answer).unwrap();
    let _ = from.read_to_string(&mut answer);
    answer
}

/// A client that sends requests until its dispatcher closes the connection or `stop` is set. Returns how often it got
/// neither rows nor a rejection.
fn client(to: SocketAddr, stop: Arc<AtomicBool>) -> JoinHandle<u64> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    thread::spawn(move || {
        let mut wrong = 0;
        while !stop.load(Ordering::SeqCst) {
            let id = NEXT.fetch_add(1, Ordering::SeqCst);
            let sql = format!(
                "/* method=read,rid={id:016x},budget=9000,est=20.0,space=9 */ SELECT a FROM sales_{}.t",
                id % 7
            );
            let Some(mut c) = Client::dials(to, &sql, Duration::from_secs(1), TIMEOUT) else { break };
            match c.got() {
                Got::Rows(_) | Got::Error(1203, _) => {}
                Got::Closed => break,
                _ => wrong += 1,
            }
            thread::sleep(Duration::from_millis(5));
        }
        wrong
    })
}

// A plan of two executors: they are drained, taken out, replaced and warmed one after the other. An executor that is out
// gets no new work, the other one waits for it, and clients are answered throughout.
#[test]
fn two_executors_are_taken_out_one_after_the_other() {
    let mut fleet = Fleet::start("    min_motores = 2\n");
    assert_eq!(fleet.call(1, "DRAIN PLAN s-00000001,s-00000002"), "+OK planned s-00000001,s-00000002\n");
    let status = fleet.wait_for(2, 0, "out");
    let out = SystemTime::now();
    assert!(status.contains("s-00000002 waits") && status.contains("is held up: 1 out already"), "{status}");
    thread::sleep(DETECTION_DELAY + Duration::from_millis(200));
    assert_eq!(
        fleet.pulls(0, out + DETECTION_DELAY, SystemTime::now()),
        0,
        "an executor that is out gets no new work"
    );
    fleet.replace_process(0);
    fleet.wait_for(0, 0, "warms");
    fleet.wait_for(0, 1, "out");
    assert!(fleet.call(0, "DRAIN STATUS").contains("s-00000001 done"));
    fleet.replace_process(1);
    let status = fleet.wait_for(1, 1, "done");
    assert!(status.starts_with("+OK plan of 2\n") && status.ends_with(".\n"), "{status}");
    let back = SystemTime::now();
    thread::sleep(Duration::from_millis(500));
    assert!(fleet.pulls(0, back, SystemTime::now()) > 0, "the executor is back in service");
    assert_eq!(fleet.stop_clients(), 0);
}

// The leader is killed in the middle of a step: another dispatcher continues the plan, and no step is repeated.
#[test]
fn a_plan_continues_after_its_leader_is_killed() {
    let mut fleet = Fleet::start("    min_motores = 2\n");
    fleet.call(0, "DRAIN PLAN s-00000003,s-00000004");
    fleet.wait_for(0, 2, "out");
    // The killed dispatcher may be the leader or not; the plan has to continue in both cases.
    fleet.dispatchers[0] = None;
    fleet.replace_process(2);
    fleet.wait_for(1, 2, "done");
    fleet.wait_for(2, 3, "out");
    fleet.replace_process(3);
    fleet.wait_for(1, 3, "done");
    assert_eq!(fleet.stop_clients(), 0);
}

// A partitioned dispatcher does not learn of steps that begin meanwhile: it stops using the next executors by itself.
#[test]
fn a_partitioned_dispatcher_sends_nothing_to_executors_taken_out_since() {
    let mut fleet = Fleet::start("    min_motores = 2\n");
    fleet.call(0, "DRAIN PLAN s-00000001,s-00000002");
    fleet.wait_for(2, 0, "out");
    let affected = |(a, b): &(usize, usize)| *a == 2 || *b == 2;
    fleet.links.iter().filter(|(p, _)| affected(p)).for_each(|(_, l)| l.set(Weather::Silent));
    fleet.replace_process(0);
    fleet.wait_for(0, 1, "out");
    let out = SystemTime::now();
    thread::sleep(DETECTION_DELAY + Duration::from_millis(500));
    assert_eq!(
        fleet.pulls(1, out + DETECTION_DELAY, SystemTime::now()),
        0,
        "nor from the partitioned dispatcher"
    );
    let refused = call(fleet.dispatchers[2].as_ref().unwrap().1, "DRAIN PLAN s-00000004");
    assert!(refused.starts_with("-ERR "), "{refused}");
    fleet.links.iter().for_each(|(_, l)| l.set(Weather::Clear));
    fleet.replace_process(1);
    fleet.wait_for(2, 1, "done");
    assert_eq!(fleet.stop_clients(), 0);
}

// An executor that does not come back stops the plan with a reason, and the budget keeps the others in service. An
// operator's DRAIN MEND lets the plan continue; an abort leaves steps that have not started as they were.
#[test]
fn an_executor_that_does_not_come_back_stops_the_plan() {
    let mut fleet = Fleet::start("    min_motores = 3\n    out_limit   = \"500ms\"\n");
    assert!(fleet.call(0, "DRAIN PLAN s-00000009").starts_with("-ERR no executor"));
    fleet.call(0, "DRAIN PLAN s-00000001,s-00000002,s-00000003");
    let status = fleet.wait_for(1, 0, "failed: it did not come back");
    assert!(status.contains("stopped: s-00000001: it did not come back"), "{status}");
    thread::sleep(Duration::from_millis(300));
    assert!(fleet.call(2, "DRAIN STATUS").contains("s-00000002 waits"), "no further step starts");
    assert_eq!(fleet.call(1, "DRAIN MEND s-00000001"), "+OK s-00000001 comes back cold\n");
    fleet.wait_for(2, 1, "out");
    assert!(fleet.call(2, "DRAIN ABORT").starts_with("+OK aborted"));
    let status = fleet.call(0, "DRAIN STATUS");
    assert!(status.contains("s-00000003 aborted") && status.contains("s-00000001 done"), "{status}");
    assert_eq!(fleet.stop_clients(), 0);
}
