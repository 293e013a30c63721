//! Operators' calls concerning the fleet-wide policy.

use super::DispatcherServer;
use super::policy_status::status;
use crate::api::{Micros, Settings};
use crate::codec::operator::policy::PolicyCall;
use crate::net::event_loop::poll::Key;
use crate::policies::{Policy, applied, digest};
use crate::settings::Names;
use crate::settings::hcl::{Fault, shown};
use crate::settings::options::PolicyTerms;
use fleet::Peer;
use fleet::policy::{Command, MAX_TEXT_BYTES, Policies, Policy as Agreed, PolicyLog, QueuedChange};
use std::io::Read as _;

/// Time limit for agreement, in microseconds; a call must be answered within a second in any case.
const AGREEMENT_TIMEOUT: Micros = 800_000;
/// Condition that an operator's call waits for.
pub(super) enum WaitCondition {
    /// The change proposed here at this time is under way; a different change under way excludes it.
    Proposed(Micros),
    /// The change proposed here at this time is under way or queued.
    Queued(Micros),
    /// The change with this number has ended.
    Over(u64),
}

/// An operator's call that waits for agreement.
struct WaitingCall {
    caller: Key,
    condition: WaitCondition,
    expires_at: Micros,
}

/// State that a call is validated against.
pub(super) struct CallContext<'a> {
    pub(super) policies: &'a Policies,
    pub(super) terms: &'a PolicyTerms,
    /// The base settings that a policy is applied to, and the names defined in them.
    pub(super) base: &'a Settings,
    pub(super) names: &'a Names,
    pub(super) me: Peer,
    /// Number of the policy applied here.
    pub(super) number: u64,
    /// If set, a change proposed while another is under way is queued, with at least this number.
    pub(super) queue_from: Option<u64>,
}

/// Calls that wait for agreement.
#[derive(Default)]
pub(super) struct PolicyCalls {
    waiting: Vec<WaitingCall>,
}

/// Reads a policy from a regular file.
fn read_policy_file(path: &str) -> Result<String, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", shown(path));
    let file = std::fs::File::open(path).map_err(with_path)?;
    if !file.metadata().map_err(with_path)?.is_file() {
        return Err(format!("{}: no file", shown(path)));
    }
    let mut text = String::new();
    file.take(MAX_TEXT_BYTES as u64 + 1).read_to_string(&mut text).map_err(with_path)?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(format!("{}: longer than {MAX_TEXT_BYTES} bytes", shown(path)));
    }
    if text.trim().is_empty() {
        return Err(format!("{}: empty; POLICY BACK returns to the policy before", shown(path)));
    }
    Ok(text)
}

impl CallContext<'_> {
    /// Converts a call to the command to agree on and the condition to wait for; an `Err` is the immediate
    /// answer.
    pub(super) fn command(&self, now: Micros, ask: &PolicyCall) -> Result<(Command, WaitCondition), String> {
        let policies = self.policies;
        let limits = [self.terms.vote_limit, self.terms.close_limit].map(|d| d.as_micros() as Micros);
        match ask {
            PolicyCall::Status => Err(status(policies, self.number, now)),
            PolicyCall::Propose(path) => {
                let command = self.proposal(now, path, limits)?;
                let queued = self.queue_from.is_some();
                Ok((command, if queued { WaitCondition::Queued(now) } else { WaitCondition::Proposed(now) }))
            }
            PolicyCall::Back => {
                policies.can_propose("").map_err(|e| format!("-ERR {e}"))?;
                policies.previous().ok_or("-ERR no policy was in force before this one")?;
                Ok((Command::Back(self.me, now, limits), WaitCondition::Proposed(now)))
            }
            PolicyCall::Abort => {
                let number =
                    policies.pending().map(|p| p.policy.number).ok_or("-ERR nothing is under way")?;
                Ok((Command::Abort(number), WaitCondition::Over(number)))
            }
        }
    }

    /// Builds a proposal from a file. Errors found here are reported at once, without asking the fleet.
    fn proposal(&self, at: Micros, path: &str, limits: [Micros; 2]) -> Result<Command, String> {
        let text = read_policy_file(path).map_err(|e| format!("-ERR {e}"))?;
        let faults = |all: Vec<Fault>| all.iter().map(Fault::to_string).collect::<Vec<_>>();
        let checked = Policy::parse(&shown(path), &text).map_err(faults);
        checked
            .and_then(|p| applied(&p, self.base, self.names))
            .map_err(|all| format!("-ERR {}", all.join("; ")))?;
        let (digest, by) = (digest(&text), self.me);
        match self.queue_from {
            None => {
                self.policies.can_propose(&text).map_err(|e| format!("-ERR {e}"))?;
                Ok(Command::Propose { text, digest, by, at, limits, min_number: 0 })
            }
            Some(number) => {
                self.policies.can_queue(&text).map_err(|e| format!("-ERR {e}"))?;
                let policy = Agreed { number, text, digest };
                Ok(Command::Queue(QueuedChange { policy, by, at, limits }))
            }
        }
    }
}

