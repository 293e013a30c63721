//! Load of executors, and from it and lateness the pressure by which rules close.

use super::*;

impl Balancer {
    /// Threads that an executor holds by its report: what it runs, else what the memory it granted stands
    /// for.
    fn reported_threads(&self, e: &Executor) -> Option<f64> {
        let (threads, r) = (self.mean_threads(), &e.report);
        let (util, inflight) = (r.util.map(|u| u * e.cores), r.inflight.map(|n| n * threads));
        let by_memory = || {
            r.memory.filter(|_| self.mb_per_thread.value > 0.0).map(|m| m / self.estimated_memory_use(e, 1.0))
        };
        let told = util.map_or(inflight, |u| Some(u.max(inflight.unwrap_or(0.0)))).or_else(by_memory);
        told.or(e.latency_ratio.map(|p| p.exp() * e.cores))
    }

    /// Where reports tell nothing, own requests' pace stands in. Logarithms, as estimates scatter by factors.
    pub(super) fn record_latency_ratio(&mut self, i: usize, times: f64) {
        if self.reports_tell_load != Some(false) {
            return;
        }
        let (now, e, x) = (self.now, &mut self.executors[i], times.clamp(1.0 / PACE_MOST, PACE_MOST).ln());
        e.latency_ratio = Some(e.latency_ratio.map_or(x, |p| p + (x - p) * PACE_WEIGHT));
        e.report_received_at = now;
    }

    /// Load of an executor, threads a core: the report plus own threads sent since, else own threads.
    pub(super) fn executor_load(&self, e: &Executor) -> f64 {
        let threads = self.mean_threads();
        let Some(reported) = self.reported_threads(e) else {
            return self.mean_pool_load(e).max(e.in_flight_threads / e.cores);
        };
        let queued = e.report.queue.unwrap_or(0.0) * threads;
        let since = e.in_flight_threads - e.in_flight_threads_at_report;
        let confidence = self.confidence(e, REPORT_AGE_S);
        let held = (reported + queued + since).max(e.in_flight_threads) * confidence
            + self.mean_pool_load(e) * e.cores * (1.0 - confidence);
        let scarce =
            e.report.memory.unwrap_or(self.estimated_memory_use(e, held)).max(e.report.disks.unwrap_or(0.0));
        held / e.cores + SCARCE_WEIGHT * (scarce.min(1.5) - SCARCE_FROM).max(0.0)
    }

    /// Threads a core that executors of its pool hold, as far as they were heard; a cold one by what it can
    /// do.
    fn mean_pool_load(&self, e: &Executor) -> f64 {
        self.pools.get(&e.pool).map_or(self.mean_load, |p| p.per_core(p.in_flight_threads))
            * self.capacity_fraction(e)
    }

    /// Threads of a request in flight, as own ones had lately; before that, as if classes held equal threads.
    fn mean_threads(&self) -> f64 {
        let inverse: f64 = self.settings.classes.iter().map(|c| 1.0 / f64::from(c.threads)).sum();
        let guess = self.settings.classes.len() as f64 / inverse;
        (self.mean_in_flight_threads + MIX_PRIOR * guess) / (self.mean_in_flight_requests + MIX_PRIOR)
    }

