//! Builds settings, passes a few events to a dispatcher and prints the resulting actions.

use ottercroft::api::*;
use ottercroft::{Balancer, Event, Settings};

fn main() -> Result<(), SettingsError> {
    let class = |latency_objective, priority_weight, threads| Class {
        latency_objective,
        latency_objective_stretch: 2.0,
        client_timeout: 5 * latency_objective,
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
    let settings = Settings {
        dispatchers: 2,
        classes: vec![class(1_000_000, 1.0, 1), class(3_000_000, 6.0, 4)],
        kinds: vec![Kind { cores: 8.0, memory_mb: 16_384.0 }],
        tenants: vec![],
        zones: 1,
        zone: 0,
        over_quota_weight: 1.0,
        cross_zone_price: 0.0,
        probe_price: 0.0,
        handshake_price: 0.0,
        reports: Reports::Inline,
        list_must_be_polled: false,
        probes: true,
        cancellation: true,
        hedging: true,
        max_attempts: 4,
        max_retry_after: Some(2_000_000),
        memory_grants: true,
        priorities: true,
        max_grant_fraction: 0.4,
        memory_shortage: MemoryShortage::Queue,
        progress_interval: None,
        reports_cost: false,
        retry_budget: Some(RetryBudget {
            base_retries: 3.0,
            retries_per_request: 0.1,
            window: 5_000_000,
            send_delay: 0,
        }),
        slow_start: SlowStart {
            initial_fraction: 0.3,
            ramp: 14_000_000,
            overload_factor: 2.5,
            overload_window: 2_000_000,
        },
        drain_grace: 1_000_000,
        key_quiet_period: None,
        min_batch_interval: 5_000,
    };
    let mut dispatcher = Balancer::new(settings, 42)?;
    let executors = [11, 12].map(|executor| Endpoint { executor, rating: 1.0, ..Endpoint::default() });
    let request = Arrival {
        request: 1,
        class: 1,
        tenant: None,
        key: None,
        time_budget: 15_000_000,
        estimated_thread_seconds: Some(2.5),
        estimated_memory_mb: Some(640.0),
        table_group: 7,
        is_client_retry: false,
        held_by_client: false,
    };
    let gone = executors.clone().map(|e| Endpoint { readiness: Readiness::Removed, ..e });
    let list = |kind, endpoints: &[Endpoint]| Event::EndpointList { kind, endpoints: endpoints.to_vec() };
    let mut sent = None;
    let mut play = |now: Micros, event: Event| {
        let mut actions = Vec::new();
        dispatcher.handle(now, event, &mut actions);
        for action in actions {
            println!("{:.3} s  {action:?}", now as f64 / 1e6);
            if let Action::Send { executor, .. } = action {
                sent = Some(executor);
            }
        }
        sent
    };
    play(1_000_000, list(EndpointListKind::Restored, &executors));
    play(1_020_000, Event::Arrival(request.clone()));
    // The probes are not answered in time; the request is sent anyway.
    let first = play(1_060_000, Event::Timer { token: 1 }).expect("sent");
    // The executor fails the attempt immediately; it is retried on another executor.
    let failed = AttemptFinished {
        request: 1,
        attempt: 0,
        executor: first,
        request_done: false,
        outcome: Outcome::Error,
        latency: 5_000,
        reported_cost: None,
        report: None,
    };
    let second = play(1_065_000, Event::AttemptFinished(failed)).expect("sent again");
    assert_ne!(first, second);
    // With no executor left, a request is rejected immediately with a retry-after hint.
    play(1_200_000, list(EndpointListKind::Update, &gone));
    play(1_210_000, Event::Arrival(Arrival { request: 2, ..request }));
    Ok(())
}
