//! The queue at one dispatcher: shares, limits, corrected charges, refusals, keys and weights.

use proptest::prelude::*;
use slots::{DemandReport, Id, Job, Lent, Micros, Next, Queue, Tenant, TenantDemand, Terms, Verdict};

const MS: Micros = 1_000;
const START: Micros = 1_000_000 * MS;

fn queue(mine: u32) -> Queue {
    let mut q = Queue::new(Terms { debt_s: 1e6, ..Terms::default() }, 1);
    q.set_slots(START, Lent { mine, total: mine, peers: 1 });
    q
}

fn job(id: Id, tenant: Tenant, cost_s: f64, aim_ms: u64) -> Job {
    let aim = START + aim_ms * MS;
    Job { id, tenant, key: None, cost_s, threads: 1, aim, deadline: aim + aim_ms * MS }
}

/// Runs requests of these tenants until `until`, each for `actual(tenant)` seconds. Returns the slot seconds by tenant.
fn serve(
    q: &mut Queue,
    until: Micros,
    brought: &[(Tenant, f64)],
    actual: impl Fn(Tenant) -> f64,
) -> Vec<f64> {
    let n = brought.iter().map(|(t, _)| usize::from(*t) + 1).max().unwrap();
    let mut ends: Vec<(Micros, Id, Tenant)> = Vec::new();
    let (mut served, mut waits, mut now, mut id) = (vec![0.0; n], vec![0_usize; n], START, 0);
    while now < until {
        let done: Vec<(Micros, Id, Tenant)> = ends.iter().filter(|(at, ..)| *at <= now).copied().collect();
        ends.retain(|(at, ..)| *at > now);
        done.iter().for_each(|(_, i, t)| q.finished(now, *i, actual(*t)));
        let mut starts = Vec::new();
        for (t, cost) in brought {
            // Every tenant always has requests waiting, the first one more than all others together.
            let deep = if *t == 0 { brought.len().max(8) } else { 8.min(400 / brought.len()) };
            for _ in waits[usize::from(*t)]..deep {
                id += 1;
                let far = Job { aim: now + 1_000_000 * MS, deadline: u64::MAX, ..job(id, *t, *cost, 0) };
                match q.offer(now, Job { id: id * 2048 + u64::from(*t), ..far }) {
                    Verdict::Run => starts.push(id * 2048 + u64::from(*t)),
                    Verdict::Wait => waits[usize::from(*t)] += 1,
                    Verdict::Refuse { .. } => {}
                }
            }
        }
        for next in q.tick(now) {
            if let Next::Run(i) = next {
                waits[(i % 2048) as usize] -= 1;
                starts.push(i);
            }
        }
        for i in starts {
            let t = (i % 2048) as Tenant;
            ends.push((now + (actual(t) * 1e6) as Micros, i, t));
        }
        ends.iter().for_each(|(_, _, t)| served[usize::from(*t)] += 0.05);
        now += 50 * MS;
    }
    for i in (1..=id).flat_map(|i| (0..n as u64).map(move |t| i * 2048 + t)) {
        q.left(now, i);
    }
    served
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards against a tenant that falls behind its share: of two backlogged tenants, for any weights, costs and
    /// estimation errors, neither is ahead by more than (2 D + 1) of the longest requests over their weights.
    #[test]
    fn nobody_falls_further_behind_than_the_bound(
        weights in prop::array::uniform2(1..5u8), costs in prop::array::uniform2(1..8u8),
        wrong in prop::array::uniform2(1..30u8), slots in 1..6u32,
    ) {
        let mut q = queue(slots);
        let w = weights.map(f64::from);
        q.set_weights(START, &[(0, w[0]), (1, w[1])]);
        let actual = costs.map(|c| f64::from(c) * 0.1);
        let told = [0, 1].map(|t| actual[t] * f64::from(wrong[t]) / 10.0);
        let got = serve(&mut q, START + 20_000 * MS, &[(0, told[0]), (1, told[1])], |t| actual[usize::from(t)]);
        // The longest charge, plus a step of 50 ms as requests finish between two steps.
        let most = |t: usize| (actual[t].max(told[t]) + 0.05) / w[t];
        let apart = (got[0] / w[0] - got[1] / w[1]).abs();
        let bound = f64::from(2 * slots + 1) * (most(0) + most(1));
        prop_assert!(apart <= bound, "{apart} over {bound}: {got:?}");
    }

    /// Guards against a peer that overstates its demand: it is allocated no more than what it uses, an equal part, and
    /// what no other wants.
    #[test]
    fn a_peer_that_lies_gains_its_part_at_most(
        claims in prop::collection::vec(0..1_000_000u32, 1..6), uses in 0..20u32, mine in 0..200u32, peers in 2..12u32,
    ) {
        use slots::split::{Demand, believed, dues};
        let (total, n) = (60.0, claims.len());
        let weights = vec![1.0; n];
        let wants: Vec<f64> = claims.iter().map(|c| f64::from(*c)).collect();
        let liar = Demand { wants, used: f64::from(uses) };
        let cap = total / f64::from(peers) + f64::from(uses);
        prop_assert!(believed(total, f64::from(peers), &weights, &liar).iter().sum::<f64>() <= cap + 1e-6);
        // The others keep the rest, as far as they want it.
        let honest = Demand { wants: vec![f64::from(mine); n], used: 60.0 };
        let all = vec![honest; peers as usize - 1].into_iter().chain([liar]).collect::<Vec<_>>();
        let kept: f64 = dues(total, f64::from(peers), &weights, &all).iter().map(|d| d.here).sum();
        let left = (total - cap).max(0.0) / f64::from(peers - 1);
        prop_assert!(kept + 1e-6 >= left.min(f64::from(mine) * n as f64), "{kept} of {left}");
    }
}

