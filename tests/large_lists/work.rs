//! The number of executors that decisions examine.

use super::*;

const SIZES: [u32; 4] = [60, 240, 960, 3_200];
/// Maximum mean number of executors examined per arrival, including everything until the next arrival: a few samples of
/// 128, and the executors used before.
const MAX_PER_ARRIVAL: u64 = 2_000;

/// Executors examined per arrival, including ticks and ends of attempts, with an arrival every 200 ms.
fn examined_per_arrival(rig: &mut Rig) -> u64 {
    const ARRIVALS: u64 = 50;
    let before = rig.dispatcher.examined();
    for n in 0..ARRIVALS {
        let (request, actions) =
            rig.arrive_as(Arrival { table_group: n, ..arrival(0, usize::from(n % 5 == 0), 0.2) });
        rig.pass(200 * MS);
        if let Some(executor) = sent_to(&actions) {
            rig.finish(request, 0, executor, Outcome::Ok, 0.2);
        }
    }
    (rig.dispatcher.examined() - before) / ARRIVALS
}

// Guards against decisions whose cost grows with the list. When each draw weighed the whole list, and did so again for
// each executor in slow start, an arrival took 40 ms of processor time with half of 3,200 executors in slow start.
#[test]
fn the_cost_of_a_decision_does_not_grow_with_the_list() {
    for cold_percent in [0, 50, 95] {
        let each = SIZES.map(|size| examined_per_arrival(&mut dispatcher(size, cold_percent)));
        println!("{cold_percent}% in slow start: {each:?} executors examined per arrival, of {SIZES:?}");
        assert!(each.iter().all(|n| *n <= MAX_PER_ARRIVAL), "{cold_percent}% in slow start: {each:?}");
        // A list thirteen times as long may cost only as much more as fuller samples do.
        assert!(each[3] <= each[1] * 2, "{cold_percent}% in slow start: {each:?}");
    }
}

// When many executors are down, a draw examines more of them, but not all.
#[test]
fn sampling_among_many_executors_that_are_down_is_bounded() {
    let mut rig = dispatcher(3_200, 0);
    for n in 0..400 {
        let (request, mut actions) = rig.arrive_as(Arrival { table_group: n, ..arrival(0, 0, 0.2) });
        let mut attempt = 0;
        while let Some(executor) = sent_to(&actions) {
            let before = rig.dispatcher.examined();
            actions = rig.finish(request, attempt, executor, Outcome::ConnectFailed, 0.0);
            assert!(rig.dispatcher.examined() - before <= MAX_PER_ARRIVAL);
            attempt += 1;
        }
        rig.pass(5 * MS);
    }
}

// Many updates of a few executors each, as during a release.
#[test]
fn list_updates_examine_no_executors() {
    let mut rig = dispatcher(3_200, 0);
    rig.arrive(0, 0.2);
    let before = rig.dispatcher.examined();
    for n in 0..1_600 {
        let removed = Endpoint { readiness: Readiness::Removed, ..endpoint(n + 1) };
        let new = Endpoint { started: Some(rig.now), ..endpoint(10_000 + n) };
        rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints: vec![removed, new] });
    }
    assert_eq!(rig.dispatcher.examined(), before, "the list changes without a decision");
    assert!(examined_per_arrival(&mut rig) <= MAX_PER_ARRIVAL);
}
