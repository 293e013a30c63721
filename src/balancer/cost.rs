//! The cost model: what a request is predicted to cost, and what its outcome teaches.

use super::*;

impl Balancer {
    pub(super) fn class_mean(&self, class: ClassId) -> f64 {
        let (m, c) = (&self.class_models[class], &self.settings.classes[class]);
        let latency_objective = c.latency_objective as f64 / 1e6 * f64::from(c.threads);
        if m.cost.count >= ENOUGH { m.cost.value } else { m.estimate.value_or(latency_objective) }
    }

    /// Thread-seconds: the told estimate, corrected; else the cache's mean; else the class's.
    pub(super) fn predict_cost(&mut self, a: &Arrival) -> f64 {
        let m = &self.class_models[a.class];
        let bias = m.observed_mean.value_or(1.0) / m.estimate_mean.value_or(1.0).max(1e-9);
        if let Some(e) = a.estimated_thread_seconds {
            return e * bias;
        }
        self.cache
            .get(&(a.class, a.table_group))
            .copied()
            .map_or_else(|| self.class_mean(a.class), |m| m.value)
    }

    pub(super) fn learn_cost(
        &mut self,
        id: RequestId,
        attempt: usize,
        latency: Micros,
        reported_cost: Option<ReportedCost>,
    ) {
        let q = &self.requests[&id];
        let threads = f64::from(self.settings.classes[q.class].threads);
        let spent = latency as f64 / 1e6 * threads;
        let cost = reported_cost.map_or(spent.min(OUTLIER * q.predicted_cost), |b| b.thread_seconds);
        let m = &mut self.class_models[q.class];
        m.cost.add(cost, LEARN);
        m.latency_ratio.add((spent / q.predicted_cost.max(1e-6)).min(10.0), LEARN * 2.0);
        q.estimated_cost
            .into_iter()
            .for_each(|e| m.compare(e, cost.min(20.0 * q.predicted_cost), TRUSTED, LEARN));
        let a = &q.attempts[attempt];
        reported_cost.into_iter().for_each(|b| m.memory_mb.add(b.memory_mb, LEARN));
        // Without notes or told needs nothing is learned: a grant that fell with each answer spilled unseen.
        if let Some(e) = q
            .estimated_memory_mb
            .filter(|_| reported_cost.is_some() || self.settings.progress_interval.is_some())
        {
            // A spill was learned when the note came; a told need moves the first few grants far.
            let first = reported_cost.map_or(0.0, |_| 1.0 / f64::from(m.memory_mb.count + 1));
            let short = reported_cost.is_some_and(|b| b.memory_mb > e * m.memory_bias.exp());
            let way = if short { GRANT_QUANTILE } else { GRANT_QUANTILE - 1.0 };
            m.memory_bias += if short || !a.spilled { GRANT_STEP.max(first) * way } else { 0.0 };
        }
        let (i, times, pace) =
            (a.executor, spent / q.predicted_cost.max(1e-6), m.latency_ratio.value.max(1e-6));
        self.executors[i].relative_latency.add((times / pace).clamp(0.1, 10.0), SPEED_WEIGHT);
        self.cache.get_or_insert_mut((q.class, q.table_group), Mean::default).add(cost, CACHE_WEIGHT);
        self.record_latency_ratio(i, times);
    }
}
