//! The balancer's seven rules under seeded random event streams, for several sets of settings.

mod checks;
#[path = "../common/mod.rs"]
mod common;
mod events;

use common::{MS, S, class, settings};
use ottercroft::Balancer;
use ottercroft::api::*;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Work of a request of each class, as reported with answers: constant, so that the expected work is known.
const WORK: [f64; 4] = [0.2, 2.0, 0.3, 0.4];

fn many_kinds() -> Settings {
    let mut s = settings();
    s.dispatchers = 1;
    let keyed = Idempotency::IdempotencyKey { scope: KeyScope::Cell, window: 2 * S };
    s.classes = vec![
        class(S, 1.0, 1),
        Class { only_zones: Some(vec![1]), only_kinds: Some(vec![1]), ..class(3 * S, 6.0, 2) },
        Class { idempotency: keyed, ..class(S, 1.0, 1) },
        Class { idempotency: Idempotency::NotIdempotent, keep_order: true, ..class(S, 2.0, 1) },
    ];
    s
}

#[derive(Default)]
struct Open {
    class: usize,
    key: Option<u64>,
    deadline: Micros,
    finals: u32,
    done: bool,
    attempts: Vec<(ExecutorId, Micros, Option<Outcome>)>,
    ended_at: Micros,
}

struct Stream {
    s: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    dispatcher: Balancer,
    timers: Vec<(Micros, u64)>,
    open: BTreeMap<RequestId, Open>,
    list: BTreeMap<ExecutorId, Endpoint>,
    known_draining: BTreeMap<ExecutorId, Micros>,
    cold: BTreeMap<ExecutorId, Micros>,
    cold_sends: BTreeMap<ExecutorId, VecDeque<(Micros, f64)>>,
    retries: Vec<Micros>,
    arrivals: Vec<Micros>,
    quiet_until: BTreeMap<u64, Micros>,
    sends: u32,
    retry_sends: u32,
    cold_count: u32,
    finals: u32,
    /// Executors report requests in flight; if false, they only report an empty queue.
    telling: bool,
}

#[test]
fn seven_rules_hold_under_random_events() {
    let (mut sends, mut retries, mut cold, mut finals) = (0, 0, 0, 0);
    for seed in 0..12 {
        let mut s = many_kinds();
        match seed % 6 {
            1 => s.hedging = false,
            2 => s.progress_interval = Some(500 * MS),
            3 => s.cancellation = false,
            4 => {
                // No cancellation, no hedging, no retry advice, and reads wait on tables that a load has locked.
                (s.cancellation, s.hedging, s.max_retry_after) = (false, false, None);
                (s.classes[3].loads, s.classes[0].yields_to_loads, s.classes[1].yields_to_loads) =
                    (true, true, true);
                s.key_quiet_period = Some(300 * MS);
            }
            5 => (s.hedging, s.drain_grace, s.progress_interval) = (false, 250 * MS, Some(500 * MS)),
            _ => {}
        }
        let mut stream = Stream::new(s, seed);
        stream.telling = seed % 6 < 4;
        stream.run(4_000);
        sends += stream.sends;
        retries += stream.retry_sends;
        cold += stream.cold_count;
        finals += stream.finals;
        assert!(stream.open.values().all(|o| o.finals <= 1));
    }
    // The streams exercise what they are meant to test.
    assert!(
        sends > 3_000 && retries > 100 && cold > 200 && finals > 3_000,
        "{sends} {retries} {cold} {finals}"
    );
}

#[test]
fn same_events_same_actions() {
    let run = |seed| {
        let mut stream = Stream::new(many_kinds(), seed);
        stream.run(2_000);
        (
            stream.sends,
            stream.retry_sends,
            stream.finals,
            stream.open.values().map(|o| o.attempts.clone()).collect::<Vec<_>>(),
        )
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3).3, run(4).3);
}
