//! Attempts: their priority and grant, bad plans, outcomes, and the one place that sends them.

use super::*;

impl Balancer {
    /// Priority by predicted cost against the mean of all requests, raised as the aim comes near.
    fn priority(&self, q: &Request) -> u8 {
        // What would be lost with this dispatcher, as nobody may run it again, goes first.
        let last =
            self.ends < Micros::MAX && self.s.classes[q.class].idempotency == Idempotency::NotIdempotent;
        if last || self.now > q.latency_objective {
            return if last { 3 } else { 0 };
        }
        // One that others of its key wait behind is urgent for them all.
        let behind = q.key.and_then(|k| self.keys.get(&k)).map_or(1, |line| line.waiting.len().max(1));
        let multiple = q.cost / behind as f64 / self.overall.or(q.cost).max(1e-9);
        let base = [4.0, 1.5, 0.5].iter().filter(|t| multiple < **t).count() as u8;
        let urgent = (self.now - q.arrived) * 2 > q.latency_objective - q.arrived;
        (base + u8::from(urgent)).min(3)
    }

    fn grant(&self, q: &Request, e: &Executor) -> f64 {
        let m = &self.models[q.class]; // where grants are not heeded, this does nothing
        let memory = self.s.kinds[e.endpoint.kind].memory_mb * self.s.max_grant_fraction;
        let need = q.memory_estimate.map_or(m.memory.or(0.0), |x| x * m.memory_bias.clamp(-1.5, 1.5).exp());
        need.min(if memory > 0.0 { memory } else { need })
    }

    /// A further attempt beside one that is silent, or in place of one with a bad plan.
    pub(super) fn resend(&mut self, id: RequestId, n: u32, instead: bool) {
        let q = &self.requests[&id];
        let may_stop = self.s.cancel && self.s.classes[q.class].idempotency == Idempotency::Idempotent;
        if q.live() != [n] || q.done || q.streaming || (instead && !may_stop) {
            return;
        }
        // Where copies are not allowed the next attempt goes out when the cancel is confirmed.
        if (self.send(id, false) || !self.s.hedging) && instead {
            self.cancel(id, n);
        }
    }

    /// The attempts that are looked at in a tick: all that are out, or a bounded number, beginning where
    /// the tick before ended.
    fn attempts_to_check(&mut self) -> Vec<(RequestId, u32)> {
        let active =
            self.executor_index.active.iter().flat_map(|i| self.executors[*i].attempts_in_flight.iter());
        let mut all: Vec<(RequestId, u32)> = active.copied().collect();
        if all.len() > CHECKED {
            let begin = self.attempts_checked % all.len();
            all.rotate_left(begin);
            all.truncate(CHECKED);
            self.attempts_checked = begin + CHECKED;
        }
        all
    }

    /// Bad plans, priorities and requests past their aim, for what is out.
    pub(super) fn check_attempts(&mut self) {
        for (id, n) in self.attempts_to_check() {
            let Some(q) = self.requests.get(&id).filter(|q| !q.done && !q.streaming) else { continue };
            let (class, past) = (q.class, self.now > q.latency_objective);
            if past && !q.late {
                self.request(id).late = true;
                self.count_late(class);
            }
            let harmless = self.s.classes[class].idempotency == Idempotency::Idempotent;
            if past && self.models[class].pressure > GIVE_UP_PRESSURE && harmless {
                self.end(id, SECOND, EndReason::Overloaded);
                continue;
            }
            let (q, p) = (&self.requests[&id], self.priority(&self.requests[&id]));
            let (a, expected) = (&q.attempts[n as usize], self.expected(q).max(0.05));
            let seconds = |t: Micros| (t - a.sent) as f64 / 1e6;
            // What the whole attempt will take: by its notes, else what it took so far.
            let looks = match self.s.progress {
                Some(_) if a.progress < 0.5 => seconds(a.noted) / a.progress.max(0.01),
                Some(_) => 0.0,
                None => seconds(self.now),
            };
            let in_time = self.now + (expected * 1e6) as Micros <= q.deadline;
            let mute = a.mute(self.now, self.s.progress, SILENT_FACTOR, SILENT_LEAST);
            let again = in_time && (mute || looks > RUNAWAY * q.attempts.len() as f64 * expected);
            if self.s.priorities && p != q.priority {
                self.actions.push(Action::SetTerms { request: id, memory_mb: q.grant, priority: p });
                self.request(id).priority = p;
            }
            if again {
                self.resend(id, n, true);
            }
        }
    }

