use super::*;
use proptest::prelude::*;

const TICK: Micros = 100_000;

fn run(d: &mut Detector, now: &mut Micros, s: f64, seen: Observations) -> Vec<Phase> {
    let mut phases = Vec::new();
    for _ in 0..(s * 10.0) as u32 {
        *now += TICK;
        if d.update(*now, seen) {
            phases.push(d.phase());
        }
    }
    phases
}

const CALM: Observations = Observations { arrived: 10, served: 10, rejected: 0, usable: 1.0 };

// An outage and the return of its clients pass through outage, returning, recovering and calm, each once.
#[test]
fn an_outage_and_its_return_pass_through_all_phases_once() {
    let (mut d, mut now) = (Detector::default(), 0);
    assert_eq!(run(&mut d, &mut now, 30.0, CALM), []);
    assert!((d.baseline().unwrap() - 100.0).abs() < 5.0);
    let down = Observations { arrived: 40, served: 0, rejected: 40, usable: 0.0 };
    assert_eq!(run(&mut d, &mut now, 30.0, down), [Phase::Outage]);
    let back = Observations { arrived: 60, served: 4, rejected: 56, usable: 1.0 };
    assert_eq!(run(&mut d, &mut now, 10.0, back), [Phase::Returning]);
    assert!((d.baseline().unwrap() - 100.0).abs() < 5.0, "a storm is no baseline");
    assert_eq!(run(&mut d, &mut now, 20.0, CALM), [Phase::Recovering, Phase::Calm]);
}

// High load without rejections is not a storm, nor are a few rejections under low load.
#[test]
fn neither_many_requests_nor_a_few_refusals_are_a_storm() {
    let (mut d, mut now) = (Detector::default(), 0);
    run(&mut d, &mut now, 30.0, CALM);
    assert_eq!(run(&mut d, &mut now, 30.0, Observations { arrived: 40, served: 40, ..CALM }), []);
    assert_eq!(run(&mut d, &mut now, 30.0, Observations { rejected: 2, served: 8, ..CALM }), []);
}

proptest! {
    // For any input a phase lasts at least half a second, and calm is reached only through recovering.
    #[test]
    fn phases_do_not_flap(looks in prop::collection::vec((0u64..200, 0u64..50, 0u64..200, 0.0f64..1.0), 1..400)) {
        let (mut d, mut now, mut changed, mut before) = (Detector::default(), 0, 0, Phase::Calm);
        for (arrived, served, rejected, usable) in looks {
            now += TICK;
            if d.update(now, Observations { arrived, served, rejected, usable }) {
                prop_assert!(now >= changed + MIN_PHASE_TIME, "{before:?} to {:?}", d.phase());
                prop_assert!(d.phase() != Phase::Calm || before == Phase::Recovering);
                (changed, before) = (now, d.phase());
            }
        }
    }
}
