//! What all dispatchers of the fleet admit requests by, where our settings say so: requests pass by here before all
//! else, and wait here while a change takes hold. It is learned from a fleet of peers or from a control group.

use super::DispatcherServer;
use super::executors::{Job, Rows};
use super::rules::Held;
use crate::api::Micros;
use crate::dispatch::{Command, Request};
use crate::settings::options::WithoutLease;
use crate::takeover::{Gate, Reply};
use fleet::policy::{Action, Gate as Door, Policies, PolicyLog};

impl DispatcherServer {
    /// A request whose client would wait longer than the policy allows is given up when that says.
    pub(super) fn cap(&self, request: &mut Request) {
        let settings = self.rules.as_ref().and_then(|r| r.under(r.part.number()));
        if let Some(class) = settings.and_then(|s| s.classes.get(request.class)) {
            request.budget = request.budget.min(class.client_timeout);
        }
    }

    /// Where the policy is learned from: the members of a control group, or the log of a fleet of peers.
    fn policy_record(&self) -> Option<&dyn PolicyLog> {
        let control = self.control.as_ref().map(|c| &c.follower as &dyn PolicyLog);
        control.or_else(|| self.in_flight.as_ref().map(|h| &h.takeover.fleet as &dyn PolicyLog))
    }

    /// What is agreed on the policy, as far as it is known here.
    pub(super) fn policies(&self) -> Option<&Policies> {
        self.policy_record()?.policies()
    }

    /// The number of the policy that is acted by; 0 where none is agreed on.
    pub(super) fn policy_number(&self) -> u64 {
        self.rules.as_ref().map_or(0, |r| r.part.number())
    }

    /// What a request that arrives meets, by a look at the clock of this very moment; `None` where no policy is agreed
    /// on at all.
    pub(super) fn door(&mut self) -> Option<Door> {
        self.rules.as_ref()?;
        let now = self.clock.now();
        let holder = self.policy_record()?.holds(now);
        Some(self.rules.as_ref()?.door(holder))
    }

    /// What becomes of a request that arrives: whether the decisions get it now.
    pub(super) fn gate(&mut self, now: Micros, request: &Request, job: &Job) -> Gate {
        match self.door() {
            None => self.begin_in_flight(now, request, job),
            Some(Door::Admit(number)) => {
                let gate = self.begin_in_flight(now, request, job);
                if gate == Gate::Go {
                    told(request.id, number);
                }
                gate
            }
            Some(Door::Hold) => {
                self.hold_for_policy(request.id, Some(request.clone()));
                Gate::Hold
            }
            Some(Door::Refuse) => Gate::Answer(self.no_policy()),
        }
    }

    fn no_policy(&mut self) -> Reply {
        let rules = self.rules.as_mut();
        Reply::Refused(rules.map_or(0, |r| {
            r.tally[1] += 1;
            r.backoff_ms
        }))
    }

    fn hold_for_policy(&mut self, rid: u64, request: Option<Request>) {
        let Some(rules) = &mut self.rules else { return };
        // Those whose clients have left go: as many wait as are open, and no more.
        if rules.held.len() > self.requests.open.len() + 1_024 {
            rules.held.retain(|h| self.requests.open.contains_key(&h.rid));
        }
        rules.tally[0] += 1;
        rules.held.push_back(Held { rid, request });
    }

    /// A request that is on the fleet's record goes to the decisions, unless a change is taking hold.
    pub(super) fn admit_recorded(&mut self, now: Micros, rid: u64) -> Vec<Command<Rows>> {
        match self.door() {
            Some(Door::Hold) => {
                self.hold_for_policy(rid, None);
                Vec::new()
            }
            Some(Door::Refuse) => {
                let answer = self.no_policy();
                let answer = self.answer_of(answer);
                self.dispatch.answer_held(now, rid, answer)
            }
            door => {
                if let Some(Door::Admit(number)) = door {
                    told(rid, number);
                }
                self.dispatch.admit(now, rid)
            }
        }
    }

    /// Looks at what the fleet holds alike, says what is to be said of it, and lets requests go that waited.
    pub(super) fn tick_policy(&mut self, now: Micros) {
        let Some(rules) = &mut self.rules else { return };
        let (changed, record): (bool, &mut dyn PolicyLog) = match (&mut self.control, &mut self.in_flight) {
            (Some(control), _) => (control.follower.take_changed(), &mut control.follower),
            (None, Some(h)) => (std::mem::take(&mut h.takeover.ruled), &mut h.takeover.fleet),
            (None, None) => return,
        };
        let restless = !rules.calls.is_empty() || !rules.part.caught_up();
        if !changed && !restless {
            return;
        }
        let holder = record.holds(now);
        let acts = rules.look(now, holder, record.policies(), &self.names);
        record.mark_applied(rules.part.number());
        let mut change = None;
        let mut unsaid = false;
        for act in acts {
            match act {
                Action::Submit(command) => {
                    if !record.submit(now, command) {
                        rules.part.submit_failed();
                        unsaid = true;
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
                    change = rules.under(policy.number).cloned();
                }
            }
        }
        if holder.is_some() == rules.fallen_back {
            // A lease came or went, and with it the right to act by what the fleet holds.
            let stricter = rules.terms.without_lease == WithoutLease::Stricter;
            rules.fallen_back = holder.is_none();
            if stricter {
                change = if holder.is_some() {
                    rules.under(rules.part.number()).cloned()
                } else {
                    rules.fallback()
                };
            }
        }
        if let Some(in_flight) = self.in_flight.as_mut().filter(|_| unsaid) {
            in_flight.takeover.ruled = true;
        }
        if let Some(settings) = change
            && let Err(e) = self.dispatch.update_settings(settings)
        {
            tracing::error!(error = %e, "policy: can't be done here");
        }
        self.release(now);
        self.answer_policy_calls(now);
    }

    /// Lets go of what waited, in its order, once it may be told by what it is admitted.
    fn release(&mut self, now: Micros) {
        let door = self.door();
        if door == Some(Door::Hold) {
            return;
        }
        let held = self.rules.as_mut().map(|r| std::mem::take(&mut r.held));
        for Held { rid, request } in held.unwrap_or_default() {
            let Some(job) = self.requests.open.get(&rid).map(|o| o.job.clone()) else { continue };
            let orders = match (door, request) {
                (Some(Door::Refuse), _) => {
                    let answer = self.no_policy();
                    let answer = self.answer_of(answer);
                    self.dispatch.answer_held(now, rid, answer)
                }
                (_, None) => self.admit_recorded(now, rid),
                (_, Some(request)) => match self.gate(now, &request, &job) {
                    Gate::Go => self.dispatch.admit(now, rid),
                    Gate::Hold => Vec::new(),
                    Gate::Answer(reply) => {
                        let answer = self.answer_of(reply);
                        self.dispatch.answer_held(now, rid, answer)
                    }
                },
            };
            self.execute(orders);
        }
    }
}

/// Tells of an admission, for whoever wants to see that no two policies hold at once.
fn told(rid: u64, number: u64) {
    tracing::debug!(target: "ottercroft::policies", request = format_args!("{rid:016x}"), policy = number, "admitted");
}