/// Guards against a tenant that gets ten times its share through estimates that are ten times too low.
#[test]
fn estimates_ten_times_too_low_gain_nothing() {
    let got = serve(&mut queue(4), START + 60_000 * MS, &[(0, 0.06), (1, 0.6)], |_| 0.6);
    assert!((got[0] / got[1] - 1.0).abs() < 0.05, "{got:?}");
}

/// Guards against excess service to one of a hundred tenants that sends half of the load, and against unused slots.
#[test]
fn one_of_a_hundred_that_sends_half_gets_a_hundredth() {
    let brought: Vec<(Tenant, f64)> = (0..100).map(|t| (t, 0.3)).collect();
    let mut q = queue(20);
    let got = serve(&mut q, START + 20_000 * MS, &brought, |_| 0.3);
    let all: f64 = got.iter().sum();
    // The first tenant finds all slots free and fills them once.
    assert!(got[0] - 20.0 * 0.3 < all / 100.0 * 1.1 && all > 0.97 * 20.0 * 20.0, "{} of {all}", got[0]);
}

/// Guards against shares that still follow old weights, and against a jump when the weights change.
#[test]
fn weights_changed_in_the_middle_hold_from_then_on() {
    let mut q = queue(4);
    serve(&mut q, START + 20_000 * MS, &[(0, 0.2), (1, 0.2)], |_| 0.2);
    q.set_weights(START, &[(0, 3.0)]);
    let later = START + 20_000 * MS;
    let got = serve(&mut q, later, &[(0, 0.2), (1, 0.2)], |_| 0.2);
    assert!((got[0] / got[1] - 3.0).abs() < 0.25, "{got:?}");
}

/// Guards against unlimited credit saved while idle: a returning tenant is behind by at most `credit_s` seconds of its
/// share, whatever was served meanwhile.
#[test]
fn an_hour_idle_saves_no_more_than_the_credit() {
    let mut q = queue(4);
    q.offer(START, job(1, 7, 0.2, 60_000));
    q.finished(START, 1, 0.2);
    serve(&mut q, START + 60_000 * MS, &[(0, 0.5)], |_| 0.5);
    q.offer(START + 3_600_000 * MS, Job { deadline: u64::MAX, aim: u64::MAX, ..job(2, 7, 0.2, 0) });
    // Two seconds of its half of four slots.
    assert!(q.ahead_s(7) >= -4.01, "{}", q.ahead_s(7));
}

