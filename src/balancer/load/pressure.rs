//! Pressure: how far the admission rules of a class close, derived from executor load and late requests.
//!
//! At 0 all rules are open; an ordinary overload reaches about 1. The pressure of a class is the saturation
//! of the least saturated pool that is eligible for it, or the lateness of its requests if that is higher.

use super::{PoolLoad, SPARE_CAPACITY_LOAD, pool::is_pool_eligible};
use crate::api::{Class, ClassId};
use crate::balancer::TICK_US;
use crate::state::Balancer;
use std::collections::BTreeMap;

/// Maximum pressure, at which all tiers are closed.
const MAX_PRESSURE: f64 = 1.4;
/// Time constant of a class's arrival rate, in seconds.
const ARRIVAL_RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Fraction of late requests that is tolerated without pressure, because bad query plans always make some
/// late.
const TOLERATED_LATE_FRACTION: f64 = 0.2;
/// Factor by which lateness decays faster while executors have spare capacity.
const SPARE_CAPACITY_DECAY_FACTOR: f64 = 4.0;
/// Arrivals per second added to a class's own rate, so that a single late request has little effect.
const ARRIVAL_RATE_OFFSET: f64 = 1.0;
/// Weight of lateness if executors report their number of requests: lateness lags behind load and oscillates.
const LATENESS_WEIGHT_WITH_REPORTS: f64 = 0.5;
/// Pressure threshold; crossing it in either direction is logged.
const LOGGED_PRESSURE: f64 = 0.5;

/// The pressure of all classes.
#[derive(Debug)]
pub(crate) struct Pressure {
    classes: Vec<ClassPressure>,
    /// The highest pressure of any class.
    pub(crate) highest: f64,
}

/// The pressure of a class, and the lateness that contributes to it.
#[derive(Debug, Clone, Default)]
struct ClassPressure {
    /// Arrivals since the last tick.
    arrivals: f64,
    /// Arrivals per second.
    arrival_rate: f64,
    /// Fraction of late requests beyond what is tolerated, 0 to 1.
    lateness: f64,
    /// How far the rules of the class close, 0 to `MAX_PRESSURE`.
    pressure: f64,
}

impl Pressure {
    /// No pressure on any of `classes` classes.
    pub(crate) fn new(classes: usize) -> Pressure {
        Pressure { classes: vec![ClassPressure::default(); classes], highest: 0.0 }
    }

    /// The pressure of a class.
    pub(crate) fn of(&self, class: ClassId) -> f64 {
        self.classes[class].pressure
    }

    /// Counts an arrival of a class.
    pub(crate) fn record_arrival(&mut self, class: ClassId) {
        self.classes[class].arrivals += 1.0;
    }

    /// Counts a request of a class that missed its latency objective.
    fn record_late(&mut self, class: ClassId) {
        let class = &mut self.classes[class];
        class.lateness = (class.lateness + 1.0 / (class.arrival_rate + ARRIVAL_RATE_OFFSET)).min(1.0);
    }

    /// Updates the arrival rates with the arrivals of the last `tick_s` seconds.
    pub(crate) fn update_arrival_rates(&mut self, tick_s: f64) {
        for class in &mut self.classes {
            let latest = class.arrivals / tick_s;
            class.arrival_rate += (latest - class.arrival_rate) * tick_s / ARRIVAL_RATE_TIME_CONSTANT_S;
            class.arrivals = 0.0;
        }
    }

    /// Decays the lateness of all classes by one tick.
    fn decay_lateness(&mut self, mean_load: f64) {
        let factor = if mean_load < SPARE_CAPACITY_LOAD { SPARE_CAPACITY_DECAY_FACTOR } else { 1.0 };
        let decay = factor * TOLERATED_LATE_FRACTION * TICK_US as f64 / 1e6;
        for class in &mut self.classes {
            class.lateness = (class.lateness - decay).max(0.0);
        }
    }

    /// The highest lateness of the classes with the same allowed zones and kinds as `class`.
    fn lateness_of_peers(&self, class: &Class, classes: &[Class]) -> f64 {
        let is_peer =
            |other: &Class| other.only_kinds == class.only_kinds && other.only_zones == class.only_zones;
        let peers = classes.iter().zip(&self.classes).filter(|(other, _)| is_peer(other));
        peers.map(|(_, peer)| peer.lateness).fold(0.0, f64::max)
    }

    /// Computes the pressure of each class.
    fn update(&mut self, classes: &[Class], pools: &BTreeMap<u64, PoolLoad>, lateness_weight: f64) {
        for id in 0..classes.len() {
            let by_lateness = self.lateness_of_peers(&classes[id], classes) * lateness_weight;
            let eligible = pools.iter().filter(|(pool, _)| is_pool_eligible(**pool, id));
            let by_load = eligible.map(|(_, load)| load.saturation).reduce(f64::min).unwrap_or(0.0);
            self.classes[id].pressure = by_load.max(by_lateness).clamp(0.0, MAX_PRESSURE);
        }
        self.highest = self.classes.iter().map(|class| class.pressure).fold(0.0, f64::max);
    }

    /// The highest lateness of any class.
    fn max_lateness(&self) -> f64 {
        self.classes.iter().map(|class| class.lateness).fold(0.0, f64::max)
    }
}

impl Balancer {
    /// Updates the pressure; `counts_requests` states whether executors report their number of requests.
    pub(super) fn update_pressure(&mut self, counts_requests: bool) {
        let before = self.pressure.highest;
        let lateness_weight = if counts_requests { LATENESS_WEIGHT_WITH_REPORTS } else { 1.0 };
        self.pressure.decay_lateness(self.load.mean_load);
        self.pressure.update(&self.settings.classes, &self.load.pools, lateness_weight);
        if (before > LOGGED_PRESSURE) != (self.pressure.highest > LOGGED_PRESSURE) {
            self.log_pressure();
        }
    }

    fn log_pressure(&mut self) {
        let (pressure, lateness) = (self.pressure.highest, self.pressure.max_lateness());
        let (load, share) = (self.load.mean_load, self.load.traffic_share);
        self.log(format!(
            "pressure {pressure:.1}: {load:.1} threads per core, lateness {lateness:.2}, \
             traffic share {share:.4}"
        ));
    }

    /// Counts a late request, unless this process has just resumed from a stall, which may have made it late.
    pub(in crate::balancer) fn record_late(&mut self, class: ClassId) {
        if self.now != self.resumed_at {
            self.pressure.record_late(class);
        }
    }
}
