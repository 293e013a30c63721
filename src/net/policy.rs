//! Admission under the fleet-wide policy, if the settings enable it. Every request passes this check first,
//! and is held while a policy change takes effect. The policy is replicated by a fleet of peers or by a
//! control group.

use super::DispatcherServer;
use super::executors::{Job, Rows};
use super::fleet_policy::Held;
use crate::api::Micros;
use crate::dispatch::{Command, Request};
use crate::settings::options::WithoutLease;
use crate::takeover::{Gate, Reply};
use fleet::policy::{Action, Gate as PolicyGate, Policies, PolicyLog};

impl DispatcherServer {
    /// Limits a request's budget to the client timeout of its class under the policy.
    pub(super) fn limit_budget(&self, request: &mut Request) {
        let settings = self
            .fleet_policy
            .as_ref()
            .and_then(|fleet_policy| fleet_policy.settings_under(fleet_policy.part.number()));
        if let Some(class) = settings.and_then(|s| s.classes.get(request.class)) {
            request.time_budget = request.time_budget.min(class.client_timeout);
        }
    }

    /// The source of the policy: a control group, or the replicated log of the peers.
    fn policy_record(&self) -> Option<&dyn PolicyLog> {
        let control = self.control.as_ref().map(|c| &c.follower as &dyn PolicyLog);
        control
            .or_else(|| self.in_flight.as_ref().map(|in_flight| &in_flight.takeover.fleet as &dyn PolicyLog))
    }

    /// The agreed policy state, as far as it is known here.
    pub(super) fn policies(&self) -> Option<&Policies> {
        self.policy_record()?.policies()
    }

    /// Number of the policy applied here; 0 if none is agreed on.
    pub(super) fn policy_number(&self) -> u64 {
        self.fleet_policy.as_ref().map_or(0, |fleet_policy| fleet_policy.part.number())
    }

    /// The admission decision for a new request, based on the current time; `None` if no policy is
    /// configured.
    pub(super) fn policy_gate(&mut self) -> Option<PolicyGate> {
        self.fleet_policy.as_ref()?;
        let now = self.clock.now();
        let holder = self.policy_record()?.holds(now);
        Some(self.fleet_policy.as_ref()?.policy_gate(holder))
    }

    /// Applies the admission decision to a new request. Returns whether the request may be submitted now.
    pub(super) fn gate(&mut self, now: Micros, request: &Request, job: &Job) -> Gate {
        match self.policy_gate() {
            None => self.begin_in_flight(now, request, job),
            Some(PolicyGate::Admit(number)) => {
                let gate = self.begin_in_flight(now, request, job);
                if gate == Gate::Go {
                    log_admission(request.id, number);
                }
                gate
            }
            Some(PolicyGate::Hold) => {
                self.hold_for_policy(request.id, Some(request.clone()));
                Gate::Hold
            }
            Some(PolicyGate::Refuse) => Gate::Answer(self.reject_without_policy()),
        }
    }

    fn reject_without_policy(&mut self) -> Reply {
        let fleet_policy = self.fleet_policy.as_mut();
        Reply::Refused(fleet_policy.map_or(0, |r| {
            r.rejected_total += 1;
            r.backoff_ms
        }))
    }

    fn hold_for_policy(&mut self, rid: u64, request: Option<Request>) {
        let Some(fleet_policy) = &mut self.fleet_policy else { return };
        // Requests whose clients have disconnected are dropped, so that the queue stays proportional to the
        // number of open requests.
        if fleet_policy.held.len() > self.requests.open.len() + 1_024 {
            fleet_policy.held.retain(|h| self.requests.open.contains_key(&h.rid));
        }
        fleet_policy.held_total += 1;
        fleet_policy.held.push_back(Held { rid, request });
    }

    /// Submits a recorded request to the dispatch logic, unless a policy change is taking effect.
    pub(super) fn admit_recorded(&mut self, now: Micros, rid: u64) -> Vec<Command<Rows>> {
        match self.policy_gate() {
            Some(PolicyGate::Hold) => {
                self.hold_for_policy(rid, None);
                Vec::new()
            }
            Some(PolicyGate::Refuse) => {
                let answer = self.reject_without_policy();
                let answer = self.to_answer(answer);
                self.dispatch.answer_held(now, rid, answer)
            }
            policy_gate => {
                if let Some(PolicyGate::Admit(number)) = policy_gate {
                    log_admission(rid, number);
                }
                self.dispatch.admit(now, rid)
            }
        }
    }

