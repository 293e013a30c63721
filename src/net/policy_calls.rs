//! What operators ask of the policy that the fleet holds alike.

use super::Node;
use super::poll::Key;
use crate::api::Micros;
use crate::codec::operator::policy::Ask;
use crate::policies::{Policy, applied, digest};
use crate::settings::hcl::{Fault, shown};
use fleet::agreed::{self, Agreed};
use fleet::policy::{Command, MOST_TEXT, Policies, Stage};
use std::fmt::Write as _;
use std::io::Read as _;

/// A call is answered within a second, agreed or not.
const AGREED: Micros = 800_000;
/// Faults shown of one vote.
const SHOWN: usize = 4;

/// What an operator's call waits for.
enum For {
    /// The change proposed here at this time is under way.
    Proposed(Micros),
    /// The change of this number is over.
    Over(u64),
}

/// An operator's call that waits to be agreed.
pub(super) struct Waiting {
    caller: Key,
    what: For,
    until: Micros,
}

/// A policy's text from its file, if it is one.
fn read(path: &str) -> Result<String, String> {
    let told = |e: std::io::Error| format!("{}: {e}", shown(path));
    let file = std::fs::File::open(path).map_err(told)?;
    if !file.metadata().map_err(told)?.is_file() {
        return Err(format!("{}: no file", shown(path)));
    }
    let mut text = String::new();
    file.take(MOST_TEXT as u64 + 1).read_to_string(&mut text).map_err(told)?;
    if text.len() > MOST_TEXT {
        return Err(format!("{}: longer than {MOST_TEXT} bytes", shown(path)));
    }
    if text.trim().is_empty() {
        return Err(format!("{}: empty; POLICY BACK returns to the policy before", shown(path)));
    }
    Ok(text)
}

impl Node {
    fn policies(&self) -> Option<&Policies> {
        self.hands.as_ref()?.takeover.fleet.agreed().map(Agreed::policy)
    }

    /// Carries out a call on the policy: its answer, or none as long as it waits to be agreed.
    pub(super) fn policy_call(&mut self, caller: Key, now: Micros, ask: &Ask) -> Option<String> {
        match self.policy_command(now, ask) {
            Err(answer) => Some(answer),
            Ok((command, what)) => {
                let Some(hands) = &mut self.hands else { return Some("-ERR no fleet".into()) };
                if !hands.takeover.fleet.agree(now, agreed::Command::Policy(command)) {
                    return Some("-ERR no lease: this dispatcher is cut off from the fleet".into());
                }
                hands.rules.as_mut()?.waiting.push(Waiting { caller, what, until: now + AGREED });
                None
            }
        }
    }

    /// What is to be agreed for a call and what it waits for; else its answer.
    fn policy_command(&self, now: Micros, ask: &Ask) -> Result<(Command, For), String> {
        let rules = self.hands.as_ref().and_then(|h| h.rules.as_ref()).ok_or("-ERR no fleet")?;
        let policies = self.policies().ok_or("-ERR this dispatcher takes no part in a fleet now")?;
        let limits = [rules.terms.vote_limit, rules.terms.close_limit].map(|d| d.as_micros() as Micros);
        let by = rules.me();
        match ask {
            Ask::Status => Err(status(policies, rules.part.number(), now)),
            Ask::Propose(path) => {
                let text = read(path).map_err(|e| format!("-ERR {e}"))?;
                // What is wrong with it here is told at once, and the fleet is not asked.
                let faults = |all: Vec<Fault>| all.iter().map(Fault::to_string).collect::<Vec<_>>();
                let checked = Policy::parse(&shown(path), &text).map_err(faults);
                checked
                    .and_then(|p| applied(&p, &rules.base, &self.names))
                    .map_err(|all| format!("-ERR {}", all.join("; ")))?;
                policies.accepts(&text).map_err(|e| format!("-ERR {e}"))?;
                let digest = digest(&text);
                Ok((Command::Propose { text, digest, by, at: now, limits, least: 0 }, For::Proposed(now)))
            }
            Ask::Back => {
                policies.accepts("").map_err(|e| format!("-ERR {e}"))?;
                policies.before().ok_or("-ERR no policy was in force before this one")?;
                Ok((Command::Back(by, now, limits), For::Proposed(now)))
            }
            Ask::Abort => {
                let number =
                    policies.pending().map(|p| p.policy.number).ok_or("-ERR nothing is under way")?;
                Ok((Command::Abort(number), For::Over(number)))
            }
        }
    }

