//! Handling of a member's messages: subscription answers, the agreed state, and leases.

use super::connection::Connection;
use super::{DisconnectReason, Follower, FollowerEvent};
use crate::control_plane::messages::MemberMessage;
use crate::policy::{Change, Policies, Revision};
use crate::{Micros, Peer};

impl Follower {
    /// Handles a message of the member. If [`Follower::take_changed`] returns true afterwards, the host must
    /// apply the agreed state before it admits further requests.
    pub fn handle_message(&mut self, now: Micros, message: MemberMessage) {
        if let Connection::Following { last_heard, .. } = &mut self.connection {
            *last_heard = now;
        }
        match (message, self.connection) {
            (MemberMessage::Welcome { group, member }, Connection::Subscribing { member: dialed, .. }) => {
                self.welcome(now, &group, member, dialed);
            }
            (MemberMessage::Rejected(why), Connection::Subscribing { .. }) => {
                self.fail_over(now, DisconnectReason::Rejected(why));
            }
            (MemberMessage::Snapshot { fleet, policies }, Connection::Following { .. }) => {
                self.snapshot(now, fleet, *policies);
            }
            (MemberMessage::Change(revision, change), Connection::Following { .. }) => {
                self.change(now, revision, change);
            }
            (MemberMessage::Keepalive { requested_at, lease, .. }, Connection::Following { .. }) => {
                self.keepalive(now, requested_at, lease);
            }
            (MemberMessage::GoAway, Connection::Following { .. }) => {
                self.fail_over(now, DisconnectReason::GoAway)
            }
            // A message that the protocol does not allow in this state: the sender is not a configured
            // member.
            (_, Connection::Subscribing { .. } | Connection::Following { .. }) => {
                self.fail_over(now, DisconnectReason::WrongMember);
            }
            _ => {}
        }
    }

    fn welcome(&mut self, now: Micros, group: &str, member: Peer, dialed: usize) {
        if group != self.config.group || usize::from(member) != dialed + 1 {
            return self.fail_over(now, DisconnectReason::WrongMember);
        }
        self.connection =
            Connection::Following { member: dialed, last_heard: now, no_lease_since: Some(now) };
        self.term += 1;
        // Votes sent to the previous member are repeated to this one.
        self.changed = true;
        self.renew_at = now;
        self.events.push_back(FollowerEvent::Following(dialed));
    }

    fn snapshot(&mut self, now: Micros, fleet: u64, policies: Policies) {
        let older =
            self.known.as_ref().is_some_and(|(f, p)| *f == fleet && p.revision() > policies.revision());
        if older {
            return self.fail_over(now, DisconnectReason::Stale);
        }
        self.known = Some((fleet, policies));
        self.applied = 0;
        self.counters.snapshots += 1;
        self.changed = true;
        // Renew at once: the acknowledgement frees the member's snapshot slot for another follower.
        self.renew_at = now;
    }

    fn change(&mut self, now: Micros, revision: Revision, change: Change) {
        let followed = self.known.as_mut().map(|(_, policies)| policies.apply_change(revision, change));
        match followed {
            Some(Ok(())) => {
                self.counters.changes += 1;
                self.changed = true;
            }
            Some(Err(gap)) => {
                self.counters.gaps += 1;
                self.fail_over(now, DisconnectReason::Gap(gap));
            }
            None => self.fail_over(now, DisconnectReason::WrongMember),
        }
    }

    fn keepalive(&mut self, now: Micros, requested_at: Micros, lease: Option<Micros>) {
        // Only a renewal sent on this connection can extend the lease, and by no more than the configured
        // duration.
        let own = requested_at <= self.last_asked;
        let length = lease.map(|l| l.min(self.config.timing.follower_lease)).filter(|_| own);
        let until = length.map(|l| requested_at + l).filter(|until| *until > now);
        let Connection::Following { no_lease_since, .. } = &mut self.connection else { return };
        match until {
            Some(until) => {
                *no_lease_since = None;
                self.failures = 0;
                if self.lease_until.is_none() {
                    self.changed = true;
                    self.events.push_back(FollowerEvent::LeaseHeld);
                }
                self.lease_until = Some(self.lease_until.map_or(until, |u| u.max(until)));
            }
            None => {
                no_lease_since.get_or_insert(now);
                self.counters.denied += 1;
            }
        }
    }
}
