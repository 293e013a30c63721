//! The lease: kept, lost, and as leader, said to be over.

use super::*;

/// How often the leader tells that time has passed, as a rule and while a policy is under way.
const SWEEP: Micros = 1_000_000;
const HURRY: Micros = 200_000;

impl Fleet {
    pub(super) fn lose(&mut self, holder: Holder) {
        self.mine.clear();
        self.events.push_back(FleetEvent::Lost(holder));
    }

    /// A lease that ran out is over here first: nothing that it stood for is done after.
    pub(super) fn check_lease(&mut self, now: Micros) {
        if let Some((holder, until)) = self.lease
            && until <= now
        {
            self.lease = None;
            self.lose(holder);
            // What waits was meant under that lease. If it still holds for the others, it is given back.
            self.queue.clear();
            self.queue.push(Command::Leave(holder));
            self.flush_by(now);
            self.register_at = now;
        }
    }

    pub(super) fn keep_lease(&mut self, now: Micros) {
        let Some(group) = &self.group else { return };
        let every = self.config.lease / RENEWALS;
        match self.lease {
            Some((holder, _)) if self.renew_at <= now => {
                self.renew_at = now + every;
                self.queue.push(Command::Renew(holder, now));
                self.flush_by(now);
            }
            None if self.register_at <= now && group.leader().is_some() && group.votes() => {
                self.register_at = now + self.config.lease;
                // Its length counts from here, whenever it is seen.
                self.queue.push(Command::Register(self.incarnation, now));
                self.flush_by(now);
            }
            _ => {}
        }
    }

    /// As leader: says whose lease is over, and that time has passed.
    pub(super) fn lead(&mut self, now: Micros) {
        let Some(group) = self.group.as_ref().filter(|g| g.leads()) else { return };
        let agreed = group.agreed();
        let others = agreed.alive().iter().filter(|h| h.incarnation != self.incarnation);
        let alive: Vec<(Holder, u64)> = others.filter_map(|h| Some((*h, agreed.renewals(*h)?))).collect();
        // What waits for time to pass is looked at more often while a policy is under way.
        let (timed, hurry) = (agreed.keeps_time(), agreed.policy().pending().is_some());
        for (holder, renewals) in alive {
            let seen = self.renewed.entry(holder).or_insert(now);
            if now > *seen + self.config.lease + self.config.margin {
                *seen = now;
                self.queue.push(Command::Expire(holder, renewals));
                self.flush_by(now);
            }
        }
        if self.sweep_at <= now || (hurry && self.sweep_at > now + HURRY) {
            self.sweep_at = now + if hurry { HURRY } else { SWEEP };
            if timed {
                self.queue.push(Command::Sweep(now));
                self.flush_by(now);
            }
        }
    }
}