    /// Applies the fleet's policy state, sends votes and other commands, and releases held requests.
    pub(super) fn tick_policy(&mut self, now: Micros) {
        let Some(fleet_policy) = &mut self.fleet_policy else { return };
        let (changed, record): (bool, &mut dyn PolicyLog) = match (&mut self.control, &mut self.in_flight) {
            (Some(control), _) => (control.follower.take_changed(), &mut control.follower),
            (None, Some(in_flight)) => {
                (std::mem::take(&mut in_flight.takeover.ruled), &mut in_flight.takeover.fleet)
            }
            (None, None) => return,
        };
        let has_pending_work = !fleet_policy.calls.is_empty() || !fleet_policy.part.caught_up();
        if !changed && !has_pending_work {
            return;
        }
        let holder = record.holds(now);
        let acts = fleet_policy.reconcile(now, holder, record.policies(), &self.names);
        record.mark_applied(fleet_policy.part.number());
        let mut change = None;
        let mut send_failed = false;
        for act in acts {
            match act {
                Action::Submit(command) => {
                    if !record.submit(now, command) {
                        fleet_policy.part.submit_failed();
                        send_failed = true;
                    }
                }
                Action::Voted(number, faults) => {
                    tracing::info!(
                        number,
                        yes = faults.is_empty(),
                        faults = faults.join("; "),
                        "policy: voted"
                    );
                }
                Action::Closing(number) => tracing::info!(number, "policy: closing"),
                Action::GivenUp(number, why, faults) => {
                    tracing::warn!(number, why, ?faults, "policy: given up");
                }
                Action::InForce(policy) => {
                    tracing::info!(number = policy.number, "policy: in force");
                    change = fleet_policy.settings_under(policy.number).cloned();
                }
            }
        }
        if holder.is_some() == fleet_policy.lacks_lease {
            // A lease was acquired or lost, and with it the right to act under the agreed policy.
            let stricter = fleet_policy.terms.without_lease == WithoutLease::Stricter;
            fleet_policy.lacks_lease = holder.is_none();
            if stricter {
                change = if holder.is_some() {
                    fleet_policy.settings_under(fleet_policy.part.number()).cloned()
                } else {
                    fleet_policy.fallback()
                };
            }
        }
        if let Some(in_flight) = self.in_flight.as_mut().filter(|_| send_failed) {
            in_flight.takeover.ruled = true;
        }
        if let Some(settings) = change
            && let Err(e) = self.dispatch.update_settings(settings)
        {
            tracing::error!(error = %e, "policy: can't be applied here");
        }
        self.release_held_requests(now);
        self.answer_policy_calls(now);
    }

    /// Releases held requests in order, once it is known which policy admits them.
    fn release_held_requests(&mut self, now: Micros) {
        let policy_gate = self.policy_gate();
        if policy_gate == Some(PolicyGate::Hold) {
            return;
        }
        let held = self.fleet_policy.as_mut().map(|r| std::mem::take(&mut r.held));
        for Held { rid, request } in held.unwrap_or_default() {
            let Some(job) = self.requests.open.get(&rid).map(|o| o.job.clone()) else { continue };
            let commands = match (policy_gate, request) {
                (Some(PolicyGate::Refuse), _) => {
                    let answer = self.reject_without_policy();
                    let answer = self.to_answer(answer);
                    self.dispatch.answer_held(now, rid, answer)
                }
                (_, None) => self.admit_recorded(now, rid),
                (_, Some(request)) => match self.gate(now, &request, &job) {
                    Gate::Go => self.dispatch.admit(now, rid),
                    Gate::Hold => Vec::new(),
                    Gate::Answer(reply) => {
                        let answer = self.to_answer(reply);
                        self.dispatch.answer_held(now, rid, answer)
                    }
                },
            };
            self.execute(commands);
        }
    }
}

/// Logs an admission, so that tests can verify that no two policies are in force at the same time.
fn log_admission(rid: u64, number: u64) {
    tracing::debug!(target: "ottercroft::policies", request = format_args!("{rid:016x}"), policy = number, "admitted");
}