impl PolicyCalls {
    /// Whether no call is waiting.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Queues a call until its condition holds.
    pub(super) fn wait(&mut self, caller: Key, condition: WaitCondition, now: Micros) {
        self.waiting.push(WaitingCall { caller, condition, expires_at: now + AGREEMENT_TIMEOUT });
    }

    /// Removes the calls whose condition holds or whose time limit has passed, and returns their answers.
    pub(super) fn answers(&mut self, now: Micros, policies: &Policies, me: Peer) -> Vec<(Key, String)> {
        let mut answers = Vec::new();
        self.waiting.retain(|w| {
            let late = || "-ERR not agreed in time; POLICY STATUS tells what came of it".to_string();
            let answer = answer_for(&w.condition, policies, me).or_else(|| (w.expires_at <= now).then(late));
            answers.extend(answer.clone().map(|text| (w.caller, text)));
            answer.is_none()
        });
        answers
    }
}

/// The answer to a call, once its condition is decided.
fn answer_for(condition: &WaitCondition, policies: &Policies, me: Peer) -> Option<String> {
    match *condition {
        WaitCondition::Proposed(at) => match (policies.accepted_number(me, at), policies.pending()) {
            (Some(number), _) => Some(format!("+OK proposed {number}")),
            (None, Some(p)) => Some(format!("-ERR policy {} is under way already", p.policy.number)),
            (None, None) => None,
        },
        WaitCondition::Queued(at) => {
            policies.accepted_number(me, at).map(|number| queued_answer(number, policies))
        }
        WaitCondition::Over(number) if policies.current().number == number => {
            Some(format!("-ERR policy {number} is in force already"))
        }
        WaitCondition::Over(number) => policies
            .outcomes()
            .find(|e| e.number == number)
            .map(|e| format!("+OK given up: {}", e.why.as_deref().unwrap_or(""))),
    }
}

/// The answer for an accepted change, which is either voted on or queued.
fn queued_answer(number: u64, policies: &Policies) -> String {
    let waits = policies.queued().any(|w| w.policy.number == number);
    if waits { format!("+OK proposed {number}, waiting") } else { format!("+OK proposed {number}") }
}

impl DispatcherServer {
    /// Handles an operator's call concerning the policy. Returns the answer, or `None` while the call waits
    /// for agreement.
    pub(super) fn policy_call(&mut self, caller: Key, now: Micros, ask: &PolicyCall) -> Option<String> {
        if self.control.is_some() && *ask != PolicyCall::Status {
            return Some("-ERR this dispatcher follows a control group: ask one of its members".into());
        }
        match self.policy_command(now, ask) {
            Err(answer) => Some(answer),
            Ok((command, condition)) => {
                let Some(in_flight) = &mut self.in_flight else { return Some("-ERR no fleet".into()) };
                if !in_flight.takeover.fleet.submit(now, command) {
                    return Some("-ERR no lease: this dispatcher is cut off from the fleet".into());
                }
                self.fleet_policy.as_mut()?.calls.wait(caller, condition, now);
                None
            }
        }
    }

    fn policy_command(&self, now: Micros, ask: &PolicyCall) -> Result<(Command, WaitCondition), String> {
        let fleet_policy = self.fleet_policy.as_ref().ok_or("-ERR no fleet")?;
        let policies = self.policies().ok_or("-ERR this dispatcher takes no part in a fleet now")?;
        let context = CallContext {
            policies,
            terms: &fleet_policy.terms,
            base: &fleet_policy.base,
            names: &self.names,
            me: fleet_policy.me(),
            number: fleet_policy.part.number(),
            queue_from: None,
        };
        context.command(now, ask)
    }

    /// Answers the calls whose condition holds or whose time limit has passed.
    pub(super) fn answer_policy_calls(&mut self, now: Micros) {
        let Some(policies) = self.policies().filter(|_| self.has_policy_calls()).cloned() else { return };
        let Some(fleet_policy) = &mut self.fleet_policy else { return };
        let me = fleet_policy.me();
        for (caller, text) in fleet_policy.calls.answers(now, &policies, me) {
            if let Some(o) = &mut self.admin_listener {
                o.answer(caller, &text, &self.poll);
            }
        }
    }

    fn has_policy_calls(&self) -> bool {
        self.fleet_policy.as_ref().is_some_and(|r| !r.calls.is_empty())
    }
}
