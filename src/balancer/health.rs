//! The executor list, ejections and silence.

use super::*;

impl Balancer {
    pub(super) fn list(&mut self, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        if kind == EndpointListKind::Unavailable {
            return self.actions.push(Action::Watch);
        }
        let first = !std::mem::replace(&mut self.loaded, true);
        if kind != EndpointListKind::Update {
            self.mark_absent_except(&endpoints);
        }
        for endpoint in endpoints {
            let known = self.index.get(&endpoint.executor).map(|&i| &self.executors[i]);
            // An executor that appears or comes back without a time of start is cold from now.
            let fresh = known.map_or(!first, |e| !e.present || e.endpoint.readiness == Readiness::Left);
            let changed = fresh || known.is_none_or(|e| e.endpoint.started != endpoint.started);
            let started = endpoint.started.filter(|t| self.now.saturating_sub(*t) < self.s.slow_start.ramp);
            let cold = started.or(fresh.then_some(self.now));
            let i = self.enter(endpoint, cold.filter(|_| changed));
            self.executors[i].pool = self.pool_of(&self.executors[i]);
            if kind == EndpointListKind::Update {
                self.update_index(i);
            }
        }
        if kind != EndpointListKind::Update {
            self.rebuild_index();
        }
    }

    /// Closed, or half-open with no trial out.
    pub(super) fn healthy(&self, e: &Executor) -> bool {
        let trial = |until: Micros| self.now >= until && e.attempts_in_flight.is_empty();
        e.rejecting_until <= self.now && e.ejected_until.is_none_or(trial)
    }

    fn eject(&mut self, i: usize, why: &str) {
        let e = &mut self.executors[i];
        if e.ejected_until.is_some_and(|t| t > self.now) {
            return;
        }
        let span = (EJECT[0] << e.ejections.min(5)).min(EJECT[1]);
        e.ejected_until = Some(self.now + span);
        e.ejections += 1;
        self.actions.push(Action::Log(format!("executor {} ejected: {why}", e.endpoint.executor)));
    }

    /// Health from an outcome. A cancel or moot says nothing; a time-out only if nothing else was heard.
    pub(super) fn judge(&mut self, i: usize, outcome: Outcome) {
        let (now, e) = (self.now, &mut self.executors[i]);
        match outcome {
            Outcome::Ok => {
                e.record_message(now, GAP_WEIGHT);
                e.error_rate *= 1.0 - ERROR_WEIGHTS[1];
                if e.ejected_until.is_some() {
                    // One answer does not clear an executor that fails every second time.
                    (e.ejected_until, e.unresponsive) = (None, false);
                    (e.ejections, e.error_rate) = (e.ejections.saturating_sub(1), e.error_rate / 2.0);
                    self.actions.push(Action::Log(format!("executor {} is back", e.endpoint.executor)));
                }
            }
            // Only the list says that an executor is cold: taking each reset for a start shut most of a
            // fleet.
            Outcome::Error | Outcome::Reset => {
                e.record_message(now, GAP_WEIGHT);
                e.error_rate += (1.0 - e.error_rate) * ERROR_WEIGHTS[usize::from(outcome == Outcome::Reset)];
                if e.error_rate > EJECT_ERRORS || e.ejected_until.is_some() {
                    self.eject(i, if outcome == Outcome::Reset { "resets" } else { "errors" });
                }
            }
            Outcome::ConnectFailed => self.eject(i, "no connection"),
            Outcome::Rejected => e.rejecting_until = now + 3 * TICK,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// A request was served: its errors elsewhere were those executors' own, not its statement's.
    pub(super) fn blame(&mut self, id: RequestId) {
        let failed = |a: &&Attempt| a.outcome == Some(Outcome::Error);
        for i in Vec::from_iter(self.requests[&id].attempts.iter().filter(failed).map(|a| a.executor)) {
            let e = &mut self.executors[i];
            e.error_rate += (1.0 - e.error_rate) * BLAME;
        }
    }

    pub(super) fn probed(&mut self, executor: ExecutorId, outcome: Outcome, report: Option<Report>) {
        self.reported(executor, report);
        let Some(&i) = self.index.get(&executor) else { return };
        self.executors[i].probe_sent = None;
        self.mark_active(i);
        match outcome {
            Outcome::Ok => self.go_on(),
            Outcome::Rejected | Outcome::NotSent | Outcome::Error | Outcome::Cancelled => {}
            _ => self.eject(i, "no answer to a probe"),
        }
    }

    /// Silence: attempts are out for longer than it takes to hear of them, and nothing was heard.
    fn is_unresponsive(&self, e: &Executor) -> bool {
        let gap = (e.message_interval.value.min(SILENT_GAP_MOST) * SILENT_GAPS * 1e6) as Micros;
        let overdue = |(id, n): &(RequestId, u32)| {
            let q = &self.requests[id];
            let expected = (self.expected(q) * 1e6) as Micros;
            let word = self.s.progress.map_or(expected, |p| expected.min(p)) as f64 * SILENT_FACTOR;
            let since = e.last_message_at.max(q.attempts[*n as usize].sent);
            self.now > since + (word as Micros).max(SILENT_LEAST).max(gap)
        };
        e.present && !e.unresponsive && e.attempts_in_flight.iter().any(overdue)
    }

    pub(super) fn check_health(&mut self) {
        self.count_examined(self.executor_index.active.len());
        for i in Vec::from_iter(self.executor_index.active.iter().copied()) {
            if self.is_unresponsive(&self.executors[i]) {
                self.executors[i].unresponsive = true;
                self.eject(i, "silent");
                let out = Vec::from_iter(self.executors[i].attempts_in_flight.iter().copied());
                out.into_iter().for_each(|(id, n)| self.resend(id, n, !self.s.hedging));
            }
        }
    }
}
