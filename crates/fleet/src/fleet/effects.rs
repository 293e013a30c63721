//! Converts effects of the replicated log into events.

use super::*;

impl Fleet {
    /// Queues the group's outgoing messages and converts its effects into events.
    pub(super) fn process_effects(&mut self, now: Micros) {
        let Some(group) = &mut self.group else { return };
        let fleet = group.founding.id;
        let messages = std::mem::take(&mut group.messages);
        self.messages
            .extend(messages.into_iter().map(|(to, bytes)| (peer_of(to), Message::Log(fleet, bytes))));
        let leader = group.leader().map(peer_of);
        if leader != self.leader {
            self.leader = leader;
            self.events.push_back(FleetEvent::LeaderChanged(leader));
        }
        let (effects, restored) = (std::mem::take(&mut group.effects), std::mem::take(&mut group.restored));
        if restored {
            self.apply_snapshot(now);
        }
        effects.into_iter().for_each(|e| self.apply_effect(now, e));
    }

    pub(super) fn apply_effect(&mut self, now: Micros, effect: Effect) {
        let is_own = |h: Holder| h.incarnation == self.incarnation;
        match effect {
            Effect::Registered(h, asked) => {
                self.renewals_seen.insert(h, now);
                if is_own(h) {
                    let until = asked + self.config.lease;
                    if until > now && self.lease.is_none() {
                        self.lease = Some((h, until));
                        self.renew_at = now;
                        self.events.push_back(FleetEvent::LeaseAcquired(h));
                    }
                }
            }
            Effect::Renewed(h, asked) => {
                self.renewals_seen.insert(h, now);
                if let Some((mine, until)) = &mut self.lease
                    && *mine == h
                {
                    *until = (*until).max(asked + self.config.lease);
                }
            }
            Effect::Ended(h) => {
                self.renewals_seen.remove(&h);
                if self.lease.is_some_and(|(mine, _)| mine == h) {
                    self.lease = None;
                    self.register_at = now;
                    self.release_requests(h);
                }
                self.events.push_back(FleetEvent::LeaseEnded(h));
            }
            Effect::Changed(part) => self.events.push_back(FleetEvent::StateChanged(part)),
            Effect::Work(e) => self.apply_request_effect(e),
        }
    }

    /// Handles an effect on an in-flight request.
    fn apply_request_effect(&mut self, effect: ledger::Effect) {
        use ledger::Effect;
        let is_own = |h: Holder| h.incarnation == self.incarnation;
        match effect {
            Effect::Opened(h, request_id) if is_own(h) => {
                if self.lease.is_some_and(|(mine, _)| mine == h) {
                    self.owned.insert(request_id);
                    self.events.push_back(FleetEvent::Opened(request_id));
                }
            }
            Effect::AlreadyRecorded(h, request_id) if is_own(h) => {
                self.events.push_back(FleetEvent::AlreadyRecorded(request_id))
            }
            Effect::Full(h, request_id) | Effect::LeaseEnded(h, request_id) if is_own(h) => {
                self.events.push_back(FleetEvent::NotRecorded(request_id));
            }
            Effect::Opened(..) | Effect::AlreadyRecorded(..) | Effect::Full(..) | Effect::LeaseEnded(..) => {}
            Effect::Reassigned { request_id, from, by } => {
                let mine = is_own(by) && self.lease.is_some_and(|(h, _)| h == by);
                if mine {
                    self.owned.insert(request_id);
                }
                self.events.push_back(FleetEvent::Reassigned { request_id, from, by, mine });
            }
            Effect::Closed(request_id, end) => {
                self.owned.remove(&request_id);
                self.events.push_back(FleetEvent::Closed(request_id, end));
            }
        }
    }

    /// Handles a snapshot that replaced the state: derives this peer's lease and requests from it, as the effects of the
    /// skipped entries were not seen.
    pub(super) fn apply_snapshot(&mut self, now: Micros) {
        let Some(state) = self.group.as_ref().map(Group::state) else { return };
        self.events
            .extend([FleetEvent::StateChanged(StateKind::Plan), FleetEvent::StateChanged(StateKind::Policy)]);
        let alive = state.alive().clone();
        self.renewals_seen = alive.iter().map(|h| (*h, now)).collect();
        let Some((holder, _)) = self.lease else { return };
        if !alive.contains(&holder) {
            self.lease = None;
            self.register_at = now;
            return self.release_requests(holder);
        }
        let owned: BTreeSet<u64> = state.work().owned(holder).collect();
        for request_id in self.owned.difference(&owned) {
            self.events.push_back(FleetEvent::Closed(*request_id, Outcome::Removed));
        }
        for &request_id in owned.difference(&self.owned) {
            self.events.push_back(FleetEvent::Reassigned {
                request_id,
                from: holder,
                by: holder,
                mine: true,
            });
        }
        self.owned = owned;
    }
}
