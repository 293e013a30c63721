//! The draw of an executor by weight, and the probes that come before it.

use super::*;

impl Balancer {
    fn distance(&self, e: &Executor) -> f64 {
        if e.endpoint.zone == self.settings.zone {
            1.0
        } else {
            1.0 + CROSS_WEIGHT * self.settings.cross_zone_price
        }
    }

    /// Executors of a table group, the same at all dispatchers by rendezvous hashing: homes, or its loads'
    /// homes.
    pub(super) fn preferred_executors(&self, class: ClassId, group: u64) -> Vec<ExecutorId> {
        let yields = self.settings.classes[class].yields_to_loads;
        let of = self.settings.classes.iter().position(|c| yields && c.loads).unwrap_or(class);
        let score = |e: &Executor| {
            let unit = hashed(group, e.endpoint.executor);
            (
                -unit.ln() / e.cores * self.distance(e) / self.reserved_capacity_factor(of, e),
                e.endpoint.executor,
            )
        };
        let near = self.affinity_candidates(of, group);
        self.count_examined(near.len());
        let mut all: Vec<_> = near.into_iter().map(|i| score(&self.executors[i])).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        let homes =
            if self.settings.classes[of].loads { PREFERRED_EXECUTORS_OF_LOADS } else { PREFERRED_EXECUTORS };
        all.into_iter().take(homes).map(|(_, e)| e).collect()
    }

    /// A class that may go anywhere leaves the executors of a bound class to it.
    fn reserved_capacity_factor(&self, class: ClassId, e: &Executor) -> f64 {
        let bound = |c: &Class| c.only_kinds.is_some() || c.only_zones.is_some();
        let mut all = self.settings.classes.iter().enumerate();
        let others =
            !bound(&self.settings.classes[class]) && all.any(|(i, c)| bound(c) && e.pool >> i & 1 == 1);
        if others { RESERVED_CAPACITY_WEIGHT } else { 1.0 }
    }

    fn weight(&self, q: &Request, e: &Executor) -> f64 {
        let capacity = e.cores * self.capacity_fraction(e) * e.endpoint.weight.unwrap_or(1.0);
        let load = self.load(e) * e.cores / capacity.max(1e-9);
        let c = &self.settings.classes[q.class];
        let home = match q.preferred_executors.contains(&e.endpoint.executor) {
            false => 1.0,
            true if c.yields_to_loads => 1.0 / LOAD_AFFINITY_WEIGHT, // its group may be held there
            true if c.loads => LOAD_AFFINITY_WEIGHT,
            true => (AFFINITY_WEIGHT * self.choices() as f64).max(1.0),
        };
        let new = if e.connected || self.capacity_fraction(e) < 1.0 {
            1.0
        } else {
            1.0 + HANDSHAKE_WEIGHT * self.settings.handshake_price
        };
        let slow = e.relative_latency.or(1.0).max(0.5) * self.distance(e) * new;
        let once = usize::from(c.idempotency == Idempotency::NotIdempotent);
        let untried = once == 1 && e.relative_latency.n == 0 && self.settings.reports == Reports::OnProbe;
        let sure =
            (1.0 - e.health.error_rate).powi(ERROR_POWERS[once]) * if untried { UNTRIED_WEIGHT } else { 1.0 };
        let w = capacity * home * self.reserved_capacity_factor(q.class, e)
            / (LOAD_FLOOR + load).powi(DRAW_POWER)
            / slow
            * sure;
        if self.healthy(e) { w } else { w * UNHEALTHY_WEIGHT }
    }

    /// Executors that no rule forbids and health allows, those not yet tried first.
    fn fit(&mut self, id: RequestId) -> Vec<usize> {
        let mut fit = Vec::new();
        for times in SAMPLE_FACTORS {
            let candidates = self.candidates(id, times);
            self.count_examined(candidates.len());
            let q = &self.requests[&id];
            let allowed: Vec<usize> = candidates.into_iter().filter(|&i| self.permitted(q, i)).collect();
            let cores = |v: &[usize]| v.iter().map(|&i| self.executors[i].cores).sum::<f64>();
            // What can't be tried again is no trial.
            let trial = self.settings.classes[q.class].idempotency != Idempotency::NotIdempotent;
            let healthy = |e: &Executor| self.healthy(e) && (trial || e.health.ejected_until.is_none());
            fit = allowed.iter().copied().filter(|&i| healthy(&self.executors[i])).collect();
            if !allowed.is_empty() && cores(&fit) >= LEAST_USABLE * cores(&allowed) {
                break;
            }
            fit = allowed;
            if self.executor_index.listed() <= SAMPLE_SIZE {
                break;
            }
        }
        let q = &self.requests[&id];
        let fresh = |i: &usize| q.attempts.iter().all(|a| a.executor != *i);
        if fit.iter().any(fresh) {
            fit.retain(fresh);
        }
        fit
    }

