//! What operators ask of the policy that the fleet holds alike.

use super::DispatcherServer;
use super::policy_status::status;
use crate::api::{Micros, Settings};
use crate::codec::operator::policy::Ask;
use crate::net::event_loop::poll::Key;
use crate::policies::{Policy, applied, digest};
use crate::settings::Names;
use crate::settings::hcl::{Fault, shown};
use crate::settings::options::PolicyTerms;
use fleet::Peer;
use fleet::policy::{Command, MAX_TEXT_BYTES, Policies, Policy as Agreed, PolicyLog, QueuedChange};
use std::io::Read as _;

/// A call is answered within a second, agreed or not.
const AGREED: Micros = 800_000;
/// What an operator's call waits for.
pub(super) enum For {
    /// The change proposed here at this time is under way; another one excludes it.
    Proposed(Micros),
    /// The change proposed here at this time is under way or waits for its turn.
    Queued(Micros),
    /// The change of this number is over.
    Over(u64),
}

/// An operator's call that waits to be agreed.
struct WaitingCall {
    caller: Key,
    what: For,
    until: Micros,
}

/// What a call is judged by.
pub(super) struct CallContext<'a> {
    pub(super) policies: &'a Policies,
    pub(super) terms: &'a PolicyTerms,
    /// What a policy is applied to, and the names in it.
    pub(super) base: &'a Settings,
    pub(super) names: &'a Names,
    pub(super) me: Peer,
    /// The number of the policy that is acted by here.
    pub(super) number: u64,
    /// A change that comes while another is under way waits, with at least this number.
    pub(super) queue_from: Option<u64>,
}

/// The calls that wait to be agreed.
#[derive(Default)]
pub(super) struct PolicyCalls {
    waiting: Vec<WaitingCall>,
}

/// A policy's text from its file, if it is one.
fn read(path: &str) -> Result<String, String> {
    let told = |e: std::io::Error| format!("{}: {e}", shown(path));
    let file = std::fs::File::open(path).map_err(told)?;
    if !file.metadata().map_err(told)?.is_file() {
        return Err(format!("{}: no file", shown(path)));
    }
    let mut text = String::new();
    file.take(MAX_TEXT_BYTES as u64 + 1).read_to_string(&mut text).map_err(told)?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(format!("{}: longer than {MAX_TEXT_BYTES} bytes", shown(path)));
    }
    if text.trim().is_empty() {
        return Err(format!("{}: empty; POLICY BACK returns to the policy before", shown(path)));
    }
    Ok(text)
}

impl CallContext<'_> {
    /// What is to be agreed for a call and what it waits for; else its answer.
    pub(super) fn command(&self, now: Micros, ask: &Ask) -> Result<(Command, For), String> {
        let policies = self.policies;
        let limits = [self.terms.vote_limit, self.terms.close_limit].map(|d| d.as_micros() as Micros);
        match ask {
            Ask::Status => Err(status(policies, self.number, now)),
            Ask::Propose(path) => {
                let command = self.proposal(now, path, limits)?;
                let queued = self.queue_from.is_some();
                Ok((command, if queued { For::Queued(now) } else { For::Proposed(now) }))
            }
            Ask::Back => {
                policies.can_propose("").map_err(|e| format!("-ERR {e}"))?;
                policies.previous().ok_or("-ERR no policy was in force before this one")?;
                Ok((Command::Back(self.me, now, limits), For::Proposed(now)))
            }
            Ask::Abort => {
                let number =
                    policies.pending().map(|p| p.policy.number).ok_or("-ERR nothing is under way")?;
                Ok((Command::Abort(number), For::Over(number)))
            }
        }
    }

    /// The proposal of a file. What is wrong with it here is told at once, and the fleet is not asked.
    fn proposal(&self, at: Micros, path: &str, limits: [Micros; 2]) -> Result<Command, String> {
        let text = read(path).map_err(|e| format!("-ERR {e}"))?;
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
    /// Whether none waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Keeps a call until it is agreed.
    pub(super) fn wait(&mut self, caller: Key, what: For, now: Micros) {
        self.waiting.push(WaitingCall { caller, what, until: now + AGREED });
    }

    /// The answers of the calls that have come to be agreed, and of those whose time is up.
    pub(super) fn answers(&mut self, now: Micros, policies: &Policies, me: Peer) -> Vec<(Key, String)> {
        let mut answers = Vec::new();
        self.waiting.retain(|w| {
            let late = || "-ERR not agreed in time; POLICY STATUS tells what came of it".to_string();
            let said = outcome(&w.what, policies, me).or_else(|| (w.until <= now).then(late));
            answers.extend(said.clone().map(|s| (w.caller, s)));
            said.is_none()
        });
        answers
    }
}

