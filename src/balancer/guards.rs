//! Guards: what the platform's own rules forbid, whatever the draw would like.

use super::*;

impl Balancer {
    /// Placement: zone and kind, at every attempt.
    pub(super) fn placed(&self, class: ClassId, e: &Executor) -> bool {
        e.within(&self.settings.classes[class].only_zones, &self.settings.classes[class].only_kinds)
    }

    /// Whether the rules let an attempt of the request go to the executor now.
    pub(super) fn permitted(&self, q: &Request, i: usize) -> bool {
        let e = &self.executors[i];
        // Drains: nothing from the moment the list tells of it, well inside the grace.
        let placed = e.within(&q.only_zones, &q.only_kinds);
        e.listed() && placed && self.effect_allows(q, e) && self.cold_allows(q, e)
    }

    /// Effects: unsafe only after proven non-runs; keyed inside its group and window.
    fn effect_allows(&self, q: &Request, e: &Executor) -> bool {
        match self.settings.classes[q.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => q.never_ran(),
            Idempotency::IdempotencyKey { scope, window } => {
                let ran = |a: &&Attempt| !a.outcome.is_some_and(Outcome::never_ran);
                let holds = |a: &Attempt| scope.holds(&self.executors[a.executor].endpoint, &e.endpoint);
                q.attempts.iter().filter(ran).all(|a| self.now < a.sent + window && holds(a))
            }
        }
    }

    /// What a request counts as at a cold executor: estimates are rough.
    fn cold_work(&self, q: &Request) -> f64 {
        q.cost.max(COLD_LEAST * self.class_mean(q.class))
    }

    /// Cold executors take no request that would be a large part of their budget alone.
    fn cold_allows(&self, q: &Request, e: &Executor) -> bool {
        let most = |(rate, _)| COLD_LARGEST * rate * self.settings.cold.fall as f64 / 1e6;
        self.cold_rate(e).is_none_or(|rates| self.cold_work(q) <= most(rates))
    }

    /// Lots for a place at a cold executor: the chance is what this dispatcher's share of the least budget
    /// has
    /// come to, over the request's work; what is staked is spent: all send what is meant in the mean. Each
    /// stays within its share, and stakes no more in a window than two bring at all cold executors.
    pub(super) fn wins(&mut self, id: RequestId, i: usize) -> bool {
        let Some((_, own)) = self.cold_rate(&self.executors[i]) else { return true };
        let (work, span, lot) =
            (self.cold_work(&self.requests[&id]), self.settings.cold.fall as f64 / 1e6, self.chance());
        let all = self.cold_rates();
        // Its own share is that of the first moment, and a request counts as its class's mean: no luck there.
        let first = own * self.settings.cold.from / self.warmth(&self.executors[i]).max(1e-9);
        let whole = work.max(self.class_mean(self.requests[&id].class));
        let (now, e, most) = (self.now, &mut self.executors[i], own * span);
        e.cold.fill(now, first, first * span);
        e.lots.fill(now, own, self.overall.value.clamp(most, most * COLD_SAVED));
        self.stakes.fill(now, all, all * span);
        let staked = e.lots.level.min(work).min(self.stakes.level);
        e.lots.level -= staked;
        self.stakes.level -= staked;
        let won = lot * work < staked && e.cold.level >= whole.min(first * span);
        e.cold.level = (e.cold.level - if won { whole } else { 0.0 }).max(0.0);
        won
    }

    /// Work a second to a cold executor by all, and by this one: at most an equal part, shares are misjudged.
    pub(super) fn cold_rate(&self, e: &Executor) -> Option<(f64, f64)> {
        let (c, most) = (&self.settings.cold, 1.0 / f64::from(self.settings.dispatchers));
        let cold = c.fall > 0 && e.cold_since.is_some_and(|t| self.now < t + c.ramp);
        let rate = COLD_SAFETY * c.multiple * self.warmth(e) * e.cores;
        cold.then_some((rate, rate * self.share.min(most)))
    }

    /// Work a second that all cold executors may get from here: the sum of what `cold_rate` has for each.
    fn cold_rates(&self) -> f64 {
        let (c, most) = (&self.settings.cold, 1.0 / f64::from(self.settings.dispatchers));
        let (cores, aged) = self.roster.cold_cores(&self.settings.kinds, self.now);
        let ramp_s = c.ramp.max(1) as f64 / 1e6;
        let warm_cores = c.from * cores + (1.0 - c.from) * aged / ramp_s;
        COLD_SAFETY * c.multiple * warm_cores * self.share.min(most)
    }

    /// Executors whose ramp is over are cold no longer.
    pub(super) fn warm_up(&mut self) {
        while let Some(i) = self.roster.started_by(self.now.saturating_sub(self.settings.cold.ramp)) {
            self.place(i);
        }
    }

    /// The attempt budget, counted as the rule does, with the present one included.
    pub(super) fn budget_allows(&mut self) -> bool {
        let b = self.settings.budget.unwrap_or(OWN_BUDGET);
        // Sends on the window's edge count, requests on it do not; sends may arrive later than decided.
        self.further.retain(|t| t + b.span + b.slack >= self.now);
        self.taken.retain(|t| t + b.span > self.now + b.slack);
        (self.further.len() + 1) as f64 <= b.free + b.ratio * self.taken.len() as f64
    }

    /// Order: first in line for its key, which has rested.
    pub(super) fn has_turn(&self, id: RequestId) -> bool {
        let q = &self.requests[&id];
        let Some(line) = q.key.map(|k| &self.keys[&k]) else { return true };
        line.waiting.front() == Some(&id) && (!q.attempts.is_empty() || self.now >= line.rest_until)
    }
}