    /// Answers the calls that have come to be agreed, and those whose time is up.
    pub(super) fn answer_policy_calls(&mut self, now: Micros) {
        let Some(policies) = self.policies() else { return };
        let pending = policies.pending().map(|p| (p.policy.number, p.by, p.at));
        let ended: Vec<(u64, Option<String>)> = policies.ended().map(|e| (e.number, e.why.clone())).collect();
        let (last, current) = (policies.last(), policies.current().number);
        let Some(rules) = self.hands.as_mut().and_then(|h| h.rules.as_mut()) else { return };
        let me = rules.me();
        let answer = |w: &Waiting| match w.what {
            For::Proposed(at) => match pending {
                Some((number, by, when)) if by == me && when == at => Some(format!("+OK proposed {number}")),
                // It may have come to its end between two looks.
                _ if policies_had(last, me, at) => Some(format!("+OK proposed {}", last.map_or(0, |l| l.0))),
                Some((number, ..)) => Some(format!("-ERR policy {number} is under way already")),
                None => None,
            },
            For::Over(number) if current == number => {
                Some(format!("-ERR policy {number} is in force already"))
            }
            For::Over(number) => ended
                .iter()
                .find(|(n, _)| *n == number)
                .map(|(_, why)| format!("+OK given up: {}", why.as_deref().unwrap_or(""))),
        };
        let mut answers = Vec::new();
        rules.waiting.retain(|w| {
            let late = || "-ERR not agreed in time; POLICY STATUS tells what came of it".to_string();
            let said = answer(w).or_else(|| (w.until <= now).then(late));
            answers.extend(said.clone().map(|s| (w.caller, s)));
            said.is_none()
        });
        for (caller, text) in answers {
            if let Some(o) = &mut self.operators {
                o.answer(caller, &text, &self.poll);
            }
        }
    }
}

/// Whether the last change that was taken is the one that was proposed here at this time.
fn policies_had(last: Option<(u64, fleet::Peer, Micros)>, me: fleet::Peer, at: Micros) -> bool {
    last.is_some_and(|(_, by, when)| by == me && when == at)
}

/// The answer to `POLICY STATUS`.
fn status(p: &Policies, here: u64, now: Micros) -> String {
    let mut text = format!("+OK policy {} in force", p.current().number);
    if here != p.current().number {
        let _ = write!(text, ", {here} here");
    }
    text.push('\n');
    if !p.abreast() {
        text.push_str(
            "the fleet has lost its record: nothing is admitted until a policy is in force again\n",
        );
    }
    if let Some(q) = p.pending() {
        let (stage, who, done) = match q.stage {
            Stage::Voting => ("voting", "voted", q.votes.len()),
            Stage::Closing => ("closing", "stopped", q.stopped.len()),
        };
        let since = now.saturating_sub(q.at) / 1_000;
        let _ =
            writeln!(text, "proposed {} {stage} by peer {} {since}ms, {done} {who}", q.policy.number, q.by);
        for (h, faults) in q.votes.iter().filter(|(_, f)| !f.is_empty()) {
            faults_of(&mut text, q.policy.number, fleet::peer_of(h.life), faults);
        }
    }
    for e in p.ended() {
        match &e.why {
            None => drop(writeln!(text, "{} in force", e.number)),
            Some(why) => drop(writeln!(text, "{} given up: {}", e.number, shown(why))),
        }
        e.faults.iter().for_each(|(peer, faults)| faults_of(&mut text, e.number, *peer, faults));
    }
    text + "."
}

fn faults_of(text: &mut String, number: u64, peer: fleet::Peer, faults: &[String]) {
    for fault in faults.iter().take(SHOWN) {
        let _ = writeln!(text, "{number} peer {peer}: {}", shown(fault));
    }
    if faults.len() > SHOWN {
        let _ = writeln!(text, "{number} peer {peer}: {} more", faults.len() - SHOWN);
    }
}
