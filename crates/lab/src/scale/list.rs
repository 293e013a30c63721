//! What the size of the executors' list costs a real dispatcher, and its decisions by themselves.

use super::process::usage;
use super::table::Table;
use crate::fleet::{Failure, SETTINGS};
use ottercroft::Balancer;
use ottercroft::api::{Arrival, Endpoint, EndpointListKind, Event};
use ottercroft::settings::config::Config;
use standins::feed::Feed;
use standins::scripted::{Launch, target};
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const COLUMNS: [&str; 8] = [
    "executors",
    "memory",
    "start_s",
    "event_bytes",
    "event_cpu_s",
    "arrival_us",
    "tick_us",
    "whole_list_us",
];
/// Requests open while an arrival is timed.
const OPEN: u64 = 200;

/// Measures lists of these sizes.
pub fn measure(program: &Path, folder: &Path, sizes: &[usize]) -> Result<Table, Failure> {
    let mut table = Table::new(&COLUMNS);
    for &size in sizes {
        let [memory, start_s, event_bytes, event_cpu_s] = dispatcher(program, folder, size)?;
        let [arrival, tick, whole] = decisions(size)?;
        table.row(&[size as f64, memory, start_s, event_bytes, event_cpu_s, arrival, tick, whole]);
        println!("list: {size} executors, arrival {arrival:.1} us");
    }
    Ok(table)
}

fn endpoint(n: usize) -> String {
    let at: SocketAddr = ([127, 8, (n / 250) as u8, (n % 250 + 1) as u8], 9).into();
    target(&format!("s-{n:08x}"), at, "up")
}

/// A real dispatcher with a list of this size, which then hears of a hundred events of one executor each.
fn dispatcher(program: &Path, folder: &Path, size: usize) -> Result<[f64; 4], Failure> {
    std::fs::create_dir_all(folder)?;
    let feed = Feed::at("127.0.0.1:0", 1)?;
    let mut launch = Launch::new(program, folder);
    (launch.settings, launch.log) = (SETTINGS.into(), Some("info".into()));
    let known: Vec<String> = (0..size).map(endpoint).collect();
    let begun = Instant::now();
    let process = launch.serving(&launch.config_of(feed.address, &known));
    let start_s = begun.elapsed().as_secs_f64();
    thread::sleep(Duration::from_secs(2));
    let (pid, before) = (process.child.id(), usage(process.child.id()));
    thread::sleep(Duration::from_secs(2));
    let rest = usage(pid);
    let event = endpoint(0);
    for n in 0..100 {
        feed.tell(false, &[endpoint(n % size)]);
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(1));
    let after = usage(pid);
    // A rest as long as the events took is taken off.
    let idle = rest.cpu_s - before.cpu_s;
    let each = (after.cpu_s - rest.cpu_s - idle).max(0.0) / 100.0;
    Ok([after.memory, start_s, event.len() as f64, each])
}

/// The decisions alone: microseconds for an arrival, a tick, and a whole list.
fn decisions(size: usize) -> Result<[f64; 3], Failure> {
    let config = format!(
        r#"{{"name":"t","listen":"127.0.0.1:0","seed":"1f","coordinator":"127.0.0.1:9","known":{{"index":0,"updates":[]}},"settings":{SETTINGS}}}"#
    );
    let config = Config::parse(&config).map_err(|e| e.to_string())?;
    let (settings, _) = config.settings.settings().map_err(|e| e.to_string())?;
    let mut dispatcher = Balancer::new(settings, 42).map_err(|e| e.to_string())?;
    let (mut now, mut actions) = (1_000_000, Vec::new());
    let endpoints: Vec<Endpoint> =
        (1..=size as u32).map(|executor| Endpoint { executor, rating: 1.0, ..Endpoint::default() }).collect();
    let begun = Instant::now();
    dispatcher.handle(now, Event::EndpointList { kind: EndpointListKind::Restored, endpoints }, &mut actions);
    let whole = begun.elapsed().as_secs_f64() * 1e6;
    let arrival = |request| Arrival {
        request,
        class: 0,
        tenant: None,
        key: None,
        time_budget: 6_000_000,
        estimated_thread_seconds: Some(0.2),
        estimated_memory_mb: Some(100.0),
        table_group: request % 50,
        is_client_retry: false,
        held_by_client: false,
    };
    let mut times = Vec::new();
    for request in 0..OPEN {
        now += 1_000;
        let begun = Instant::now();
        dispatcher.handle(now, Event::Arrival(arrival(request)), &mut actions);
        times.push(begun.elapsed().as_secs_f64() * 1e6);
    }
    let mut ticks = Vec::new();
    for _ in 0..20 {
        now += 50_000;
        let begun = Instant::now();
        dispatcher.handle(now, Event::Timer { token: 0 }, &mut actions);
        ticks.push(begun.elapsed().as_secs_f64() * 1e6);
        actions.clear();
    }
    let middle = |mut all: Vec<f64>| {
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    Ok([middle(times), middle(ticks), whole])
}
