//! One member's followers: who is connected, who has a lease, and what is sent to whom.
//!
//! `sessions` has connections and what they ask, `leases` the leases given, `streams` what each is sent next, and
//! `consent` what the member may say in the log for itself and all its followers.

mod consent;
mod leases;
mod sessions;
mod streams;
mod violation;

use super::messages::{FollowerId, MemberMessage};
use super::timing::Timing;
use crate::policy::{Act, Part, Policies, Policy, PolicyRecord};
use crate::{Holder, Micros, Peer};
use consent::Deferred;
use leases::Granted;
use sessions::Session;
use std::collections::{BTreeMap, VecDeque};
pub use violation::Violation;

/// A follower's connection, as its host numbers them.
pub type SessionId = u64;

/// What a member is told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberConfig {
    /// The group's name.
    pub group: String,
    /// Which of its members this is.
    pub me: Peer,
    /// The names of the other members.
    pub others: Vec<String>,
    /// Its times.
    pub timing: Timing,
    /// Followers at once at most.
    pub most_followers: usize,
    /// Snapshots under way at once at most; who needs one beyond that waits.
    pub most_snapshots: usize,
}

/// Counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberTally {
    /// Subscriptions taken.
    pub subscribed: u64,
    /// Subscriptions turned away.
    pub rejected: u64,
    /// Those that went on from a revision.
    pub resumed: u64,
    /// Snapshots sent.
    pub snapshots: u64,
    /// Changes sent.
    pub changes: u64,
    /// Leases given or renewed.
    pub leases: u64,
    /// Renewals that got none.
    pub denied: u64,
    /// Connections ended because nothing came.
    pub silent: u64,
}

/// What is agreed as a member sees it at one moment.
#[derive(Clone, Copy)]
pub struct MemberView<'a> {
    /// The founding of the log.
    pub fleet: u64,
    /// What is agreed.
    pub policies: &'a Policies,
    /// The member's own lease, and when it is over by its own clock.
    pub lease: Option<(Holder, Micros)>,
}

/// One member's side.
pub struct Member {
    config: MemberConfig,
    part: Part,
    sessions: BTreeMap<SessionId, Session>,
    granted: BTreeMap<FollowerId, Granted>,
    /// Sessions that need a snapshot and wait for others to have theirs, in order.
    snapshot_queue: VecDeque<SessionId>,
    deferred: Option<Deferred>,
    /// The founding and revision that all sessions were last brought to.
    sent_up_to: Option<(u64, u64)>,
    /// The highest number of a policy that a follower has acted by.
    followers_policy: u64,
    restore: Option<Policy>,
    leaving: bool,
    /// When all connections are looked at next.
    look_at: Micros,
    /// Messages to followers.
    pub outgoing: Vec<(SessionId, MemberMessage)>,
    /// Sessions whose connection is to end once what was sent to them is written.
    pub closing: Vec<SessionId>,
    /// Counters.
    pub tally: MemberTally,
}

impl Member {
    /// Nobody follows it yet.
    pub fn new(config: MemberConfig) -> Member {
        Member {
            config,
            part: Part::default(),
            sessions: BTreeMap::new(),
            granted: BTreeMap::new(),
            snapshot_queue: VecDeque::new(),
            deferred: None,
            sent_up_to: None,
            followers_policy: 0,
            restore: None,
            leaving: false,
            look_at: 0,
            outgoing: Vec::new(),
            closing: Vec::new(),
            tally: MemberTally::default(),
        }
    }

    /// Its own part in changes.
    pub fn part(&self) -> &Part {
        &self.part
    }

    /// How many follow it.
    pub fn followers(&self) -> usize {
        self.sessions.values().filter(|s| s.subscribed.is_some()).count()
    }

    /// How many of the leases that it gave are not over.
    pub fn leases(&self, now: Micros) -> usize {
        self.granted.values().filter(|g| now < g.until).count()
    }

    /// The highest number of a policy that it or a follower of it has acted by: a group that is founded anew must
    /// not begin below that.
    pub fn known_policy(&self) -> u64 {
        self.part.number().max(self.followers_policy)
    }

    /// Looks at what is agreed after it has moved or time has passed: sends what is new, and says in the log what may
    /// be said. `check` tells what is wrong with a policy here.
    pub fn look(
        &mut self,
        now: Micros,
        record: &mut impl MemberRecord,
        check: &mut dyn FnMut(&Policy) -> Vec<String>,
    ) -> Vec<Act> {
        if self.deferred.is_some() {
            self.forget_leases(now);
        }
        let holder = record.holds(now);
        let acts = self.part.look(now, self.config.me, holder, record.policies(), check);
        let mut told = Vec::new();
        for act in acts {
            match act {
                Act::Say(command) => self.defer(now, record, command),
                act => told.push(act),
            }
        }
        self.speak(now, record);
        record.heeded(self.known_policy());
        if let Some(view) = record.view(now) {
            self.send_changes(view);
        }
        told
    }

    /// The member ends: followers are told, and get no further lease.
    pub fn leave(&mut self) {
        self.leaving = true;
        let all: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session in all {
            self.outgoing.push((session, MemberMessage::GoAway));
            self.closing.push(session);
        }
    }
}

/// The log as a member sees it.
pub trait MemberRecord: PolicyRecord {
    /// What is agreed now; `None` if the record is not known here yet.
    fn view(&self, now: Micros) -> Option<MemberView<'_>>;
}

impl MemberRecord for crate::Fleet {
    fn view(&self, now: Micros) -> Option<MemberView<'_>> {
        let fleet = self.fleet_id()?;
        Some(MemberView { fleet, policies: self.policies()?, lease: self.lease(now) })
    }
}