/// What came of what a call waits for, if anything did.
fn outcome(what: &For, policies: &Policies, me: Peer) -> Option<String> {
    match *what {
        For::Proposed(at) => match (policies.accepted_number(me, at), policies.pending()) {
            (Some(number), _) => Some(format!("+OK proposed {number}")),
            (None, Some(p)) => Some(format!("-ERR policy {} is under way already", p.policy.number)),
            (None, None) => None,
        },
        For::Queued(at) => policies.accepted_number(me, at).map(|number| queued(number, policies)),
        For::Over(number) if policies.current().number == number => {
            Some(format!("-ERR policy {number} is in force already"))
        }
        For::Over(number) => policies
            .outcomes()
            .find(|e| e.number == number)
            .map(|e| format!("+OK given up: {}", e.why.as_deref().unwrap_or(""))),
    }
}

/// A change that was taken: whether it is put to the vote or waits.
fn queued(number: u64, policies: &Policies) -> String {
    let waits = policies.queued().any(|w| w.policy.number == number);
    if waits { format!("+OK proposed {number}, waiting") } else { format!("+OK proposed {number}") }
}

impl DispatcherServer {
    /// Carries out a call on the policy: its answer, or none as long as it waits to be agreed.
    pub(super) fn policy_call(&mut self, caller: Key, now: Micros, ask: &Ask) -> Option<String> {
        if self.control.is_some() && *ask != Ask::Status {
            return Some("-ERR this dispatcher follows a control group: ask one of its members".into());
        }
        match self.policy_command(now, ask) {
            Err(answer) => Some(answer),
            Ok((command, what)) => {
                let Some(in_flight) = &mut self.in_flight else { return Some("-ERR no fleet".into()) };
                if !in_flight.takeover.fleet.submit(now, command) {
                    return Some("-ERR no lease: this dispatcher is cut off from the fleet".into());
                }
                self.rules.as_mut()?.calls.wait(caller, what, now);
                None
            }
        }
    }

    fn policy_command(&self, now: Micros, ask: &Ask) -> Result<(Command, For), String> {
        let rules = self.rules.as_ref().ok_or("-ERR no fleet")?;
        let policies = self.policies().ok_or("-ERR this dispatcher takes no part in a fleet now")?;
        let context = CallContext {
            policies,
            terms: &rules.terms,
            base: &rules.base,
            names: &self.names,
            me: rules.me(),
            number: rules.part.number(),
            queue_from: None,
        };
        context.command(now, ask)
    }

    /// Answers the calls that have come to be agreed, and those whose time is up.
    pub(super) fn answer_policy_calls(&mut self, now: Micros) {
        let Some(policies) = self.policies().filter(|_| self.has_policy_calls()).cloned() else { return };
        let Some(rules) = &mut self.rules else { return };
        let me = rules.me();
        for (caller, text) in rules.calls.answers(now, &policies, me) {
            if let Some(o) = &mut self.admin_listener {
                o.answer(caller, &text, &self.poll);
            }
        }
    }

    fn has_policy_calls(&self) -> bool {
        self.rules.as_ref().is_some_and(|r| !r.calls.is_empty())
    }
}
