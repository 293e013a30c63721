//! A dispatcher that follows the agreed state: its connection to a member, the replicated state, and its
//! lease.
//!
//! `connection` chooses members and fails over when one is lost; `stream` handles the messages of a member.

mod connection;
mod stream;

use super::messages::{FollowerId, FollowerMessage, Rejection, Resume};
use super::timing::Timing;
use crate::policy::{Command, Gap, Policies, PolicyLog, Revision};
use crate::{Holder, Micros};
use connection::Connection;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Configuration of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerConfig {
    /// The group to follow.
    pub group: String,
    /// The follower's name, for operators.
    pub name: String,
    /// For each member, in the order of the group's configuration: whether it is in the same region and thus
    /// preferred.
    pub same_region: Vec<bool>,
    /// Time settings of the group.
    pub timing: Timing,
}

/// A request to the host about the follower's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Connect to the member with this index, after closing any existing connection.
    Dial(usize),
    /// Close the connection.
    Close,
}

/// Reason why a connection to a member ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DisconnectReason {
    /// The connection was closed or could not be established.
    Closed,
    /// No message arrived within a lease.
    Silent,
    /// The member granted no lease for too long.
    NoLease,
    /// The member is shutting down.
    GoAway,
    /// The member rejected the subscription.
    Rejected(Rejection),
    /// The connection leads to another member or to another group, or the member violated the protocol.
    WrongMember,
    /// A change is missing.
    Gap(Gap),
    /// A snapshot is older than the follower's state.
    Stale,
}

/// Events for the host's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerEvent {
    /// Subscribed to the member with this index.
    Following(usize),
    /// The connection to the member with this index ended.
    Disconnected(usize, DisconnectReason),
    /// The follower holds a lease.
    LeaseHeld,
    /// The follower's lease expired.
    LeaseLost,
}

/// Counters of a follower.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Connection attempts to members.
    pub dials: u64,
    /// Changes applied.
    pub changes: u64,
    /// Snapshots applied.
    pub snapshots: u64,
    /// Changes that did not follow the known revision.
    pub gaps: u64,
    /// Renewals that were not granted a lease.
    pub denied: u64,
}

/// The state machine of a follower. Sans-I/O: the host carries out [`Follower::connection_actions`] and sends
/// [`Follower::outgoing`].
pub struct Follower {
    config: FollowerConfig,
    id: FollowerId,
    rng: Pcg64Mcg,
    connection: Connection,
    /// Number of consecutive failed connections.
    failures: u32,
    /// Id of the log in which revisions count, and the agreed state.
    known: Option<(u64, Policies)>,
    /// The revision the host has applied.
    applied: Revision,
    /// The number of the policy the host admits requests under.
    policy_number: u64,
    /// Incremented with each connection, so that votes sent to one member are repeated to the next.
    term: u32,
    lease_until: Option<Micros>,
    renew_at: Micros,
    last_asked: Micros,
    changed: bool,
    /// Requests to the host about the connection.
    pub connection_actions: Vec<ConnectionAction>,
    /// Messages to send to the member.
    pub outgoing: Vec<FollowerMessage>,
    /// Events for the host's log.
    pub events: VecDeque<FollowerEvent>,
    /// Counters.
    pub counters: FollowerCounters,
}

impl Follower {
    /// Creates a follower without state; it connects on the first tick. `seed` randomizes the choice of
    /// members and the connection times.
    pub fn new(config: FollowerConfig, seed: u64, now: Micros) -> Follower {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let id = FollowerId(rng.next_u64());
        let mut follower = Follower {
            config,
            id,
            rng,
            connection: Connection::Idle { member: 0, dial_at: now },
            failures: 0,
            known: None,
            applied: 0,
            policy_number: 0,
            term: 0,
            lease_until: None,
            renew_at: now,
            last_asked: 0,
            changed: false,
            connection_actions: Vec::new(),
            outgoing: Vec::new(),
            events: VecDeque::new(),
            counters: FollowerCounters::default(),
        };
        follower.choose_member(now, None);
        follower
    }

    /// The latest known revision and the log it belongs to.
    pub fn revision(&self) -> Option<Resume> {
        self.known.as_ref().map(|(fleet, p)| Resume { fleet: *fleet, revision: p.revision() })
    }

    /// Index of the member it is subscribed to.
    pub fn member(&self) -> Option<usize> {
        match self.connection {
            Connection::Following { member, .. } => Some(member),
            _ => None,
        }
    }

    /// Whether the agreed state or the lease has changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// When [`Follower::tick`] has to be called next.
    pub fn next_due(&self) -> Micros {
        let connection = self.connection_deadline();
        let lease = self.lease_until.unwrap_or(Micros::MAX);
        let renew = if self.member().is_some() { self.renew_at } else { Micros::MAX };
        connection.min(lease).min(renew)
    }

    /// Handles timers: lease expiry, connection deadlines and renewals.
    pub fn tick(&mut self, now: Micros) {
        if self.lease_until.is_some_and(|until| until <= now) {
            self.lease_until = None;
            self.changed = true;
            self.events.push_back(FollowerEvent::LeaseLost);
        }
        self.tick_connection(now);
        if self.member().is_some() && self.renew_at <= now {
            self.renew(now);
        }
    }

    fn renew(&mut self, now: Micros) {
        self.renew_at = now + self.config.timing.renew_every;
        self.last_asked = now;
        let at = self.known.as_ref().map(|(fleet, _)| Resume { fleet: *fleet, revision: self.applied });
        self.outgoing.push(FollowerMessage::Renew { at, requested_at: now });
    }

    /// Shuts down: gives up the lease and tells the member.
    pub fn leave(&mut self) {
        self.lease_until = None;
        if self.member().is_some() {
            self.outgoing.push(FollowerMessage::Leave);
        }
    }
}

impl PolicyLog for Follower {
    fn holds(&self, now: Micros) -> Option<Holder> {
        let holder = Holder { incarnation: self.id.0, term: self.term };
        self.lease_until.filter(|until| now < *until).map(|_| holder)
    }

    fn policies(&self) -> Option<&Policies> {
        self.known.as_ref().map(|(_, policies)| policies)
    }

    fn submit(&mut self, _now: Micros, command: Command) -> bool {
        let message = match command {
            Command::Vote(_, number, faults) => FollowerMessage::Vote(number, faults),
            Command::Stopped(_, number) => FollowerMessage::Stopped(number),
            Command::CannotApply(_, number, why) => FollowerMessage::CannotApply(number, why),
            Command::Propose { text, digest, min_number, .. } => {
                FollowerMessage::Restore { number: min_number, text, digest }
            }
            Command::Queue(_) | Command::Back(..) | Command::Abort(_) => return false,
        };
        let connected = self.member().is_some();
        if connected {
            self.outgoing.push(message);
        }
        connected
    }

    fn mark_applied(&mut self, number: u64) {
        self.policy_number = number;
        self.applied = self.known.as_ref().map_or(0, |(_, policies)| policies.revision());
    }
}
