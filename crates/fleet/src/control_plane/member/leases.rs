//! Leases granted to followers. A lease outlives its connection: a disconnected follower may act until its
//! lease expires, and the member waits for it until then.

use super::sessions::Session;
use super::{Member, MemberView};
use crate::Micros;
use crate::control_plane::messages::FollowerId;

/// A lease granted to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GrantedLease {
    /// When it has expired on every clock, by this member's clock.
    pub(super) until: Micros,
    /// The follower's name, for operators.
    pub(super) name: String,
}

impl Member {
    /// The duration of the lease that a session may be granted now; `None` if it may have none.
    ///
    /// A follower gets a lease only once it has applied the latest closing of admission. For the first lease
    /// on a connection it must also have applied the pending change, because what this member has already
    /// submitted to the log on behalf of its followers covers this one too.
    pub(super) fn lease_for(&self, now: Micros, session: &Session, view: MemberView<'_>) -> Option<Micros> {
        let (_, own_until) = view.lease?;
        let least = match session.leased {
            true => view.policies.barrier(),
            false => view.policies.barrier().max(view.policies.pending_revision()),
        };
        if self.leaving || session.fleet != Some(view.fleet) || session.revision < least {
            return None;
        }
        // It expires before the member's own lease on any clock whose drift stays within the margin.
        let left = own_until.saturating_sub(now).saturating_sub(self.config.timing.margin);
        let length = self.config.timing.follower_lease.min(left);
        (length > 0).then_some(length)
    }

    /// Records a lease that was just granted.
    pub(super) fn grant(&mut self, now: Micros, follower: FollowerId, name: &str, length: Micros) {
        // The follower counts from the time of its request, which is earlier than `now`.
        let until = now + length + self.config.timing.margin;
        let granted =
            self.granted.entry(follower).or_insert_with(|| GrantedLease { until, name: name.to_string() });
        granted.until = granted.until.max(until);
        self.counters.leases += 1;
    }

    /// Drops expired leases.
    pub(super) fn drop_expired_leases(&mut self, now: Micros) {
        self.granted.retain(|_, granted| now < granted.until);
    }

    /// When the next lease expires, if any is granted.
    pub fn next_lease_end(&self) -> Option<Micros> {
        self.granted.values().map(|g| g.until).min()
    }
}
