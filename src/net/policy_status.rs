//! What operators are told of the policy that is agreed on.

use crate::api::Micros;
use crate::settings::hcl::shown;
use fleet::policy::{Policies, Stage};
use std::fmt::Write as _;

/// Faults shown of one vote.
const SHOWN: usize = 4;

/// The answer to `POLICY STATUS`.
pub(super) fn status(p: &Policies, here: u64, now: Micros) -> String {
    let mut text = format!("+OK policy {} in force", p.current().number);
    if here != p.current().number {
        let _ = write!(text, ", {here} here");
    }
    text.push('\n');
    if !p.caught_up() {
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
            faults_of(&mut text, q.policy.number, fleet::peer_of(h.incarnation), faults);
        }
    }
    for e in p.outcomes() {
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