    fn weights(&self, id: RequestId, among: &[usize]) -> Vec<f64> {
        let q = &self.requests[&id];
        self.count_examined(among.len());
        among.iter().map(|&i| self.weight(q, &self.executors[i])).collect()
    }

    /// Draws an executor among those lately heard of. With `ask`, too few of them make it probe others first.
    pub(super) fn draw(&mut self, id: RequestId, ask: bool) -> Option<usize> {
        // A probe is worth its price only where reports tell of load.
        let tells = self.settings.reports != Reports::Off && self.tells_load != Some(false);
        let asks = tells && self.settings.probes && self.executors.len() > 1;
        // Cold executors go by admission_tokens, which no probe changes.
        let fit = self.fit(id).into_iter();
        let (cold, fit) = fit.partition::<Vec<_>, _>(|&i| self.warming_rate(&self.executors[i]).is_some());
        let lately = |i: &usize| !asks || self.now < self.executors[*i].report_received_at + REPORT_FRESHNESS;
        let (mut known, unknown) = fit.into_iter().partition::<Vec<_>, _>(lately);
        let q = &self.requests[&id];
        let asked = |e: &Executor| e.probe_sent.is_some_and(|t| self.now < t + SECOND);
        let seeks = !self.settings.classes[q.class].yields_to_loads;
        let home = |e: &Executor| q.preferred_executors.contains(&e.endpoint.executor);
        let wants = |i: &usize| seeks && home(&self.executors[*i]) || asked(&self.executors[*i]);
        let (mut wanted, mut unknown) = unknown.into_iter().partition::<Vec<_>, _>(wants);
        // Homes without room are no choice: else a few hot groups would never leave theirs.
        let full = |e: &Executor| home(e) && self.load(e) > ROOM;
        let choice = known.iter().filter(|&&i| !full(&self.executors[i])).count();
        if ask && wanted.len() + choice < CANDIDATES_WANTED {
            let mut weights = self.weights(id, &unknown);
            while wanted.len() + choice < CANDIDATES_WANTED {
                let Some(n) = weighted(&weights, self.chance()) else { break };
                weights.remove(n);
                wanted.push(unknown.remove(n));
            }
        }
        let dear = self.requests[&id].cost > self.overall.value;
        let kept = if dear {
            0.0
        } else {
            (PROBE_BUDGET_CAPACITY / 2.0 - PROBE_BUDGET_POINTS / self.settings.probe_price).max(0.0)
        };
        let mut waits = false;
        for &i in wanted.iter().filter(|_| ask) {
            let e = &mut self.executors[i];
            if e.probe_sent.is_none_or(|t| self.now >= t + SECOND) {
                if self.probe_budget < kept + 1.0 {
                    continue;
                }
                (self.probe_budget, e.probe_sent, e.connected) =
                    (self.probe_budget - 1.0, Some(self.now), true);
                self.executor_index.active.insert(i);
                self.actions.push(Action::Probe { executor: e.endpoint.executor });
            }
            waits = true;
        }
        if waits {
            let until = self.now + request_lifecycle::PROBE_WAIT_US;
            self.request_mut(id).probe_wait_until.get_or_insert(until);
            return None;
        }
        // With little known all are drawn from, unknown ones as loaded as their pool, last those probed.
        if choice < CANDIDATES_WANTED {
            let silent = |i: &usize| self.executors[*i].probe_sent.is_some();
            let (asked, rest): (Vec<usize>, Vec<usize>) = unknown.into_iter().chain(wanted).partition(silent);
            known.extend(rest);
            known = if known.is_empty() { asked } else { known };
        }
        known.extend(cold);
        let mut weights = self.weights(id, &known);
        while let Some(n) = weighted(&weights, self.chance()) {
            if self.admit_to_warming(id, known[n]) {
                return Some(known[n]);
            }
            known.remove(n);
            weights.remove(n);
        }
        None
    }
}
