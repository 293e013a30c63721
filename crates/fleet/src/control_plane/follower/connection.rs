//! Which member a follower is connected to, and how it goes to another one.

use super::{Follower, FollowerEvent, Lost, Order};
use crate::Micros;
use crate::control_plane::messages::{FollowerMessage, VERSION};
use rand_core::RngCore;

/// A pause between connections doubles with each that fails, this many times at most.
const DOUBLINGS: u32 = 5;

/// The way to a member, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connection {
    /// To be dialed then.
    Idle { member: usize, dial_at: Micros },
    /// Dialed, and given up if it is not up by then.
    Dialing { member: usize, until: Micros },
    /// Subscribed; the member has to answer by then.
    Subscribing { member: usize, until: Micros },
    /// Followed: when it last said something, and since when it gives no lease.
    Following { member: usize, heard: Micros, no_lease_since: Option<Micros> },
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
    /// Chooses the member to connect to next: one that is near before others, any but the one that was just lost.
    pub(super) fn choose(&mut self, now: Micros, lost: Option<usize>) {
        let count = self.config.near.len();
        let others = |near: bool| -> Vec<usize> {
            (0..count).filter(|m| Some(*m) != lost && self.config.near[*m] == near).collect()
        };
        let (near, far) = (others(true), others(false));
        // With every second failure those further away have their turn, too.
        let mut from = if near.is_empty() || self.failures % 2 == 1 && !far.is_empty() { far } else { near };
        if from.is_empty() {
            from = (0..count).collect();
        }
        let member = from.get(self.draw(from.len() as u64) as usize).copied().unwrap_or(0);
        // All that followed a lost member do not come to the others at once.
        let window = self.config.timing.renew_every << self.failures.min(DOUBLINGS);
        let pause = self.draw(window.min(self.config.timing.lease) + 1);
        self.connection = Connection::Idle { member, dial_at: now + pause };
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub(super) fn connection_due(&self) -> Micros {
        let timing = &self.config.timing;
        match self.connection {
            Connection::Idle { dial_at, .. } => dial_at,
            Connection::Dialing { until, .. } | Connection::Subscribing { until, .. } => until,
            Connection::Following { heard, no_lease_since, .. } => {
                let moves = no_lease_since.map_or(Micros::MAX, |since| since + timing.lease);
                (heard + timing.follower_lease).min(moves)
            }
        }
    }

    /// Dials what is to be dialed, and leaves a member that is not there.
    pub(super) fn keep_connection(&mut self, now: Micros) {
        if self.connection_due() > now {
            return;
        }
        match self.connection {
            Connection::Idle { member, .. } => {
                let until = now + self.config.timing.follower_lease;
                self.connection = Connection::Dialing { member, until };
                self.tally.dials += 1;
                self.orders.push(Order::Dial(member));
            }
            Connection::Dialing { .. } | Connection::Subscribing { .. } => self.lose(now, Lost::Silent),
            Connection::Following { heard, .. } => {
                let silent = heard + self.config.timing.follower_lease <= now;
                self.lose(now, if silent { Lost::Silent } else { Lost::NoLease });
            }
        }
    }

    /// The connection that was ordered is up.
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
            policy: self.number,
        });
    }

    /// The connection is over, or could not be made.
    pub fn disconnected(&mut self, now: Micros) {
        if !matches!(self.connection, Connection::Idle { .. }) {
            self.lose(now, Lost::Closed);
        }
    }

    /// Goes to another member. The lease goes on to its end.
    pub(super) fn lose(&mut self, now: Micros, why: Lost) {
        let member = self.connection.member();
        let followed = self.member().is_some();
        self.failures = if followed { 0 } else { self.failures.saturating_add(1) };
        self.events.push_back(FollowerEvent::Lost(member, why));
        self.orders.push(Order::Close);
        self.outgoing.clear();
        self.choose(now, Some(member));
    }
}
