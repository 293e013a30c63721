//! Operators' calls to a member of a control group.

use super::member::ControlMember;
use crate::api::Micros;
use crate::codec::operator::{self as ops, Call, Fault};
use crate::net::event_loop::poll::Key;
use crate::net::policy_calls::CallContext;
use fleet::policy::PolicyLog;
use std::fmt::Write as _;

impl ControlMember {
    /// Handles a call. Returns its answer, or `None` while the change waits to be committed.
    pub(super) fn call(&mut self, caller: Key, now: Micros, line: Result<Call, Fault>) -> Option<String> {
        match line {
            Err(fault) => Some(ops::refusal(&fault)),
            Ok(Call::Health) => {
                Some(if self.stopping.is_some() { "+OK stopping" } else { "+OK ready" }.into())
            }
            Ok(Call::Dump) => Some(format!("+OK figures\n{}.", self.figures(now))),
            Ok(Call::Policy(ask)) => {
                let command = match self.context() {
                    Some(context) => context.command(now, &ask),
                    None => Err("-ERR this member does not know the group's record".into()),
                };
                match command {
                    Err(answer) => Some(answer),
                    Ok((command, what)) => {
                        let said = self.fleet.submit(now, command);
                        if said {
                            self.policy.calls.wait(caller, what, now);
                        }
                        (!said).then(|| "-ERR no lease: this member is cut off from the group".into())
                    }
                }
            }
            Ok(_) => Some("-ERR a member of a control group serves no clients: POLICY, HEALTH, DUMP".into()),
        }
    }

    fn context(&self) -> Option<CallContext<'_>> {
        Some(CallContext {
            policies: self.fleet.policies()?,
            terms: &self.policy.terms,
            base: &self.policy.base,
            names: &self.policy.names,
            me: self.fleet.me(),
            number: self.member.participant().number(),
            queue_from: Some(self.member.known_policy()),
        })
    }

    /// Answers the calls whose changes were committed, and those that timed out.
    pub(super) fn answer_calls(&mut self, now: Micros) {
        if self.policy.calls.is_empty() {
            return;
        }
        let Some(policies) = self.fleet.policies() else { return };
        let answers = self.policy.calls.answers(now, policies, self.fleet.me());
        for (caller, text) in answers {
            if let Some(operators) = &mut self.operators {
                operators.answer(caller, &text, &self.poll);
            }
        }
    }

    /// The member's metrics in the Prometheus text format.
    fn figures(&self, now: Micros) -> String {
        let counters = self.member.counters;
        let [bytes_in, bytes_out] = self.server.bytes();
        let rows = [
            ("followers", self.member.followers() as u64),
            ("follower_leases", self.member.leases(now) as u64),
            ("leads", u64::from(self.fleet.is_leader())),
            ("lease_held", u64::from(self.fleet.holds(now).is_some())),
            ("revision", self.fleet.policies().map_or(0, |p| p.revision())),
            ("changes_waiting", self.fleet.policies().map_or(0, |p| p.queued().count() as u64)),
            ("subscriptions_total", counters.subscribed),
            ("subscriptions_rejected_total", counters.rejected),
            ("subscriptions_resumed_total", counters.resumed),
            ("snapshots_total", counters.snapshots),
            ("changes_total", counters.changes),
            ("leases_total", counters.leases),
            ("leases_denied_total", counters.denied),
            ("connections_silent_total", counters.silent),
            ("connections_refused_total", self.server.tally.refused),
            ("bad_frames_total", self.server.tally.bad_frames),
            ("follower_bytes_in_total", bytes_in),
            ("follower_bytes_out_total", bytes_out),
            ("member_bytes_out_total", self.peers.tally.written),
        ];
        rows.iter().fold(String::new(), |mut text, (name, value)| {
            let _ = writeln!(text, "control_{name} {value}");
            text
        })
    }
}
