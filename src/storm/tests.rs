use super::budget::{FREE_REPEATS, WINDOW};
use super::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;

fn terms() -> StormSettings {
    StormSettings { longest_wait: S, repeats: 0.3, remembered: 500, ramp: 10 * S }
}

const ALL: FleetCapacity = FleetCapacity { listed: 64.0, usable: 64.0, warm: 64.0 };
const NONE: FleetCapacity = FleetCapacity { listed: 64.0, usable: 0.0, warm: 0.0 };

/// Simulates new requests for some seconds, `a_tick` in each 100 ms; of those admitted, `can` are served and the rest
/// are rejected by the balancer. Returns the number admitted.
fn play(
    s: &mut Storm,
    now: &mut Micros,
    seconds: f64,
    a_tick: u64,
    capacity: FleetCapacity,
    can: u64,
) -> u64 {
    let mut admitted = 0;
    for _ in 0..(seconds * 10.0) as u64 {
        let mut served = 0;
        for _ in 0..a_tick {
            *now += 100_000 / a_tick;
            let fingerprint = *now;
            match s.admit(*now, fingerprint, false) {
                Admission::Admit if served < can => {
                    (admitted, served) = (admitted + 1, served + 1);
                    s.served();
                }
                Admission::Admit => {
                    admitted += 1;
                    s.rejected(*now, fingerprint, 200_000);
                }
                Admission::Reject(wait) => assert!(wait <= S + plan::SLOT, "{wait}"),
            }
        }
        s.tick(*now, capacity);
    }
    admitted
}

fn returning() -> (Storm, Micros) {
    let (mut s, mut now) = (Storm::new(terms(), 7), S);
    play(&mut s, &mut now, 30.0, 10, ALL, 10);
    play(&mut s, &mut now, 5.0, 40, NONE, 0);
    assert_eq!(s.phase(), Phase::Outage);
    for _ in 0..8 {
        now += 100_000;
        s.tick(now, ALL);
    }
    assert_eq!(s.phase(), Phase::Returning);
    (s, now)
}

// In the calm phase every request is admitted, the balancer's retry-after is unchanged and nothing is remembered.
#[test]
fn on_a_calm_day_everything_passes() {
    let (mut s, mut now) = (Storm::new(terms(), 7), S);
    assert_eq!(play(&mut s, &mut now, 60.0, 10, ALL, 10), 6_000);
    assert_eq!((s.rejected(now, 1, 200_000), s.remembered(), s.counters), (200_000, 0, Counters::default()));
}

// When all clients return at once, the admitted rate follows the capacity and not the arrivals.
#[test]
fn at_the_return_no_more_passes_than_can_be_served() {
    let (mut s, mut now) = returning();
    let admitted = play(&mut s, &mut now, 5.0, 100, ALL, 10);
    assert!((300..=700).contains(&admitted), "{admitted} of 5,000 where 100 a second can be served");
}

// The rate learned under low load underestimates the capacity, and as a fixed limit it would make the recovery of a
// small installation very slow. The pace rises while admitted requests are served and falls once the balancer rejects
// them.
#[test]
fn the_pace_follows_what_the_decisions_can_take() {
    let (mut s, mut now) = (Storm::new(terms(), 7), S);
    play(&mut s, &mut now, 30.0, 1, ALL, 1);
    play(&mut s, &mut now, 5.0, 40, NONE, 0);
    now += S;
    play(&mut s, &mut now, 1.0, 50, ALL, 50);
    assert_eq!(s.phase(), Phase::Returning);
    let first = play(&mut s, &mut now, 1.0, 50, ALL, 50);
    play(&mut s, &mut now, 8.0, 50, ALL, 50);
    let later = play(&mut s, &mut now, 1.0, 50, ALL, 50);
    assert!(later >= 10 * first.max(1) || later > 400, "{first} then {later} of 500");
    let before = s.pace;
    play(&mut s, &mut now, 2.0, 50, ALL, 0);
    assert!(s.phase() != Phase::Returning || s.pace < before, "{before} then {}", s.pace);
}

// An early retry is told the same time again, and a retry at its reserved time has precedence.
#[test]
fn to_come_early_gains_nothing_and_to_come_in_time_does() {
    let (mut s, mut now) = returning();
    (s.tokens, s.tokens_at) = (0.0, now);
    let Admission::Reject(wait) = s.admit(now, 1, false) else { panic!("admitted without a token") };
    let back = *s.remembered_rejections.peek(&1).unwrap();
    assert_eq!(wait, (back.at - now).max(MIN_WAIT));
    for step in [10_000, 20_000, 40_000] {
        if now + step + TOLERANCE < back.at {
            assert_eq!(s.admit(now + step, 1, false), Admission::Reject(back.at - now - step));
        }
    }
    now = back.at.max(now);
    // New requests have used up the tokens.
    s.refill(now);
    s.tokens = 0.5;
    assert!(back.reserved);
    assert_eq!(s.admit(now, 1, false), Admission::Admit);
    assert!(matches!(s.admit(now, 2, false), Admission::Reject(_)));
}

proptest! {
    // For any requests: retries without a reservation stay within their budget, memory stays within its bound, no wait
    // is longer than clients honour, and the same seed gives the same answers.
    #[test]
    fn repeats_stay_within_their_budget(
        asks in prop::collection::vec((0u64..60_000, 0u64..700, any::<bool>(), 0u8..4), 1..600), seed in any::<u64>(),
    ) {
        let run = || {
            let (mut s, mut now) = returning();
            s.rng = Pcg64Mcg::seed_from_u64(seed);
            // Requests admitted during the setup are not counted.
            s.admitted.clear();
            s.repeats = 0;
            let (mut all, mut answers) = (Vec::new(), Vec::new());
            for (pause, fingerprint, marked, what) in &asks {
                now += pause;
                let before = s.counters.repeats;
                let verdict = s.admit(now, *fingerprint, *marked);
                if verdict == Admission::Admit {
                    all.push((now, s.counters.repeats > before));
                    match what {
                        0 => s.served(),
                        1 => s.failed(),
                        _ => drop(s.rejected(now, *fingerprint, 200_000)),
                    }
                }
                if what == &3 { s.tick(now, ALL); }
                answers.push(verdict);
                assert!(s.remembered() <= 500);
                if let Admission::Reject(wait) = verdict {
                    assert!(wait <= S + plan::SLOT);
                }
            }
            for (i, (at, repeat)) in all.iter().enumerate().filter(|(_, (_, r))| *r) {
                let window = all[..=i].iter().filter(|(t, _)| t + WINDOW > *at);
                let (n, repeats) = window.fold((0, 0), |(n, r), (_, repeat)| (n + 1, r + u64::from(*repeat)));
                assert!(repeats <= FREE_REPEATS || repeats as f64 <= 0.3 * n as f64 + 1e-9, "{repeats} of {n}, {repeat}");
            }
            answers
        };
        prop_assert_eq!(run(), run());
    }
}
