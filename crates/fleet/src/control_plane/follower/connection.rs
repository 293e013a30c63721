//! Selection of the member a follower connects to, and failover to another member.

use super::{ConnectionAction, DisconnectReason, Follower, FollowerEvent};
use crate::Micros;
use crate::control_plane::messages::{FollowerMessage, VERSION};
use rand_core::RngCore;

/// The reconnect delay doubles with each consecutive failure, at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// State of the connection to a member, which is given by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connection {
    /// Not connected; to be dialed at `dial_at`.
    Idle { member: usize, dial_at: Micros },
    /// Dialing; fails if the connection is not established by `until`.
    Dialing { member: usize, until: Micros },
    /// Subscription sent; the member has to answer by `until`.
    Subscribing { member: usize, until: Micros },
    /// Subscribed: the time of the last message, and since when the member has granted no lease.
    Following { member: usize, last_heard: Micros, no_lease_since: Option<Micros> },
}

impl Connection {
    pub(super) fn member(self) -> usize {
        match self {
            Connection::Idle { member, .. }
            | Connection::Dialing { member, .. }
            | Connection::Subscribing { member, .. }
            | Connection::Following { member, .. } => member,
        }
    }
}

impl Follower {
    /// Chooses the next member to connect to, preferring members of the same region and avoiding the one just
    /// lost.
    pub(super) fn choose_member(&mut self, now: Micros, lost: Option<usize>) {
        let count = self.config.same_region.len();
        let others = |near: bool| -> Vec<usize> {
            (0..count).filter(|m| Some(*m) != lost && self.config.same_region[*m] == near).collect()
        };
        let (near, far) = (others(true), others(false));
        // Every second failure selects from the remote members, in case all members of the region are down.
        let mut from = if near.is_empty() || self.failures % 2 == 1 && !far.is_empty() { far } else { near };
        if from.is_empty() {
            from = (0..count).collect();
        }
        let member = from.get(self.draw(from.len() as u64) as usize).copied().unwrap_or(0);
        // A random delay spreads the reconnects, so that the followers of a lost member do not reach the
        // others at once.
        let window = self.config.timing.renew_every << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let pause = self.draw(window.min(self.config.timing.lease) + 1);
        self.connection = Connection::Idle { member, dial_at: now + pause };
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub(super) fn connection_deadline(&self) -> Micros {
        let timing = &self.config.timing;
        match self.connection {
            Connection::Idle { dial_at, .. } => dial_at,
            Connection::Dialing { until, .. } | Connection::Subscribing { until, .. } => until,
            Connection::Following { last_heard, no_lease_since, .. } => {
                let moves = no_lease_since.map_or(Micros::MAX, |since| since + timing.lease);
                (last_heard + timing.follower_lease).min(moves)
            }
        }
    }

    /// Dials a member when due, and drops the connection when its deadline has passed.
    pub(super) fn tick_connection(&mut self, now: Micros) {
        if self.connection_deadline() > now {
            return;
        }
        match self.connection {
            Connection::Idle { member, .. } => {
                let until = now + self.config.timing.follower_lease;
                self.connection = Connection::Dialing { member, until };
                self.counters.dials += 1;
                self.connection_actions.push(ConnectionAction::Dial(member));
            }
            Connection::Dialing { .. } | Connection::Subscribing { .. } => {
                self.fail_over(now, DisconnectReason::Silent)
            }
            Connection::Following { last_heard, .. } => {
                let silent = last_heard + self.config.timing.follower_lease <= now;
                self.fail_over(
                    now,
                    if silent { DisconnectReason::Silent } else { DisconnectReason::NoLease },
                );
            }
        }
    }

    /// The connection requested with [`ConnectionAction::Dial`] is established.
    pub fn connected(&mut self, now: Micros) {
        let Connection::Dialing { member, .. } = self.connection else { return };
        let until = now + self.config.timing.follower_lease;
        self.connection = Connection::Subscribing { member, until };
        self.outgoing.clear();
        self.outgoing.push(FollowerMessage::Subscribe {
            version: VERSION,
            group: self.config.group.clone(),
            follower: self.id,
            name: self.config.name.clone(),
            resume: self.revision(),
            policy: self.policy_number,
        });
    }

    /// The connection was closed or could not be established.
    pub fn disconnected(&mut self, now: Micros) {
        if !matches!(self.connection, Connection::Idle { .. }) {
            self.fail_over(now, DisconnectReason::Closed);
        }
    }

    /// Disconnects and chooses another member. The current lease remains valid until it expires.
    pub(super) fn fail_over(&mut self, now: Micros, why: DisconnectReason) {
        let member = self.connection.member();
        let followed = self.member().is_some();
        self.failures = if followed { 0 } else { self.failures.saturating_add(1) };
        self.events.push_back(FollowerEvent::Disconnected(member, why));
        self.connection_actions.push(ConnectionAction::Close);
        self.outgoing.clear();
        self.choose_member(now, Some(member));
    }
}
