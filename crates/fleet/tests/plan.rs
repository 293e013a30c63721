//! The maintenance plan under random orders of commands, faults, aborts and leaders with outdated state.

use fleet::StateMachine as _;
use fleet::plan::{Budget, Command, ExecutorInfo, Plan, Step, next_commands, next_to_drain};
use fleet::{Holder, Micros, incarnation};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;

fn budget(at_once: usize) -> Budget {
    Budget {
        min_executors: 4,
        headroom: 1.3,
        at_once,
        drain_limit: 2_000 * MS,
        out_limit: 3_000 * MS,
        ramp: 1_000 * MS,
    }
}

fn executors() -> BTreeMap<String, ExecutorInfo> {
    let one = |n: usize| (format!("m{n}"), ExecutorInfo { zone: n % 2, cores: 8.0, up: true, started: 0 });
    (0..8).map(one).collect()
}

fn holder(p: u8) -> Holder {
    Holder { incarnation: incarnation(p, 1), term: 1 }
}

fn rank(step: &Step) -> u8 {
    match step {
        Step::Waiting => 0,
        Step::Draining(..) => 1,
        Step::Out(_) => 2,
        Step::WarmingUp(_) => 4,
        Step::Done => 5,
        Step::Failed(_) => 3,
        Step::Aborted => 6,
    }
}

/// Runs a simulation in which executors may or may not come back. Returns how many were serviced.
fn simulate(seed: u64, at_once: usize) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = |below: u64| rng.next_u64() % below;
    let (budget, mut executors, mut plan) = (budget(at_once), executors(), Plan::default());
    let alive: BTreeSet<Holder> = (1..=3).map(holder).collect();
    let (mut now, mut back): (Micros, BTreeMap<String, Option<Micros>>) = (1_000_000 * MS, BTreeMap::new());
    let mut stale = plan.clone();
    // A dispatcher that is cut off: its last known plan, since when, and the number of accepted additions to
    // the plan then.
    let mut cut: Option<(Plan, Micros, u32)> = None;
    let (mut additions, mut done) = (0_u32, BTreeSet::new());
    for round in 0..600 {
        now += 50 * MS;
        let mut commands = Vec::new();
        if round % 100 == 0 {
            let ids: Vec<String> = (0..3).map(|n| format!("m{}", (draw(8) + n * 3) % 8)).collect();
            commands.push(Command::Add(ids));
        }
        match draw(300) {
            0 => commands.push(Command::Abort),
            1..=3 => commands.push(Command::Repair(format!("m{}", draw(8)), now)),
            _ => {}
        }
        // Idle dispatchers report so late or never; the drain limit ends the wait.
        for (id, step) in plan.steps() {
            if matches!(step, Step::Draining(..)) && draw(4) == 0 {
                commands.push(Command::Idle(holder(1 + draw(3) as u8), id.into()));
            }
        }
        // Commands come from the current leader or from a former one with an outdated plan.
        let view = if draw(5) == 0 { stale.clone() } else { plan.clone() };
        let busy = 8.0 * draw(5) as f64;
        commands.extend(next_commands(&view, &executors, busy, &alive, &budget, now));
        if draw(10) == 0 {
            stale = plan.clone();
        }
        if cut.is_none() && draw(40) == 0 {
            cut = Some((plan.clone(), now, additions));
        } else if draw(60) == 0 {
            cut = None;
        }
        for command in commands {
            let before = plan.clone();
            let started = match &command {
                Command::StartDrain(id, ..) => Some(id.clone()),
                _ => None,
            };
            let is_addition = matches!(command, Command::Add(_));
            if !plan.apply(command, &BTreeSet::new()) {
                assert_eq!(before, plan);
                continue;
            }
            additions += u32::from(is_addition);
            if started.is_some() {
                let missing = |p: &Plan| p.steps().filter(|(_, s)| s.missing()).count();
                assert!(missing(&plan) <= budget.at_once, "seed {seed}: {plan:?}");
                let serving = executors
                    .iter()
                    .filter(|(id, m)| m.up && !plan.step(id).is_some_and(Step::missing))
                    .count();
                assert!(serving >= budget.min_executors, "seed {seed}: the budget is violated: {plan:?}");
            }
            if !is_addition {
                for (id, step) in plan.steps() {
                    let was = before.step(id).map_or(0, rank);
                    assert!(rank(step) >= was, "seed {seed}: {id} went back: {before:?} {plan:?}");
                }
            }
        }
        for (id, step) in plan.steps() {
            match step {
                Step::Out(_) if !back.contains_key(id) => {
                    if let Some(m) = executors.get_mut(id) {
                        m.up = false;
                    }
                    let never = draw(10) == 0;
                    back.insert(id.into(), (!never).then(|| now + draw(2_000) * MS));
                }
                Step::Done => {
                    done.insert((additions, id.to_string()));
                }
                _ => {}
            }
        }
        for (id, at) in &back {
            let repaired = plan.step(id).is_some_and(|s| matches!(s, Step::WarmingUp(_)));
            if (at.is_some_and(|t| t <= now) || repaired)
                && let Some(m) = executors.get_mut(id).filter(|m| !m.up)
            {
                (m.up, m.started) = (true, now);
            }
        }
        back.retain(|id, _| plan.step(id).is_some_and(|s| matches!(s, Step::Out(_) | Step::Failed(_))));
        // A dispatcher that is cut off must avoid every executor that has started draining since.
        if let Some((known, since, then)) = &cut
            && *then == additions
        {
            let avoid = known.executors_to_avoid(&budget, Some(now - since));
            let stopped = known.stopped().is_some() || plan.stopped().is_some();
            for (id, step) in plan.steps().filter(|(_, s)| s.excluded()) {
                let waited = known.step(id) == Some(&Step::Waiting);
                assert!(
                    stopped || !waited || avoid.contains(id),
                    "seed {seed}: {id} {step:?} avoided {avoid:?}"
                );
            }
        }
    }
    done.len()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    // Under any faults the capacity budget holds, no executor goes back to an earlier step, and a dispatcher
    // that is cut off never sends work to an executor that has been taken out since.
    #[test]
    fn any_plan_keeps_its_budget(seed: u64, at_once in 1_usize..3) {
        simulate(seed, at_once);
    }
}

// A plan must not get stuck: with faults, over 20 seeds, more than 40 executors complete their maintenance.
#[test]
fn plans_make_progress_under_faults() {
    assert!((0..20).map(|seed| simulate(seed, 1)).sum::<usize>() > 40);
}

#[test]
fn the_reason_that_blocks_an_executor_is_returned() {
    let (executors, budget) = (executors(), budget(1));
    let mut plan = Plan::default();
    assert!(plan.apply(Command::Add(vec!["m1".into(), "m2".into()]), &BTreeSet::new()));
    assert!(!plan.apply(Command::Add(vec!["m2".into()]), &BTreeSet::new()), "planned already");
    assert_eq!(next_to_drain(&plan, &executors, 10.0, &budget), Ok("m1".into()));
    assert!(next_to_drain(&plan, &executors, 50.0, &budget).is_err(), "56 cores are left, 65 are needed");
    let few: BTreeMap<String, ExecutorInfo> = executors.into_iter().take(4).collect();
    assert!(next_to_drain(&plan, &few, 1.0, &budget).is_err(), "three would be left");
}
