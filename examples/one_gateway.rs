//! Builds settings, feeds a gateway a handful of events and prints what it wants done.

use ottercroft::api::*;
use ottercroft::{Event, Gateway, Settings};

fn main() -> Result<(), SettingsError> {
    let class = |aim, worth, threads| Class {
        aim,
        aim_stretch: 2.0,
        deadline: 5 * aim,
        worth,
        late_worth: 0.0,
        threads,
        effect: Effect::Safe,
        keep_order: false,
        loads: false,
        yields_to_loads: false,
        only_zones: None,
        only_kinds: None,
    };
    let settings = Settings {
        gateways: 2,
        classes: vec![class(1_000_000, 1.0, 1), class(3_000_000, 6.0, 4)],
        kinds: vec![Kind { cores: 8.0, memory_mb: 16_384.0 }],
        tenants: vec![],
        zones: 1,
        zone: 0,
        over_share_worth: 1.0,
        cross_zone_price: 0.0,
        probe_price: 0.0,
        handshake_price: 0.0,
        reports: Reports::Inline,
        list_must_be_asked: false,
        probes: true,
        cancel: true,
        second_copies: true,
        max_attempts: 4,
        max_retry_after: Some(2_000_000),
        grants: true,
        priorities: true,
        most_grant: 0.4,
        shortage: Shortage::Queue,
        progress: None,
        tells_cost: false,
        budget: Some(Budget { free: 3.0, ratio: 0.1, span: 5_000_000, slack: 0 }),
        cold: ColdRule { from: 0.3, ramp: 14_000_000, multiple: 2.5, fall: 2_000_000 },
        drain_grace: 1_000_000,
        key_quiet: None,
        step: 5_000,
    };
    let mut gateway = Gateway::new(settings, 42)?;
    let engines = [11, 12].map(|engine| Entry { engine, rating: 1.0, ..Entry::default() });
    let query = Arrival {
        query: 1,
        class: 1,
        tenant: None,
        key: None,
        grace: 15_000_000,
        estimate_s: Some(2.5),
        memory_mb: Some(640.0),
        group: 7,
        repeated: false,
        held_back: false,
    };
    let gone = engines.clone().map(|e| Entry { readiness: Readiness::Left, ..e });
    let list = |kind, entries: &[Entry]| Event::List { kind, entries: entries.to_vec() };
    let mut sent = None;
    let mut play = |now: Micros, event: Event| {
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        for action in actions {
            println!("{:.3} s  {action:?}", now as f64 / 1e6);
            if let Action::Send { engine, .. } = action {
                sent = Some(engine);
            }
        }
        sent
    };
    play(1_000_000, list(ListKind::Restored, &engines));
    play(1_020_000, Event::Arrival(query.clone()));
    // The probes bring no answer within the wait: the query is sent all the same.
    let first = play(1_060_000, Event::Timer { token: 1 }).expect("sent");
    // The engine fails it at once: it is tried again elsewhere.
    let failed = Finished {
        query: 1,
        attempt: 0,
        engine: first,
        done: false,
        outcome: Outcome::Error,
        latency: 5_000,
        bill: None,
        report: None,
    };
    let second = play(1_065_000, Event::Finished(failed)).expect("sent again");
    assert_ne!(first, second);
    // With no engine left a query is refused at once, with advice when to come back.
    play(1_200_000, list(ListKind::Update, &gone));
    play(1_210_000, Event::Arrival(Arrival { query: 2, ..query }));
    Ok(())
}
