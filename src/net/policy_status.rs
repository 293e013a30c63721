//! The policy status shown to operators.

use crate::api::Micros;
use crate::settings::hcl::shown;
use fleet::policy::{Policies, Stage};
use std::fmt::Write as _;

/// Maximum number of faults shown per vote.
const MAX_FAULTS_SHOWN: usize = 4;

/// The answer to `POLICY STATUS`.
pub(super) fn status(policies: &Policies, applied: u64, now: Micros) -> String {
    let mut text = format!("+OK policy {} in force", policies.current().number);
    if applied != policies.current().number {
        let _ = write!(text, ", {applied} here");
    }
    text.push('\n');
    if !policies.caught_up() {
        text.push_str(
            "the fleet has lost its record: nothing is admitted until a policy is in force again\n",
        );
    }
    if let Some(pending) = policies.pending() {
        let (stage, who, done) = match pending.stage {
            Stage::Voting => ("voting", "voted", pending.votes.len()),
            Stage::Closing => ("closing", "stopped", pending.stopped.len()),
        };
        let since = now.saturating_sub(pending.at) / 1_000;
        let _ = writeln!(
            text,
            "proposed {} {stage} by peer {} {since}ms, {done} {who}",
            pending.policy.number, pending.by
        );
        for (holder, faults) in pending.votes.iter().filter(|(_, f)| !f.is_empty()) {
            write_faults(&mut text, pending.policy.number, fleet::peer_of(holder.incarnation), faults);
        }
    }
    for ended in policies.outcomes() {
        match &ended.why {
            None => drop(writeln!(text, "{} in force", ended.number)),
            Some(why) => drop(writeln!(text, "{} given up: {}", ended.number, shown(why))),
        }
        ended.faults.iter().for_each(|(peer, faults)| write_faults(&mut text, ended.number, *peer, faults));
    }
    text + "."
}

fn write_faults(text: &mut String, number: u64, peer: fleet::Peer, faults: &[String]) {
    for fault in faults.iter().take(MAX_FAULTS_SHOWN) {
        let _ = writeln!(text, "{number} peer {peer}: {}", shown(fault));
    }
    if faults.len() > MAX_FAULTS_SHOWN {
        let _ = writeln!(text, "{number} peer {peer}: {} more", faults.len() - MAX_FAULTS_SHOWN);
    }
}
