//! Guards: what the platform's own rules forbid, whatever the draw would like.

use super::*;

impl Balancer {
    /// Placement: zone and kind, at every attempt.
    pub(super) fn placement_allows(&self, class: ClassId, e: &Executor) -> bool {
        e.is_within(&self.settings.classes[class].only_zones, &self.settings.classes[class].only_kinds)
    }

    /// Whether the rules let an attempt of the request go to the executor now.
    pub(super) fn permitted(&self, q: &Request, i: usize) -> bool {
        let e = &self.executors[i];
        // Drains: nothing from the moment the list tells of it, well inside the grace.
        let placed = e.is_within(&q.only_zones, &q.only_kinds);
        e.listed() && placed && self.idempotency_allows(q, e) && self.slow_start_allows(q, e)
    }

    /// Effects: unsafe only after proven non-runs; keyed inside its group and window.
    fn idempotency_allows(&self, q: &Request, e: &Executor) -> bool {
        match self.settings.classes[q.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => q.never_ran(),
            Idempotency::IdempotencyKey { scope, window } => {
                let ran = |a: &&Attempt| !a.outcome.is_some_and(Outcome::never_ran);
                let holds = |a: &Attempt| scope.holds(&self.executors[a.executor].endpoint, &e.endpoint);
                q.attempts.iter().filter(ran).all(|a| self.now < a.sent_at + window && holds(a))
            }
        }
    }

    /// What a request counts as at a cold executor: estimates are rough.
    fn slow_start_work(&self, q: &Request) -> f64 {
        q.cost.max(SLOW_START_LEAST_MEAN_FRACTION * self.class_mean(q.class))
    }

    /// Cold executors take no request that would be a large part of their budget alone.
    fn slow_start_allows(&self, q: &Request, e: &Executor) -> bool {
        let most = |(rate, _)| {
            SLOW_START_LARGEST_FRACTION * rate * self.settings.slow_start.overload_window as f64 / 1e6
        };
        self.warming_rate(e).is_none_or(|rates| self.slow_start_work(q) <= most(rates))
    }

    /// Lots for a place at a cold executor: the chance is what this dispatcher's share of the least budget
    /// has
    /// come to, over the request's work; what is staked is spent: all send what is meant in the mean. Each
    /// stays within its share, and spends no more in a window than two bring at all cold executors.
    pub(super) fn admit_to_warming(&mut self, id: RequestId, i: usize) -> bool {
        let Some((_, own)) = self.warming_rate(&self.executors[i]) else { return true };
        let (work, span, lot) = (
            self.slow_start_work(&self.requests[&id]),
            self.settings.slow_start.overload_window as f64 / 1e6,
            self.chance(),
        );
        let all = self.warming_rates();
        // Its own share is that of the first moment, and a request counts as its class's mean: no luck there.
        let first = own * self.settings.slow_start.initial_fraction
            / self.capacity_fraction(&self.executors[i]).max(1e-9);
        let whole = work.max(self.class_mean(self.requests[&id].class));
        let (now, e, most) = (self.now, &mut self.executors[i], own * span);
        e.own_budget.fill(now, first, first * span);
        e.admission_tokens.fill(now, own, self.overall.value.clamp(most, most * SLOW_START_SAVED_WINDOWS));
        self.slow_start_tokens.fill(now, all, all * span);
        let staked = e.admission_tokens.level.min(work).min(self.slow_start_tokens.level);
        e.admission_tokens.level -= staked;
        self.slow_start_tokens.level -= staked;
        let won = lot * work < staked && e.own_budget.level >= whole.min(first * span);
        e.own_budget.level = (e.own_budget.level - if won { whole } else { 0.0 }).max(0.0);
        won
    }

    /// Work a second to a cold executor by all, and by this one: at most an equal part, shares are misjudged.
    pub(super) fn warming_rate(&self, e: &Executor) -> Option<(f64, f64)> {
        let (c, most) = (&self.settings.slow_start, 1.0 / f64::from(self.settings.dispatchers));
        let cold = c.overload_window > 0 && e.warming_since.is_some_and(|t| self.now < t + c.ramp);
        let rate = SLOW_START_UTILIZATION * c.overload_factor * self.capacity_fraction(e) * e.cores;
        cold.then_some((rate, rate * self.share.min(most)))
    }

    /// Work a second that all cold executors may get from here: the sum of what `warming_rate` has for each.
    fn warming_rates(&self) -> f64 {
        let (c, most) = (&self.settings.slow_start, 1.0 / f64::from(self.settings.dispatchers));
        let (cores, aged) = self.executor_index.warming_cores(&self.settings.kinds, self.now);
        let ramp_s = c.ramp.max(1) as f64 / 1e6;
        let warm_cores = c.initial_fraction * cores + (1.0 - c.initial_fraction) * aged / ramp_s;
        SLOW_START_UTILIZATION * c.overload_factor * warm_cores * self.share.min(most)
    }

    /// Executors whose ramp is over are cold no longer.
    pub(super) fn finish_slow_starts(&mut self) {
        while let Some(i) =
            self.executor_index.started_by(self.now.saturating_sub(self.settings.slow_start.ramp))
        {
            self.update_index(i);
        }
    }
}
