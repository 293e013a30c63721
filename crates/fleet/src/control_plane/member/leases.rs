//! The leases that a member has given to followers. They outlast connections: who is cut off may act until its lease
//! is over, and only then is it no longer waited for.

use super::sessions::Session;
use super::{Member, MemberView};
use crate::Micros;
use crate::control_plane::messages::FollowerId;

/// A lease that was given to a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Granted {
    /// When it is over for certain, by this member's clock.
    pub(super) until: Micros,
    /// The follower's name, for operators.
    pub(super) name: String,
}

impl Member {
    /// How long a lease may be that a session asks for now; `None` if it may have none.
    ///
    /// A follower gets one only once it heeds the newest word that admission stops, and on a new connection only once
    /// it heeds the change under way: what this member has said in the log for its followers holds of this one too.
    pub(super) fn lease_for(&self, now: Micros, session: &Session, view: MemberView<'_>) -> Option<Micros> {
        let (_, own_until) = view.lease?;
        let least = match session.leased {
            true => view.policies.barrier(),
            false => view.policies.barrier().max(view.policies.includes_pending()),
        };
        if self.leaving || session.fleet != Some(view.fleet) || session.revision < least {
            return None;
        }
        // It ends before this member's own, by any clock that is not faster than the margin allows.
        let left = own_until.saturating_sub(now).saturating_sub(self.config.timing.margin);
        let length = self.config.timing.follower_lease.min(left);
        (length > 0).then_some(length)
    }

    /// Keeps the lease that a follower was just given.
    pub(super) fn grant(&mut self, now: Micros, follower: FollowerId, name: &str, length: Micros) {
        // Its own count runs from when it asked, which was before now.
        let until = now + length + self.config.timing.margin;
        let granted =
            self.granted.entry(follower).or_insert_with(|| Granted { until, name: name.to_string() });
        granted.until = granted.until.max(until);
        self.tally.leases += 1;
    }

    /// Forgets leases that are over.
    pub(super) fn forget_leases(&mut self, now: Micros) {
        self.granted.retain(|_, granted| now < granted.until);
    }

    /// When the next lease is over, if any was given.
    pub fn next_lease_end(&self) -> Option<Micros> {
        self.granted.values().map(|g| g.until).min()
    }
}
