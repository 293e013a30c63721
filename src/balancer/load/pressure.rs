//! Pressure: how far the admission rules of a class close, from the load of its executors and from lateness.
//!
//! 0 closes none, 1 is what an ordinary overload reaches. A class has the pressure of the least saturated
//! pool that is open to it, or of the lateness of its requests if that is more.

use super::{PoolLoad, SPARE_CAPACITY_LOAD, pool::is_open_to};
use crate::api::{Class, ClassId};
use crate::balancer::TICK_US;
use crate::state::Balancer;
use std::collections::BTreeMap;

/// The most pressure there is: all tiers of rules are closed.
const MAX_PRESSURE: f64 = 1.4;
/// Span over which a class's arrival rate is counted, in seconds.
const ARRIVAL_RATE_SPAN_S: f64 = 2.0;
/// Fraction of a class's requests that may be late without pressure: bad query plans make some late always.
const TOLERATED_LATE_FRACTION: f64 = 0.2;
/// Lateness eases this many times as fast while executors have spare capacity.
const FAST_EASING: f64 = 4.0;
/// Arrivals a second that a class is taken to have besides its own: one late request proves little.
const EXTRA_ARRIVAL_RATE: f64 = 1.0;
/// Weight of lateness where executors report the requests they hold: lateness comes later and swings.
const LATENESS_WEIGHT_WITH_REPORTS: f64 = 0.5;
/// Pressure whose crossing is logged.
const LOGGED_PRESSURE: f64 = 0.5;

/// The pressure of all classes.
#[derive(Debug)]
pub(crate) struct Pressure {
    classes: Vec<ClassPressure>,
    /// The highest of any class.
    pub(crate) highest: f64,
}

/// The pressure of a class, and the lateness that makes part of it.
#[derive(Debug, Clone, Default)]
struct ClassPressure {
    /// Requests that have arrived since the last tick.
    arrivals: f64,
    /// Arrivals a second.
    arrival_rate: f64,
    /// Fraction of requests that were late, over what is tolerated; 0 to 1.
    lateness: f64,
    /// How far the rules of the class close, 0 to `MAX_PRESSURE`.
    pressure: f64,
}

impl Pressure {
    /// No pressure on any of so many classes.
    pub(crate) fn new(classes: usize) -> Pressure {
        Pressure { classes: vec![ClassPressure::default(); classes], highest: 0.0 }
    }

    /// The pressure of a class.
    pub(crate) fn of(&self, class: ClassId) -> f64 {
        self.classes[class].pressure
    }

    /// Counts a request of a class that has arrived.
    pub(crate) fn record_arrival(&mut self, class: ClassId) {
        self.classes[class].arrivals += 1.0;
    }

    /// Counts a request of a class that missed its latency objective.
    fn record_late(&mut self, class: ClassId) {
        let class = &mut self.classes[class];
        class.lateness = (class.lateness + 1.0 / (class.arrival_rate + EXTRA_ARRIVAL_RATE)).min(1.0);
    }

    /// Takes the arrivals of the last `tick_s` seconds into the classes' rates.
    pub(crate) fn update_arrival_rates(&mut self, tick_s: f64) {
        for class in &mut self.classes {
            let latest = class.arrivals / tick_s;
            class.arrival_rate += (latest - class.arrival_rate) * tick_s / ARRIVAL_RATE_SPAN_S;
            class.arrivals = 0.0;
        }
    }

    /// Lets the lateness of a tick's time be forgotten.
    fn ease_lateness(&mut self, mean_load: f64) {
        let speed = if mean_load < SPARE_CAPACITY_LOAD { FAST_EASING } else { 1.0 };
        let eased = speed * TOLERATED_LATE_FRACTION * TICK_US as f64 / 1e6;
        for class in &mut self.classes {
            class.lateness = (class.lateness - eased).max(0.0);
        }
    }

    /// The most lateness of the classes that may use the same zones and kinds as a class.
    fn lateness_of_peers(&self, class: &Class, classes: &[Class]) -> f64 {
        let is_peer =
            |other: &Class| other.only_kinds == class.only_kinds && other.only_zones == class.only_zones;
        let peers = classes.iter().zip(&self.classes).filter(|(other, _)| is_peer(other));
        peers.map(|(_, peer)| peer.lateness).fold(0.0, f64::max)
    }

    /// Works out the pressure of each class.
    fn update(&mut self, classes: &[Class], pools: &BTreeMap<u64, PoolLoad>, lateness_weight: f64) {
        for id in 0..classes.len() {
            let by_lateness = self.lateness_of_peers(&classes[id], classes) * lateness_weight;
            let open = pools.iter().filter(|(pool, _)| is_open_to(**pool, id));
            let by_load = open.map(|(_, load)| load.saturation).reduce(f64::min).unwrap_or(0.0);
            self.classes[id].pressure = by_load.max(by_lateness).clamp(0.0, MAX_PRESSURE);
        }
        self.highest = self.classes.iter().map(|class| class.pressure).fold(0.0, f64::max);
    }

    /// The most lateness of any class.
    fn most_lateness(&self) -> f64 {
        self.classes.iter().map(|class| class.lateness).fold(0.0, f64::max)
    }
}

impl Balancer {
    /// Updates the pressure; `counts_requests` is whether executors report the requests they hold.
    pub(super) fn update_pressure(&mut self, counts_requests: bool) {
        let before = self.pressure.highest;
        let lateness_weight = if counts_requests { LATENESS_WEIGHT_WITH_REPORTS } else { 1.0 };
        self.pressure.ease_lateness(self.load.mean_load);
        self.pressure.update(&self.settings.classes, &self.load.pools, lateness_weight);
        if (before > LOGGED_PRESSURE) != (self.pressure.highest > LOGGED_PRESSURE) {
            self.log_pressure();
        }
    }

    fn log_pressure(&mut self) {
        let (pressure, lateness) = (self.pressure.highest, self.pressure.most_lateness());
        let (load, share) = (self.load.mean_load, self.load.traffic_share);
        self.log(format!(
            "pressure {pressure:.1}: {load:.1} threads a core, late {lateness:.2}, share {share:.4}"
        ));
    }

    /// Counts a late request, unless it is late because this process itself stood still.
    pub(in crate::balancer) fn record_late(&mut self, class: ClassId) {
        if self.now != self.resumed_at {
            self.pressure.record_late(class);
        }
    }
}
