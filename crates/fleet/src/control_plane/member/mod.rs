//! The followers of one member: connections, leases, and the changes sent to each.
//!
//! `sessions` handles connections and requests, `leases` the granted leases, `streams` the changes sent to
//! each follower, and `consent` what the member submits to the log on behalf of itself and its followers.

mod consent;
mod leases;
mod sessions;
mod streams;
mod violation;

use super::messages::{FollowerId, MemberMessage};
use super::timing::Timing;
use crate::policy::{Action, Participant, Policies, Policy, PolicyLog};
use crate::{Holder, Micros, Peer};
use consent::Deferred;
use leases::GrantedLease;
use sessions::Session;
use std::collections::{BTreeMap, VecDeque};
pub use violation::Violation;

/// Id of a follower's connection, assigned by the host.
pub type SessionId = u64;

/// Configuration of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberConfig {
    /// The group's name.
    pub group: String,
    /// This member's number.
    pub me: Peer,
    /// The names of the other members.
    pub others: Vec<String>,
    /// Time settings of the group.
    pub timing: Timing,
    /// Maximum number of followers.
    pub max_followers: usize,
    /// Maximum number of unacknowledged snapshots; further followers wait in a queue.
    pub max_snapshots: usize,
}

/// Counters of a member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberCounters {
    /// Subscriptions accepted.
    pub subscribed: u64,
    /// Subscriptions rejected.
    pub rejected: u64,
    /// Subscriptions that resumed from a revision.
    pub resumed: u64,
    /// Snapshots sent.
    pub snapshots: u64,
    /// Changes sent.
    pub changes: u64,
    /// Leases granted or renewed.
    pub leases: u64,
    /// Renewals that were not granted a lease.
    pub denied: u64,
    /// Connections closed because no message arrived.
    pub silent: u64,
}

/// A member's view of the agreed state at one moment.
#[derive(Clone, Copy)]
pub struct MemberView<'a> {
    /// Id of the log.
    pub fleet: u64,
    /// The agreed policies.
    pub policies: &'a Policies,
    /// The member's own lease, and when it expires by the member's clock.
    pub lease: Option<(Holder, Micros)>,
}

/// The state machine of a member towards its followers. Sans-I/O: the host sends [`Member::outgoing`] and
/// closes the connections in [`Member::closing`].
pub struct Member {
    config: MemberConfig,
    participant: Participant,
    sessions: BTreeMap<SessionId, Session>,
    granted: BTreeMap<FollowerId, GrantedLease>,
    /// Sessions that wait for a snapshot slot, in order.
    snapshot_queue: VecDeque<SessionId>,
    deferred: Option<Deferred>,
    /// The log id and revision up to which all sessions were last served.
    sent_up_to: Option<(u64, u64)>,
    /// The highest policy number any follower has admitted requests under.
    followers_policy: u64,
    restore_proposal: Option<Policy>,
    leaving: bool,
    /// When the connections are next checked for silence.
    next_check_at: Micros,
    /// Messages to send to followers.
    pub outgoing: Vec<(SessionId, MemberMessage)>,
    /// Sessions to close once their pending messages are written.
    pub closing: Vec<SessionId>,
    /// Counters.
    pub counters: MemberCounters,
}

impl Member {
    /// Creates a member without followers.
    pub fn new(config: MemberConfig) -> Member {
        Member {
            config,
            participant: Participant::default(),
            sessions: BTreeMap::new(),
            granted: BTreeMap::new(),
            snapshot_queue: VecDeque::new(),
            deferred: None,
            sent_up_to: None,
            followers_policy: 0,
            restore_proposal: None,
            leaving: false,
            next_check_at: 0,
            outgoing: Vec::new(),
            closing: Vec::new(),
            counters: MemberCounters::default(),
        }
    }

    /// The member's own participant in policy changes.
    pub fn participant(&self) -> &Participant {
        &self.participant
    }

    /// Number of subscribed followers.
    pub fn followers(&self) -> usize {
        self.sessions.values().filter(|s| s.subscribed.is_some()).count()
    }

    /// Number of granted leases that have not expired.
    pub fn leases(&self, now: Micros) -> usize {
        self.granted.values().filter(|g| now < g.until).count()
    }

    /// The highest policy number that this member or one of its followers has admitted requests under. A
    /// newly founded group must not start below it.
    pub fn known_policy(&self) -> u64 {
        self.participant.number().max(self.followers_policy)
    }

    /// Processes a change of the agreed state or the passage of time: sends new changes to followers and
    /// submits what the followers have consented to. `check` returns the faults of a policy on this
    /// dispatcher.
    pub fn poll(
        &mut self,
        now: Micros,
        record: &mut impl MemberLog,
        check: &mut dyn FnMut(&Policy) -> Vec<String>,
    ) -> Vec<Action> {
        if self.deferred.is_some() {
            self.drop_expired_leases(now);
        }
        let holder = record.holds(now);
        let acts = self.participant.poll(now, self.config.me, holder, record.policies(), check);
        let mut told = Vec::new();
        for act in acts {
            match act {
                Action::Submit(command) => self.defer(now, record, command),
                act => told.push(act),
            }
        }
        self.submit_deferred(now, record);
        record.mark_applied(self.known_policy());
        if let Some(view) = record.view(now) {
            self.send_changes(view);
        }
        told
    }

    /// Shuts down: tells all followers and grants no further leases.
    pub fn leave(&mut self) {
        self.leaving = true;
        let all: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session in all {
            self.outgoing.push((session, MemberMessage::GoAway));
            self.closing.push(session);
        }
    }
}

/// The replicated log as seen by a member.
pub trait MemberLog: PolicyLog {
    /// The current agreed state; `None` if this member has not received it yet.
    fn view(&self, now: Micros) -> Option<MemberView<'_>>;
}

impl MemberLog for crate::Fleet {
    fn view(&self, now: Micros) -> Option<MemberView<'_>> {
        let fleet = self.fleet_id()?;
        Some(MemberView { fleet, policies: self.policies()?, lease: self.lease(now) })
    }
}
