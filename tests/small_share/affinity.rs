//! Preferred executors of table groups, the same at all dispatchers though these share nothing.

use super::*;

/// Found on the bench: 11% of reads were warm at size. Dispatchers prefer the same executors though they share nothing.
#[test]
fn dispatchers_agree_on_the_preferred_executors_of_a_table_group() {
    let mut count = [0; 21];
    for seed in 0..40 {
        let mut rig = Rig::seeded(fleet(300), 20, seed);
        for _ in 0..5 {
            let (q, actions) = rig.arrive_as(Arrival { table_group: 9, ..arrival(0, 0, 0.2) });
            let e = sent_to(&actions).expect("sent");
            count[e as usize] += 1;
            rig.finish(q, 0, e, Outcome::Ok, 0.2);
        }
    }
    count.sort_unstable();
    assert!(count[19] + count[20] > 100, "two executors of twenty take half of 200: {count:?}");
}

/// Found on the bench: a fixed affinity weight kept a third of a group's requests together on 14 executors, an eighth on 60.
#[test]
fn preferred_executors_take_the_same_part_of_a_group_at_any_size() {
    for executors in [14, 60] {
        let mut count = vec![0; executors as usize + 1];
        for seed in 0..40 {
            let mut rig = Rig::seeded(Settings { reports: Reports::Off, ..fleet(300) }, executors, seed);
            for _ in 0..10 {
                let (q, actions) = rig.arrive_as(Arrival { table_group: 9, ..arrival(0, 0, 0.2) });
                let e = sent_to(&actions).expect("sent");
                count[e as usize] += 1;
                rig.finish(q, 0, e, Outcome::Ok, 0.2);
            }
        }
        count.sort_unstable();
        let at_preferred = count[count.len() - 1] + count[count.len() - 2];
        assert!((90..200).contains(&at_preferred), "{at_preferred} of 400 on {executors} executors");
    }
}

/// Found by an incident on the bench (id4c00a): four table groups drew all requests, their preferred executors were full and always
/// the three executors with a known load, so that the idle rest was never probed.
#[test]
fn full_preferred_executors_do_not_keep_the_rest_from_being_probed() {
    let mut count = [0; 13];
    for seed in 0..30 {
        let mut rig = Rig::seeded(Settings { reports: Reports::Off, ..fleet(300) }, 12, seed);
        let (_, actions) = rig.arrive_as(Arrival { table_group: 9, ..arrival(0, 0, 0.2) });
        count[sent_to(&actions).expect("sent") as usize] += 1;
    }
    let mut order: Vec<u32> = (1..=12).collect();
    order.sort_by_key(|&e| std::cmp::Reverse(count[e as usize]));
    let mut rig = Rig::new(fleet(300), 12);
    for (n, &executor) in order[..3].iter().enumerate() {
        let inflight = Some(if n < 2 { 12.0 } else { 1.0 });
        let report = Some(Report { inflight, ..Report::default() });
        rig.event(Event::ProbeFinished { executor, outcome: Outcome::Ok, latency: MS, report });
    }
    let actions_of_arrival = rig.event(Event::Arrival(Arrival { table_group: 9, ..arrival(900, 0, 0.2) }));
    let probed = actions_of_arrival
        .iter()
        .filter(|a| matches!(a, Action::Probe { executor } if !order[..3].contains(executor)));
    assert_eq!(probed.count(), 2, "{actions_of_arrival:?}");
}
