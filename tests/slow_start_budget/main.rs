//! What all dispatchers together send to a cold executor, over any window of the length that the settings name, at
//! any time of the ramp: the budget N, and no more beyond it than 2 x root of N + 2. N is multiple x present capacity
//! x window over the mean work of a request, the present capacity that at the window's first moment.
//!
//! Each dispatcher is a decision module of its own with its own seed; they share nothing. Seeds are fixed. Run with
//! `--nocapture` for the table of docs/large-fleet.md.

#[path = "../common/mod.rs"]
mod common;
mod count;
mod dispatcher;
mod scene;
mod settings_drawn;

use common::{MS, S};
use count::Sum;
use ottercroft::api::Micros;
use scene::Scene;

/// Plays a scene on some seeds, prints its row of the table and holds each sum to its bound. In the mean no less than
/// `least` of N is sent: a bound is no proof where nothing comes.
fn holds(name: &str, scene: &Scene, seeds: u64, least: f64) {
    let mut all = Sum::default();
    (0..seeds).for_each(|seed| all.add(&scene.rule, scene.played, &scene.play(seed)));
    println!("{}", all.row(name, scene.dispatchers));
    assert!(all.mean() >= least, "{name}: {} of N in the mean, the executor stands idle", all.mean());
    assert!(all.excess <= 0.0, "{name}: {:.1} requests beyond N + 2 root N + 2", all.excess);
    assert!(!all.broken, "{name}: pushed over, two thirds of it by those that were notified");
}

/// One size of fleet, in each scene: how often it is played, and how much of the ramp.
fn fleet_of(dispatchers: u32, seeds: u64, played: Micros) {
    let busy = Scene { played, ..Scene::busy(dispatchers) };
    holds("busy", &busy, seeds, 0.1);
    // Dispatchers that have just started know a cold executor from the first list that they get.
    holds("started anew", &Scene { restarted: 1.0, ..busy }, seeds, 0.1);
    holds("notified late", &Scene::late(dispatchers), seeds, 0.01);
    holds("woken", &Scene::woken(dispatchers), seeds.min(4), 0.01);
}

const RAMP: Micros = 14 * S;

#[test]
fn one() {
    fleet_of(1, 12, RAMP);
}

#[test]
fn two() {
    fleet_of(2, 12, RAMP);
}

#[test]
fn three() {
    fleet_of(3, 12, RAMP);
}

#[test]
fn twenty() {
    fleet_of(20, 6, RAMP);
}

#[test]
fn thirty() {
    fleet_of(30, 4, RAMP);
}

#[test]
fn sixty() {
    fleet_of(60, 2, RAMP);
}

#[test]
fn three_hundred() {
    fleet_of(300, 1, RAMP / 2);
}

// Lists as long as a large fleet has, of which each dispatcher looks at a part: what is saved for a cold executor by all
// that look at it seldom must not come together.
#[test]
fn three_hundred_with_a_long_list() {
    let scene = Scene::busy(300);
    let rule = count::Rule { warming_executors: 200, ..scene.rule };
    let long = Scene { rule, warm_executors: 200, played: 4_500 * MS, rate: 50.0, ..scene };
    holds("long list", &long, 1, 0.05);
}

#[test]
fn a_thousand() {
    fleet_of(1000, 1, 4_500 * MS);
}
