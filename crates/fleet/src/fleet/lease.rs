//! Renewal and expiry of this peer's lease and, as leader, expiry of the leases of others.

use super::*;

/// Interval at which the leader proposes [`Command::Sweep`].
const SWEEP_INTERVAL: Micros = 1_000_000;
/// Interval of the sweeps while a change of policy is pending, whose time limits need a finer resolution.
const PENDING_POLICY_SWEEP_INTERVAL: Micros = 200_000;

impl Fleet {
    pub(super) fn release_requests(&mut self, holder: Holder) {
        self.owned.clear();
        self.events.push_back(FleetEvent::LeaseLost(holder));
    }

    /// Drops an expired lease, so that this peer stops acting under it before others expire it.
    pub(super) fn drop_expired_lease(&mut self, now: Micros) {
        if let Some((holder, until)) = self.lease
            && until <= now
        {
            self.lease = None;
            self.release_requests(holder);
            // Queued commands were issued under that lease. Leave returns it, as other peers may still count it.
            self.queue.clear();
            self.queue.push(Command::Leave(holder));
            self.flush_by(now);
            self.register_at = now;
        }
    }

    pub(super) fn maintain_lease(&mut self, now: Micros) {
        let Some(group) = &self.group else { return };
        let renew_interval = self.config.lease / RENEWALS_PER_LEASE;
        match self.lease {
            Some((holder, _)) if self.renew_at <= now => {
                self.renew_at = now + renew_interval;
                self.queue.push(Command::Renew(holder, now));
                self.flush_by(now);
            }
            None if self.register_at <= now && group.leader().is_some() && group.is_voter() => {
                self.register_at = now + self.config.lease;
                // The lease runs from now, whenever the command is applied.
                self.queue.push(Command::Register(self.incarnation, now));
                self.flush_by(now);
            }
            _ => {}
        }
    }

    /// As leader, proposes the expiry of leases that were not renewed in time, and sweeps.
    pub(super) fn run_leader_duties(&mut self, now: Micros) {
        let Some(group) = self.group.as_ref().filter(|g| g.is_leader()) else { return };
        let state = group.state();
        let others = state.alive().iter().filter(|h| h.incarnation != self.incarnation);
        let alive: Vec<(Holder, u64)> = others.filter_map(|h| Some((*h, state.renewals(*h)?))).collect();
        // A pending change of policy depends on time limits, so the leader sweeps more often.
        let (has_deadlines, policy_pending) = (state.keeps_time(), state.policy().pending().is_some());
        for (holder, renewals) in alive {
            let last_renewal = self.renewals_seen.entry(holder).or_insert(now);
            if now > *last_renewal + self.config.lease + self.config.margin {
                *last_renewal = now;
                self.queue.push(Command::Expire(holder, renewals));
                self.flush_by(now);
            }
        }
        if self.sweep_at <= now || (policy_pending && self.sweep_at > now + PENDING_POLICY_SWEEP_INTERVAL) {
            self.sweep_at = now + if policy_pending { PENDING_POLICY_SWEEP_INTERVAL } else { SWEEP_INTERVAL };
            if has_deadlines {
                self.queue.push(Command::Sweep(now));
                self.flush_by(now);
            }
        }
    }
}
