//! Retry storm protection in the real program: an outage, the return of the clients, and normal operation.

use standins::executor::Executor;
use standins::scripted::*;
use std::io::BufRead;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn dispatcher(executor: &Executor, storms: &str, name: &str) -> (Dispatcher, Coordinator) {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let own = dir.join(format!("storms-{name}-{}.hcl", std::process::id()));
    std::fs::write(&own, storms).unwrap();
    let mut launch = Launch::new(env!("CARGO_BIN_EXE_ottercroft"), dir);
    launch.settings = SETTINGS.replace("\"rampTime\":10", "\"rampTime\":0.1");
    launch.with(&["--settings", &own.display().to_string()]).dispatcher(&[("e1", executor.address)])
}

fn executor(at: &str) -> Executor {
    let mut tries = 0;
    loop {
        match Executor::at(at, false, |_| Duration::from_millis(20)) {
            Ok(executor) => return executor,
            // The previous listener may not be closed yet.
            Err(e) => assert!(tries < 200, "{e}"),
        }
        tries += 1;
        thread::sleep(Duration::from_millis(20));
    }
}

fn request(id: u64, who: u64) -> String {
    format!("/* method=read,rid={id:016x},budget=3000,est=20.0,space=9 */ SELECT w{who}w FROM sales_7.t")
}

/// Clients that send requests continuously and honour the retry-after of rejections.
struct Crowd {
    stop: Arc<AtomicBool>,
    /// Retry-after values of rejections, in ms.
    waits: Arc<Mutex<Vec<u64>>>,
    served: Arc<AtomicU64>,
    clients: Vec<thread::JoinHandle<()>>,
}

fn crowd(d: &Dispatcher, clients: u64) -> Crowd {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let (stop, waits, served) = (Arc::default(), Arc::default(), Arc::default());
    let mut c = Crowd { stop, waits, served, clients: Vec::new() };
    for who in 0..clients {
        let (stop, waits, served, to) = (c.stop.clone(), c.waits.clone(), c.served.clone(), d.address);
        c.clients.push(thread::spawn(move || {
            let mut client = Client::asks(to, &request(NEXT.fetch_add(1, Ordering::SeqCst), who));
            loop {
                let wait = match client.got() {
                    Got::Rows(rows) => {
                        assert!(rows.iter().flatten().any(|cell| cell.contains(&format!("w{who}w"))));
                        served.fetch_add(1, Ordering::SeqCst);
                        100
                    }
                    Got::Error(1203, text) => {
                        let ms = text.split("backoff=").nth(1).and_then(|t| t.parse().ok());
                        let ms: u64 = ms.expect("a rejection carries a backoff");
                        waits.lock().unwrap().push(ms);
                        ms
                    }
                    Got::Error(1105, _) => 100,
                    other => panic!("{other:?}"),
                };
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(Duration::from_millis(wait));
                client.ask(&request(NEXT.fetch_add(1, Ordering::SeqCst), who));
            }
        }));
    }
    c
}

impl Crowd {
    /// Stops all clients after their last answer; fails if one is missing.
    fn end(self) -> u64 {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|c| c.join().unwrap());
        self.served.load(Ordering::SeqCst)
    }
}

// All executors go away and return: the phases are logged, each rejection carries a wait within the limit that clients
// honour, the waits are spread, every request gets exactly one answer, and service recovers.
#[test]
fn an_outage_is_seen_and_its_clients_come_back_spread() {
    let first = executor("127.0.0.1:0");
    let at = first.address.to_string();
    let (mut d, _coordinator) = dispatcher(&first, "retry_storms {\n  longest_wait = \"1s\"\n}\n", "outage");
    let c = crowd(&d, 40);
    thread::sleep(Duration::from_secs(3));
    assert!(c.served.load(Ordering::SeqCst) > 100);
    drop(first);
    let line = d.logs("storm phase");
    assert!(line.contains("phase=Outage was=Calm"), "{line}");
    thread::sleep(Duration::from_secs(2));
    let before = c.served.load(Ordering::SeqCst);
    let _second = executor(&at);
    assert!(d.logs("storm phase").contains("phase=Returning was=Outage"));
    // Recovery: 300 further requests are served within some seconds.
    for _ in 0..200 {
        if c.served.load(Ordering::SeqCst) > before + 300 {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    assert!(c.served.load(Ordering::SeqCst) > before + 300, "service did not recover");
    let waits = c.waits.lock().unwrap().clone();
    c.end();
    assert!(waits.iter().all(|ms| (1..=1_020).contains(ms)), "{waits:?}");
    let different: std::collections::BTreeSet<u64> = waits.iter().copied().collect();
    assert!(
        different.len() * 4 > waits.len().min(400),
        "{} of {} waits differ",
        different.len(),
        waits.len()
    );
}

// In normal operation nothing is rejected and no phase change is logged.
#[test]
fn a_calm_day_knows_no_storm() {
    let one = executor("127.0.0.1:0");
    let (mut d, _coordinator) = dispatcher(&one, "retry_storms {}\n", "calm");
    let c = crowd(&d, 10);
    thread::sleep(Duration::from_secs(4));
    let waits = c.waits.lock().unwrap().len();
    assert!(c.end() > 200);
    assert_eq!(waits, 0);
    d.signal("TERM");
    let log = d.take_log().unwrap();
    let lines: Vec<String> = log.lines().map_while(Result::ok).collect();
    assert!(!lines.iter().any(|l| l.contains("storm phase")), "{lines:?}");
    assert!(lines.iter().any(|l| l.contains("storm counters phase=Calm refused=0")), "{lines:?}");
}