    pub(super) fn noted(&mut self, id: RequestId, n: u32, progress_note: AttemptProgress) {
        let now = self.now;
        let Some(q) = self.requests.get_mut(&id) else { return };
        let Some(a) = Attempt::word(&mut q.attempts, n, now) else { return };
        self.executors[a.executor].record_message(now, GAP_WEIGHT);
        match progress_note {
            AttemptProgress::Progress(p) if p.is_finite() => {
                let (i, seconds) = a.progressed(now, p.clamp(0.001, 1.0));
                let cost = q.cost.max(1e-6) / f64::from(self.s.classes[q.class].threads);
                self.paced(i, seconds / cost);
            }
            AttemptProgress::Spill(missing) if !a.spilled && missing.is_finite() => {
                a.spilled = true;
                if let Some(e) = q.memory_estimate {
                    let m = &mut self.models[q.class];
                    let needed = ((a.grant + missing).max(1.0) / e.max(1.0)).ln();
                    m.memory_bias += SPILL_WEIGHT * (needed - m.memory_bias).max(0.0);
                }
            }
            AttemptProgress::Progress(_) | AttemptProgress::Spill(_) | AttemptProgress::Waits => {}
        }
    }

    pub(super) fn finished(&mut self, f: AttemptFinished) {
        let (id, n, outcome) = (f.request, f.attempt, f.outcome);
        self.reported(f.executor, f.report);
        let Some(i) = self.settle(id, n, outcome) else { return };
        let key = self.requests[&id].key;
        if let (Some(key), Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) = (key, outcome) {
            self.rest_key(key);
        }
        self.judge(i, outcome);
        if outcome == Outcome::Ok {
            self.learn(id, n as usize, f.latency, f.reported_cost);
            self.blame(id);
            let q = &self.requests[&id];
            if self.now > q.latency_objective && !q.late && !q.done {
                self.count_late(q.class);
            }
        }
        if f.done {
            return self.close(id);
        }
        let q = &self.requests[&id];
        let open = !q.done && !q.streaming && q.out() == 0;
        if open && !self.send(id, false) {
            self.end(id, SECOND, EndReason::NoFurtherAttempt);
        }
        self.forget(id);
    }

    /// The one place that sends attempts. Every guard of a rule is checked in `permitted` and here.
    pub(super) fn send(&mut self, id: RequestId, ask: bool) -> bool {
        let q = &self.requests[&id];
        let further = !q.attempts.is_empty();
        let over = q.done || q.streaming || self.now >= q.deadline;
        let most = q.attempts.len() >= q.most_attempts as usize;
        let copy = q.out() > 0 && !self.s.hedging;
        if over || most || copy || !self.has_turn(id) || (further && !self.budget_allows()) {
            return false;
        }
        let Some((i, q)) = self.draw_executor(id, ask).map(|i| (i, &self.requests[&id])) else {
            return false;
        };
        let (grant, priority) = (self.grant(q, &self.executors[i]), self.priority(q));
        let terms = Action::SetTerms { request: id, memory_mb: grant, priority };
        self.actions.extend((self.s.grants || self.s.priorities).then_some(terms));
        self.further.extend(further.then_some(self.now));
        self.record(id, i, grant, priority);
        let executor = self.executors[i].endpoint.executor;
        self.actions.push(Action::Send { request: id, executor, timeout: None });
        true
    }
}
