//! How many executors decisions look at.

use super::*;

const SIZES: [u32; 4] = [60, 240, 960, 3_200];
/// The most that an arrival may look at, in the mean and with all that comes of it until the next one: a few samples
/// of 128 and what it has met.
const MOST_EACH: u64 = 2_000;

/// Executors looked at for each arrival, ticks and ends of attempts included; an arrival every 200 ms.
fn looked_at(rig: &mut Rig) -> u64 {
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

// Each draw weighed the whole list, and where many had just started it weighed it once for each of them, and summed up
// what all of them may get each time: half of 3,200 cold took 40 ms of processor time for an arrival.
#[test]
fn a_decision_does_not_follow_the_length_of_the_list() {
    for cold_percent in [0, 50, 95] {
        let each = SIZES.map(|size| looked_at(&mut dispatcher(size, cold_percent)));
        println!("{cold_percent}% cold: {each:?} looked at for an arrival, of {SIZES:?}");
        assert!(each.iter().all(|n| *n <= MOST_EACH), "{cold_percent}% cold: {each:?}");
        // A list of thirteen times the length costs no more than fuller samples do.
        assert!(each[3] <= each[1] * 2, "{cold_percent}% cold: {each:?}");
    }
}

// Executors of a whole zone are down: the draw looks further, but not at all of them.
#[test]
fn a_draw_among_many_that_are_down_is_bounded() {
    let mut rig = dispatcher(3_200, 0);
    for n in 0..400 {
        let (request, mut actions) = rig.arrive_as(Arrival { table_group: n, ..arrival(0, 0, 0.2) });
        let mut attempt = 0;
        while let Some(executor) = sent_to(&actions) {
            let before = rig.dispatcher.examined();
            actions = rig.finish(request, attempt, executor, Outcome::ConnectFailed, 0.0);
            assert!(rig.dispatcher.examined() - before <= MOST_EACH);
            attempt += 1;
        }
        rig.pass(5 * MS);
    }
}

// Events of a few executors each, one after the other, as in a release.
#[test]
fn events_of_the_list_cost_what_they_name() {
    let mut rig = dispatcher(3_200, 0);
    rig.arrive(0, 0.2);
    let before = rig.dispatcher.examined();
    for n in 0..1_600 {
        let gone = Endpoint { readiness: Readiness::Removed, ..endpoint(n + 1) };
        let new = Endpoint { started: Some(rig.now), ..endpoint(10_000 + n) };
        rig.event(Event::EndpointList { kind: EndpointListKind::Update, endpoints: vec![gone, new] });
    }
    assert_eq!(rig.dispatcher.examined(), before, "the list changes without a decision");
    assert!(looked_at(&mut rig) <= MOST_EACH);
}
