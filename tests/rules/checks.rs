//! Checks of each action against the rules.

use super::{Stream, WORK};
use ottercroft::api::*;

impl Stream {
    pub(super) fn end(&mut self, request: RequestId) {
        let o = self.open.get_mut(&request).expect("a final answer for a known request");
        if !o.done {
            o.finals += 1;
            o.done = true;
            self.finals += 1;
            o.ended_at = self.now;
        }
    }

    pub(super) fn check(&mut self, a: Action) {
        let now = self.now;
        match a {
            Action::SetTimer { token, after } => self.timers.push((now + after, token)),
            Action::Send { request, executor, .. } => self.check_send(request, executor),
            Action::Reject { request, retry_after, .. } => {
                assert!(
                    retry_after.is_none() || self.s.max_retry_after.is_some(),
                    "retry_after is set although the settings have no max_retry_after"
                );
                let o = &self.open[&request];
                let never = o.attempts.iter().all(|a| a.2.is_some_and(Outcome::never_ran));
                match self.s.classes[o.class].idempotency {
                    Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. } => {}
                    _ => assert!(never, "rejected a request that may have run"),
                }
                self.end(request);
            }
            Action::Fail { request, .. } => self.end(request),
            Action::Cancel { request, attempt } => {
                assert!(self.s.cancellation, "cancelled although the settings forbid it");
                assert!(
                    (attempt as usize) < self.open[&request].attempts.len(),
                    "cancelled an attempt that was never sent"
                );
            }
            Action::SetTerms { priority, .. } => assert!(priority <= 3),
            _ => {}
        }
    }

    fn check_send(&mut self, request: RequestId, executor: ExecutorId) {
        let now = self.now;
        self.sends += 1;
        let o = &self.open[&request];
        let c = &self.s.classes[o.class];
        let e = &self.list[&executor];
        assert!(!o.done, "sent after the final answer");
        assert!(now < o.deadline, "sent after the deadline");
        if let Some(known_draining) = self.known_draining.get(&executor) {
            assert!(now <= known_draining + self.s.drain_grace, "sent to a draining or gone executor");
        }
        assert!(c.only_zones.as_ref().is_none_or(|z| z.contains(&e.zone)), "wrong zone");
        assert!(c.only_kinds.as_ref().is_none_or(|k| k.contains(&e.kind)), "wrong kind");
        assert!(o.attempts.len() < self.s.max_attempts as usize);
        assert!(self.s.hedging || o.attempts.iter().all(|a| a.2.is_some()), "two attempts out at once");
        let may_have_run = |a: &&(ExecutorId, Micros, Option<Outcome>)| !a.2.is_some_and(Outcome::never_ran);
        match c.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::NotIdempotent => {
                assert!(o.attempts.iter().find(may_have_run).is_none(), "non-idempotent request repeated")
            }
            Idempotency::IdempotencyKey { window, .. } => {
                for a in o.attempts.iter().filter(may_have_run) {
                    assert_eq!(self.list[&a.0].cell, e.cell, "keyed repeat outside its cell");
                    assert!(now <= a.1 + window, "keyed repeat after its window");
                }
            }
        }
        if let Some(k) = o.key {
            for (id, other) in self.open.range(..request).filter(|(_, x)| x.key == Some(k)) {
                let over = other.done && other.attempts.iter().all(|a| a.2.is_some());
                assert!(over, "sent {request} while {id} of the same key is open");
            }
            if o.attempts.is_empty() {
                assert!(
                    self.quiet_until.get(&k).is_none_or(|t| now >= *t),
                    "sent during the quiet period of its key"
                );
            }
        }
        if !o.attempts.is_empty() {
            self.retry_sends += 1;
            self.retries.push(now);
            let b = self.s.retry_budget.unwrap();
            let sent = self.retries.iter().filter(|t| **t + b.window >= now).count() as f64;
            let arrivals = self.arrivals.iter().filter(|t| **t + b.window > now).count() as f64;
            assert!(sent <= b.base_retries + b.retries_per_request * arrivals + 1e-9, "retry budget broken");
        }
        let r = self.s.slow_start;
        if let Some(t) = self.cold.get(&executor).filter(|t| now < **t + r.ramp) {
            let _ = t;
            self.cold_count += 1;
            let sends = self.cold_sends.entry(executor).or_default();
            sends.push_back((now, WORK[o.class]));
            let work: f64 = sends.iter().filter(|(t, _)| t + r.overload_window > now).map(|(_, w)| w).sum();
            let budget = r.overload_factor
                * r.initial_fraction
                * self.s.kinds[e.kind].cores
                * 0.85
                * r.overload_window as f64
                / 1e6;
            assert!(
                work <= budget / f64::from(self.s.dispatchers),
                "cold executor overloaded: {work} of {budget}"
            );
        }
        self.open.get_mut(&request).unwrap().attempts.push((executor, now, None));
    }
}