/// Guards against queueing requests that can't be served in time: they are refused at once with a retry delay, and
/// queued ones are refused by the first tick after slots are lost, long before their deadlines.
#[test]
fn what_cant_be_served_in_time_is_refused_at_once() {
    let mut q = queue(2);
    let verdicts: Vec<Verdict> = (0..20).map(|i| q.offer(START, job(i, 0, 1.0, 4_000))).collect();
    assert_eq!(verdicts.iter().filter(|v| **v == Verdict::Run).count(), 2);
    let waits = verdicts.iter().filter(|v| **v == Verdict::Wait).count();
    assert!((4..=7).contains(&waits), "{verdicts:?}");
    assert!(matches!(verdicts[19], Verdict::Refuse { after_ms } if (1..10_000).contains(&after_ms)));
    // Slots are lost: nothing that runs is stopped, nothing more starts, and the last ones in the queue are refused.
    q.set_slots(START, Lent { mine: 1, total: 1, peers: 1 });
    let next = q.tick(START + 100 * MS);
    assert!(!next.is_empty() && next.iter().all(|n| matches!(n, Next::Refuse(_, ms) if *ms > 0)), "{next:?}");
    assert_eq!((q.running(), q.waiting()), (2, waits - next.len()));
    q.finished(START + 1_000 * MS, 0, 1.0);
    assert!(!q.tick(START + 1_000 * MS).iter().any(|n| matches!(n, Next::Run(_))));
    q.finished(START + 1_100 * MS, 1, 1.0);
    assert!(q.tick(START + 1_100 * MS).iter().any(|n| matches!(n, Next::Run(_))));
}

/// Guards against concurrent or reordered loads of one key, across tenants and clients that disconnect.
#[test]
fn loads_of_a_key_run_one_after_the_other() {
    let mut q = queue(4);
    let load = |id, tenant| Job { key: Some(9), ..job(id, tenant, 0.5, 60_000) };
    assert_eq!(q.offer(START, load(1, 0)), Verdict::Run);
    assert_eq!(q.offer(START, load(2, 1)), Verdict::Wait);
    assert_eq!(q.offer(START, load(3, 0)), Verdict::Wait);
    assert_eq!(q.tick(START), []);
    q.finished(START + 500 * MS, 1, 0.5);
    assert_eq!(q.tick(START + 500 * MS), [Next::Run(2)]);
    q.left(START + 600 * MS, 2);
    assert_eq!(q.tick(START + 600 * MS), [Next::Run(3)]);
}

/// Guards against requesting more than the own part without reports of the peers, and against reports of unlimited size.
#[test]
fn without_reports_no_more_than_the_own_part_is_wanted() {
    let mut q = Queue::new(Terms::default(), 1);
    q.set_slots(START, Lent { mine: 0, total: 40, peers: 4 });
    for i in 0..200 {
        q.offer(START, job(i, (i % 100) as Tenant, 0.1, 600_000));
    }
    let want = q.want(START);
    assert_eq!((want.firm, want.most), (10, 10));
    let size = postcard::to_stdvec(&q.report(START)).unwrap().len();
    assert!(size < 600, "{size} bytes");
    // Idle peers leave their parts to others until their reports are stale.
    let quiet = |p| DemandReport { incarnation: p, at: START, ..DemandReport::default() };
    (2..5).for_each(|p| q.handle_report(START, p as u8, quiet(p)));
    let most = |q: &mut Queue, at| q.want(at).most;
    assert_eq!(most(&mut q, START), 40);
    assert_eq!(most(&mut q, START + 1_600 * MS), 10);
    let too_many = DemandReport {
        at: START + 1,
        tenants: vec![(0, TenantDemand::default()); 49],
        ..DemandReport::default()
    };
    assert!(!too_many.is_within_limits());
}
