//! Measures the processor time of an arrival and of a tick as the endpoint list and the number of open requests grow.

use ottercroft::api::*;
use ottercroft::{Balancer, Event, Settings};
use std::time::{Duration, Instant};

fn settings() -> Settings {
    let class = |latency_objective, priority_weight, threads| Class {
        latency_objective,
        latency_objective_stretch: 2.0,
        client_timeout: 20 * latency_objective,
        priority_weight,
        late_priority_weight: 0.0,
        threads,
        idempotency: Idempotency::Idempotent,
        keep_order: false,
        loads: false,
        yields_to_loads: false,
        only_zones: None,
        only_kinds: None,
    };
    Settings {
        dispatchers: 100,
        classes: vec![class(1_000_000, 1.0, 1), class(3_000_000, 6.0, 4)],
        kinds: vec![Kind { cores: 8.0, memory_mb: 16_384.0 }],
        tenants: vec![],
        zones: 1,
        zone: 0,
        over_quota_weight: 1.0,
        cross_zone_price: 0.04,
        probe_price: 0.08,
        handshake_price: 0.08,
        reports: Reports::OnProbe,
        list_must_be_polled: false,
        probes: true,
        cancellation: true,
        hedging: true,
        max_attempts: 4,
        max_retry_after: Some(1_000_000),
        memory_grants: true,
        priorities: true,
        max_grant_fraction: 0.4,
        memory_shortage: MemoryShortage::Queue,
        progress_interval: Some(1_000_000),
        reports_cost: false,
        retry_budget: None,
        slow_start: SlowStart {
            initial_fraction: 0.3,
            ramp: 15_000_000,
            overload_factor: 3.0,
            overload_window: 2_000_000,
        },
        drain_grace: 2_000_000,
        key_quiet_period: None,
        min_batch_interval: 5_000,
    }
}

/// Mean time of an arrival and median time of a tick with `executors` listed, `cold` percent of them just started,
/// and `open` requests.
fn measure(executors: u32, cold: u32, open: u64) -> Result<[Duration; 2], SettingsError> {
    let mut dispatcher = Balancer::new(settings(), 42)?;
    let (mut now, mut actions) = (1_000_000, Vec::new());
    let started = |executor: u32| (executor % 100 < cold).then_some(now);
    let endpoint =
        |executor| Endpoint { executor, rating: 1.0, started: started(executor), ..Endpoint::default() };
    let endpoints = (1..=executors).map(endpoint).collect();
    dispatcher.handle(now, Event::EndpointList { kind: EndpointListKind::Restored, endpoints }, &mut actions);
    let start = Instant::now();
    for request in 0..open {
        now += 10;
        let class = usize::from(request % 5 == 0);
        dispatcher.handle(
            now,
            Event::Arrival(Arrival {
                request,
                class,
                tenant: None,
                key: None,
                time_budget: 20_000_000,
                estimated_thread_seconds: Some(0.2 + 2.0 * class as f64),
                estimated_memory_mb: Some(100.0),
                table_group: request % 50,
                is_client_retry: false,
                held_by_client: false,
            }),
            &mut actions,
        );
    }
    let arrival = start.elapsed() / open as u32;
    // Ends the wait for probes, so that every request is sent to an executor.
    now += 50_000;
    dispatcher.handle(now, Event::Timer { token: 1 }, &mut actions);
    if cold == 0 {
        let sent = actions.iter().filter(|a| matches!(a, Action::Send { .. })).count() as u64;
        assert!(sent >= open, "{sent} of {open} are out");
    }
    let mut ticks = Vec::new();
    for _ in 0..9 {
        now += 50_000;
        let start = Instant::now();
        dispatcher.handle(now, Event::Timer { token: 0 }, &mut actions);
        ticks.push(start.elapsed());
    }
    ticks.sort();
    Ok([arrival, ticks[4]])
}

/// Ordering keys, each with its own queue of requests.
const KEYS: u64 = 50;

/// Median time of a tick with `waiting` requests queued behind their ordering keys; the first request of each key
/// has been sent to an executor that never answers.
fn measure_lines(waiting: u64) -> Result<Duration, SettingsError> {
    let mut settings = settings();
    (settings.classes[0].keep_order, settings.classes[0].idempotency) = (true, Idempotency::NotIdempotent);
    let mut dispatcher = Balancer::new(settings, 42)?;
    let (mut now, mut actions) = (1_000_000, Vec::new());
    let endpoints =
        (1..=8).map(|executor| Endpoint { executor, rating: 1.0, ..Endpoint::default() }).collect();
    dispatcher.handle(now, Event::EndpointList { kind: EndpointListKind::Restored, endpoints }, &mut actions);
    for request in 0..waiting {
        now += 10;
        let arrival = Arrival {
            request,
            class: 0,
            tenant: None,
            key: Some(request % KEYS),
            time_budget: 20_000_000,
            estimated_thread_seconds: Some(0.2),
            estimated_memory_mb: Some(100.0),
            table_group: request % KEYS,
            is_client_retry: false,
            held_by_client: false,
        };
        dispatcher.handle(now, Event::Arrival(arrival), &mut actions);
    }
    let mut ticks = Vec::new();
    for _ in 0..9 {
        now += 50_000;
        let start = Instant::now();
        dispatcher.handle(now, Event::Timer { token: 0 }, &mut actions);
        ticks.push(start.elapsed());
    }
    ticks.sort();
    Ok(ticks[4])
}

fn main() -> Result<(), SettingsError> {
    println!("engines  cold%   open  arrival_us  tick_us");
    for executors in [8, 60, 240, 960, 3_200] {
        for (cold, open) in [(0, 10), (0, 100), (0, 1_000), (50, 10), (50, 100), (95, 10)] {
            let [arrival, tick] = measure(executors, cold, open)?.map(|t| t.as_secs_f64() * 1e6);
            println!("{executors:7} {cold:6} {open:6} {arrival:11.1} {tick:8.1}");
        }
    }
    println!("in_lines  tick_us");
    for waiting in [100, 1_000, 5_000, 20_000] {
        println!("{waiting:8} {:8.1}", measure_lines(waiting)?.as_secs_f64() * 1e6);
    }
    Ok(())
}
