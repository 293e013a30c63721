use super::*;
use proptest::prelude::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

// Clients rejected at the same time must not retry at the same time.
#[test]
fn a_thousand_turned_away_at_once_come_back_spread() {
    let (mut plan, mut rng) = (Plan::new(1_000_000), Pcg64Mcg::seed_from_u64(7));
    let all: Vec<RetryTime> = (0..1_000).map(|_| plan.assign(5_000_000, 1.0, &|_| 200.0, &mut rng)).collect();
    let reserved = all.iter().filter(|r| r.reserved).count();
    assert!((150..=200).contains(&reserved), "{reserved}");
    for tenth in 0..10 {
        let within = 5_000_000 + tenth * 100_000..5_000_000 + (tenth + 1) * 100_000;
        let n = all.iter().filter(|r| r.reserved && within.contains(&r.at)).count();
        assert!(n <= 30, "{n} in tenth {tenth}");
    }
    assert!(all.iter().all(|r| r.at <= 6_000_000 && (r.reserved || r.at >= 5_500_000)));
}

proptest! {
    // For any sequence of requests the reservations stay within the planned capacity of every slot, no wait is longer
    // than clients honour, and memory is bounded by the slots ahead.
    #[test]
    fn promises_stay_within_the_planned_capacity(
        asks in prop::collection::vec((0u64..300_000, 0.1f64..4.0), 1..300),
        rates in prop::collection::vec(0.0f64..400.0, 1..8),
        longest in 100_000u64..5_000_000,
        seed in any::<u64>(),
    ) {
        let (mut plan, mut rng) = (Plan::new(longest), Pcg64Mcg::seed_from_u64(seed));
        // Capacity that changes every second and is known in advance, as during a warm-up ramp.
        let admission_rate = |at: Micros| rates[(at / 1_000_000) as usize % rates.len()];
        let mut now = 1_000_000;
        for (pause, weight) in asks {
            now += pause;
            let back = plan.assign(now, weight, &admission_rate, &mut rng);
            prop_assert!(back.at > now && back.at <= now + longest.max(2 * SLOT) + SLOT);
            for i in 0..plan.reservations.len() as u64 {
                let slot = plan.first + i;
                let all = admission_rate(slot * SLOT) * SLOT as f64 / 1e6;
                prop_assert!(plan.reservations(slot) <= all + 1e-6, "slot {slot}: {} of {all}", plan.reservations(slot));
            }
            prop_assert!(plan.reservations.len() as u64 <= longest.max(2 * SLOT) / SLOT + 2);
        }
    }
}
