//! Fleets in simulated time: one tenant at ten times its share, three at eight tenths of theirs, 60 slots.

mod sim;

use sim::{AIM, Figures, MS, World, run};
use slots::Micros;

fn world(
    dispatchers: usize,
    heavy_at_one: bool,
    light_at_one: bool,
    report_delay: Option<Micros>,
) -> Figures {
    let tenants = vec![(10.0, heavy_at_one), (0.8, light_at_one), (0.8, false), (0.8, false)];
    run(&World { seed: 1, dispatchers, slots: 60, tenants, report_delay, seconds: 30 })
}

/// Checks fair shares, no slot used twice, few unused slots, and bounded waits and refusals of the other tenants.
fn hold(name: &str, f: &Figures, idle: f64, refused: f64) {
    assert_eq!(f.twice, 0, "{name}: {f:?}");
    assert!(f.jain > 0.97 && f.idle < idle, "{name}: {f:?}");
    let waits = f.waits[1..].iter().all(|(most, usual)| *most < AIM && *usual < 3_000 * MS);
    assert!(waits && f.refused[1..].iter().all(|r| *r < refused), "{name}: {f:?}");
}

fn with_reports(n: usize, idle: f64) {
    let report_delay = Some(250 * MS);
    hold("clients everywhere", &world(n, false, false, report_delay), idle, 0.02);
    hold("the heavy one's clients at one", &world(n, true, false, report_delay), idle, 0.02);
    hold("a light one's clients at one", &world(n, false, true, report_delay), idle, 0.12);
}

/// Guards against unfair shares, unused capacity and slots leased twice in a small fleet.
#[test]
fn three_share_by_weight() {
    with_reports(3, 0.03);
}

/// The same in a fleet of ten.
#[test]
fn ten_share_by_weight() {
    with_reports(10, 0.03);
}

/// The same in a fleet of thirty with two slots each, where slots move most often.
#[test]
fn thirty_share_by_weight() {
    with_reports(30, 0.035);
}

/// Guards against dispatchers without reports that take more than their parts or share their own slots unfairly.
#[test]
fn without_reports_each_keeps_its_part_fairly() {
    for n in [3, 10, 30] {
        hold("cut", &world(n, false, false, None), 0.03, 0.08);
    }
    // Known cost: the part of a dispatcher without clients stays unused.
    let f = world(3, true, false, None);
    assert!(f.twice == 0 && f.jain > 0.8 && f.idle < 0.3, "{f:?}");
}