    /// Pressure from occupancy and lateness, by the executors a class may use; this dispatcher's share of it.
    pub(super) fn update_pressure(&mut self) {
        let (mut saturated, mut told, mut fleet, mut own, mut all) = (false, false, 0.0, 0.0, 0.0);
        let mute = self.reports_tell_load == Some(false);
        self.update_in_flight_means(LEARN);
        let mut pools = std::collections::BTreeMap::<u64, Pool>::new();
        // A dispatcher hears of few executors at a time: what is known of those stands for all, by age.
        let listed = self.executor_index.active.iter().map(|i| &self.executors[*i]).filter(|e| e.listed());
        let ejected: f64 = listed.clone().filter(|e| e.health.ejected_until.is_some()).map(|e| e.cores).sum();
        fleet += self.executor_index.cores(&self.settings.kinds, |_| true) - ejected;
        self.count_examined(self.executor_index.active.len());
        for e in listed.filter(|e| e.health.ejected_until.is_none()) {
            own += e.in_flight_threads;
            let Some(r) = self.reported_threads(e) else { continue };
            let (now, confidence) = (
                e.in_flight_threads + (r - e.in_flight_threads_at_report).max(0.0),
                self.confidence(e, PRESSURE_AGE_S),
            );
            let memory = e.report.memory.unwrap_or(self.estimated_memory_use(e, now));
            let held = if mute { e.latency_ratio.unwrap_or(0.0) * e.cores } else { now };
            pools.entry(e.pool).or_default().add(e, confidence, held, memory);
            all += e.cores * confidence;
            told |= e.report.inflight.is_some();
            saturated |= e.report.inflight.is_none() && r > 0.85 * e.cores && confidence > 0.3;
        }
        // Little heard of late stands for one thread a core, no more.
        let of_pace = |p: &mut Pool| {
            p.in_flight_threads = (p.in_flight_threads / (p.cores + PACE_PRIOR * fleet)).exp() * p.cores
        };
        pools.values_mut().filter(|_| mute).for_each(of_pace);
        let listed_now = self.executor_index.listed().max(1) as f64;
        let unheard = UNHEARD * fleet / listed_now * (1.0 - all / fleet.max(1.0));
        pools.values_mut().filter(|_| !mute).for_each(|p| p.cores += unheard);
        self.mean_load = pools.values().map(|p| p.in_flight_threads).sum::<f64>() / all.max(1.0);
        if self.mean_load > 0.05 && !saturated && self.reports_tell_load == Some(true) {
            let part = (own / (self.mean_load * fleet)).min(1.0);
            self.traffic_share += (part - self.traffic_share) * SHARE_WEIGHT;
        }
        let over = |x: f64, [from, to]: [f64; 2]| (x - from) / (to - from);
        let line = if self.settings.memory_shortage == MemoryShortage::Queue {
            MEMORY_LINE
        } else {
            MEMORY_OCCUPANCY
        };
        let ease = if self.mean_load < ROOM { 4.0 } else { 1.0 } * LATE_TARGET * TICK_US as f64 / 1e6;
        for p in pools.values_mut() {
            let short =
                if self.settings.memory_grants && !mute { over(p.per_core(p.memory), line) } else { 0.0 };
            let saturation =
                over(p.per_core(p.in_flight_threads), if mute { PACE_OCCUPANCY } else { OCCUPANCY });
            p.saturation = saturation.max(short).max(over(p.per_core(p.disks), DISKS));
        }
        self.pools = pools;
        self.class_models.iter_mut().for_each(|m| m.lateness = (m.lateness - ease).max(0.0));
        let before = self.pressure;
        for class in 0..self.class_models.len() {
            let c = &self.settings.classes[class];
            let alike = |d: &Class| d.only_kinds == c.only_kinds && d.only_zones == c.only_zones;
            let late = self
                .settings
                .classes
                .iter()
                .zip(&self.class_models)
                .filter(|(d, _)| alike(d))
                .map(|(_, m)| m.lateness);
            let late = late.fold(0.0, f64::max) * if told { LATE_MOST } else { 1.0 };
            let open = self.pools.iter().filter(|(pool, _)| **pool >> class & 1 == 1);
            let saturation = open.map(|(_, p)| p.saturation).reduce(f64::min).unwrap_or(0.0);
            self.class_models[class].pressure = saturation.max(late).clamp(0.0, PRESSURE_MOST);
        }
        self.pressure = self.class_models.iter().map(|m| m.pressure).fold(0.0, f64::max);
        if (before > 0.5) != (self.pressure > 0.5) {
            let (p, s, o) = (self.pressure, self.traffic_share, self.mean_load);
            let late = self.class_models.iter().map(|m| m.lateness).fold(0.0, f64::max);
            self.log(format!("pressure {p:.1}: {o:.1} threads a core, late {late:.2}, share {s:.4}"));
        }
    }

    /// Executors open to the same classes are a pool: a class has room where one of its pools has.
    pub(super) fn pool_of(&self, e: &Executor) -> u64 {
        (0..self.settings.classes.len()).filter(|&c| self.placement_allows(c, e)).map(|c| 1 << c).sum()
    }

    pub(super) fn record_late(&mut self, class: ClassId) {
        // Late by its own standing still.
        let (m, own) = (&mut self.class_models[class], self.now == self.resumed_at);
        m.lateness = (m.lateness + if own { 0.0 } else { 1.0 / (m.arrival_rate + LATE_PRIOR) }).min(1.0);
    }
}
