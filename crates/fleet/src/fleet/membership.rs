//! Bootstrapping a fleet, joining one, and abandoning one that has lost its majority.

use super::*;

impl Fleet {
    /// Handles a message from a peer.
    pub fn handle_message(&mut self, now: Micros, from: Peer, message: Message) {
        match message {
            Message::Hello { incarnation, fleet, formed, policy, .. } => {
                let id = fleet.as_ref().map(|f| f.id);
                self.handle_hello(
                    now,
                    from,
                    PeerStatus { incarnation, fleet: id, policy, at: now },
                    fleet,
                    formed,
                );
            }
            Message::Log(fleet, bytes) => {
                if self.group.is_none()
                    && let Some(other) = self.joinable.take_if(|o| o.id == fleet)
                {
                    self.join(now, other);
                }
                if let Some(group) = self.group.as_mut().filter(|g| g.founding.id == fleet) {
                    group.step(&bytes);
                }
            }
            Message::Fetch(request_id) => {
                self.events.push_back(FleetEvent::ResultRequested(from, request_id))
            }
            Message::Result(request_id, pages) => {
                self.events.push_back(FleetEvent::ResultReceived(request_id, pages))
            }
        }
        self.process_effects(now);
    }

    pub(super) fn handle_hello(
        &mut self,
        now: Micros,
        from: Peer,
        heard: PeerStatus,
        fleet: Option<Founding>,
        formed: bool,
    ) {
        let incarnation = heard.incarnation;
        if peer_of(incarnation) != from || !self.config.peers.contains(&from) {
            return;
        }
        let id = fleet.as_ref().map(|f| f.id);
        self.peers_heard.insert(from, heard);
        let own = self.group.as_ref().map(|g| g.founding.id);
        if own.is_some() && (id.is_none() || id == own) {
            self.joining.insert(from, incarnation);
        }
        let Some(fleet) = fleet else { return };
        let unformed = self.group.as_ref().is_some_and(|g| !g.has_committed());
        // A peer that waits for membership in a fleet that no longer exists joins a fleet whose founding names its
        // incarnation. Otherwise it would abandon the old fleet later and return as a new incarnation, and each
        // further founding would again name an incarnation that has ended.
        let waits = self.group.as_ref().is_some_and(|g| !g.has_state());
        let named = waits && id != own && fleet.voters.contains(&self.incarnation);
        if named || unformed && formed && id != own {
            // Two fleets were founded at once and the other one has formed.
            self.abandon();
        }
        if self.group.is_none() {
            match fleet.voters.contains(&self.incarnation) {
                true => self.join(now, fleet),
                false => self.joinable = Some(fleet),
            }
        }
    }

    pub(super) fn other_peers(&self) -> impl Iterator<Item = Peer> + '_ {
        self.config.peers.iter().copied().filter(|p| *p != self.config.me)
    }

    pub(super) fn recently_heard(&self, now: Micros) -> impl Iterator<Item = (Peer, PeerStatus)> + '_ {
        let oldest = now.saturating_sub(MAX_HELLO_AGE * HELLO_TICKS * self.config.tick);
        self.peers_heard.iter().filter(move |(_, h)| h.at >= oldest).map(|(p, h)| (*p, *h))
    }

    pub(super) fn majority(&self) -> usize {
        self.config.peers.len() / 2 + 1
    }

    /// Founds a fleet if a majority of the peers has none and this is the lowest of them. Only one such fleet can form, as
    /// any two majorities share a peer and a peer takes part in one founding at a time.
    pub(super) fn found_fleet(&mut self, now: Micros) {
        if now < self.started_at + 2 * HELLO_TICKS * self.config.tick {
            return;
        }
        let fresh: BTreeMap<Peer, PeerStatus> = self.recently_heard(now).collect();
        let first = fresh.keys().all(|p| *p > self.config.me);
        let free = fresh.values().all(|h| h.fleet.is_none());
        if !first || !free || fresh.len() + 1 < self.majority() {
            return;
        }
        let voter = |p: &Peer| match fresh.get(p) {
            Some(h) => h.incarnation,
            None if *p == self.config.me => self.incarnation,
            None => incarnation(*p, 0),
        };
        let voters = self.config.peers.iter().map(voter).collect();
        let policy = fresh.values().map(|h| h.policy).fold(self.policy, u64::max);
        let founding =
            Founding { id: self.rng.next_u64(), voters, limits: self.config.limits, at: now, policy };
        self.join(now, founding);
        self.hello_at = now;
    }

    pub(super) fn join(&mut self, now: Micros, founding: Founding) {
        let id = founding.id;
        if let Ok(group) = Group::new(founding, self.incarnation, self.config.tick, now) {
            (self.group, self.joinable) = (Some(group), None);
            (self.leaderless_since, self.hello_at) = (Some(now), now);
            self.events.push_back(FleetEvent::FleetJoined(id));
        }
    }

    pub(super) fn abandon(&mut self) {
        let Some(group) = self.group.take() else { return };
        if let Some((holder, _)) = self.lease.take() {
            self.release_requests(holder);
        }
        (self.leader, self.leaderless_since) = (None, None);
        self.renewals_seen.clear();
        self.queue.clear();
        self.joining.clear();
        // Rejoins as a new incarnation, as the votes of this one belong to the old fleet. An incarnation that never
        // became a member has not voted.
        if group.has_state() {
            self.incarnation = incarnation(self.config.me, (self.incarnation & (u64::MAX >> 8)) + 1);
        }
        self.events.push_back(FleetEvent::FleetAbandoned(group.founding.id));
    }

    pub(super) fn abandon_if_lost(&mut self, now: Micros) {
        let Some(group) = &self.group else { return };
        match (group.leader(), self.leaderless_since) {
            (Some(_), _) => self.leaderless_since = None,
            (None, None) => self.leaderless_since = Some(now),
            // The fleet that it joined no longer exists, or the one that it founded never formed.
            (None, Some(since)) if !group.has_committed() && now > since + self.config.abandon_after / 2 => {
                self.abandon()
            }
            (None, Some(since)) if now > since + self.config.abandon_after => {
                // A majority has no fleet, or one that was founded while this peer was cut off.
                let own = Some(group.founding.id);
                let elsewhere = self.recently_heard(now).filter(|(_, h)| h.fleet != own).count();
                if elsewhere >= self.majority() {
                    self.abandon();
                }
            }
            _ => {}
        }
    }
}
