//! Votes that a member submits to the log on behalf of itself and all its followers.
//!
//! The member's own *yes* and *stopped* are deferred until every follower that holds one of its leases has
//! said the same, or that lease has expired. A *no* from anyone is submitted immediately.

use super::sessions::Session;
use super::{Member, MemberLog};
use crate::control_plane::messages::FollowerId;
use crate::policy::{Command, Policies, QueuedChange};
use crate::{Holder, Micros};
use std::collections::BTreeMap;

/// Vote and closing time limits of a policy that is proposed again after the group has lost its state.
const RESTORE_LIMITS: [Micros; 2] = [3_000_000, 3_000_000];

/// A command that waits for the consent of all followers with a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Deferred {
    /// A yes vote on the change of this number.
    Yes(Holder, u64),
    /// Admission has stopped for the change of this number.
    Stopped(Holder, u64),
}

impl Member {
    /// Submits a command to the log, or defers it until the followers consent.
    pub(super) fn defer(&mut self, now: Micros, record: &mut impl MemberLog, command: Command) {
        match command {
            Command::Vote(h, number, faults) if faults.is_empty() => {
                self.deferred = Some(Deferred::Yes(h, number));
            }
            Command::Stopped(h, number) => self.deferred = Some(Deferred::Stopped(h, number)),
            command => {
                if !record.submit(now, command) {
                    self.participant.submit_failed();
                }
            }
        }
    }

    /// Submits the deferred command once all followers have consented or one of them has objected.
    pub(super) fn submit_deferred(&mut self, now: Micros, record: &mut impl MemberLog) {
        self.propose_restored(now, record);
        let Some(deferred) = self.deferred else { return };
        let (Deferred::Yes(holder, number) | Deferred::Stopped(holder, number)) = deferred;
        let pending = record.policies().and_then(Policies::pending).map(|p| p.policy.number);
        if record.holds(now) != Some(holder) || pending != Some(number) {
            // With a new lease or a new change, the participant repeats its vote.
            self.deferred = None;
            return;
        }
        let command = match deferred {
            Deferred::Yes(..) => self.vote(holder, number),
            Deferred::Stopped(..) => self.stopped(holder, number),
        };
        if let Some(command) = command {
            self.deferred = None;
            if !record.submit(now, command) {
                self.participant.submit_failed();
            }
        }
    }

    /// The session of each follower that holds a lease; `None` for a follower that is not connected.
    fn leased_sessions(&self) -> impl Iterator<Item = (&str, Option<&Session>)> {
        let subscribed = |s| -> Option<(FollowerId, &Session)> {
            let session: &Session = s;
            session.subscribed.as_ref().map(|(follower, _)| (*follower, session))
        };
        let by_follower: BTreeMap<FollowerId, &Session> =
            self.sessions.values().filter_map(subscribed).collect();
        self.granted.iter().map(move |(f, granted)| (granted.name.as_str(), by_follower.get(f).copied()))
    }

    fn vote(&self, holder: Holder, number: u64) -> Option<Command> {
        let mut all_yes = true;
        for (name, session) in self.leased_sessions() {
            match session.and_then(|s| s.vote.as_ref()).filter(|(n, _)| *n == number) {
                Some((_, faults)) if faults.is_empty() => {}
                Some((_, faults)) => {
                    let faults = faults.iter().map(|f| format!("{name}: {f}")).collect();
                    return Some(Command::Vote(holder, number, faults));
                }
                None => all_yes = false,
            }
        }
        all_yes.then(|| Command::Vote(holder, number, Vec::new()))
    }

    fn stopped(&self, holder: Holder, number: u64) -> Option<Command> {
        let mut all_stopped = true;
        for (name, session) in self.leased_sessions() {
            if let Some((_, why)) =
                session.and_then(|s| s.cannot_apply.as_ref()).filter(|(n, _)| *n == number)
            {
                return Some(Command::CannotApply(holder, number, format!("{name}: {why}")));
            }
            all_stopped &= session.is_some_and(|s| s.stopped == Some(number));
        }
        all_stopped.then_some(Command::Stopped(holder, number))
    }

    /// Proposes a policy again that was in force before the group lost its state, unless a change is already
    /// pending.
    fn propose_restored(&mut self, now: Micros, record: &mut impl MemberLog) {
        let Some(policy) = self.restore_proposal.take() else { return };
        let Some(policies) = record.policies() else { return };
        if policies.pending().is_some() || policies.current().number >= policy.number {
            return;
        }
        let waiting = QueuedChange { policy, by: self.config.me, at: now, limits: RESTORE_LIMITS };
        record.submit(now, Command::Queue(waiting));
    }
}
