//! One dispatcher's participation in its fleet: bootstrap, joining, its lease, the requests it owns, and events.
//!
//! A lease's duration is measured from the time of the renewal request at its holder, and from the time at which the
//! renewal was applied from the log at all others. So the holder stops acting before any other peer may expire the lease.

use crate::group::Group;
mod effects;
mod lease;
mod membership;
mod requests;
mod types;

pub use types::{FleetConfig, FleetEvent};

use crate::ledger::{self, Ledger, Outcome, Record};
use crate::state::{Command, Effect, ReplicatedState, StateKind};
use crate::wire::{Founding, Message};
use crate::{Holder, Incarnation, Micros, Peer, incarnation, peer_of};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    incarnation: Incarnation,
    fleet: Option<u64>,
    policy: u64,
    at: Micros,
}

/// Ticks between two hello messages to each peer.
const HELLO_TICKS: u64 = 8;
/// Hello intervals after which the last hello of a peer is stale.
const MAX_HELLO_AGE: u64 = 4;
/// Queue length from which on requests that need not be recorded are not recorded.
const MAX_QUEUED_COMMANDS: usize = 8_192;
/// Renewals per lease duration.
const RENEWALS_PER_LEASE: u64 = 5;

/// One dispatcher's participation in its fleet.
pub struct Fleet {
    config: FleetConfig,
    incarnation: Incarnation,
    rng: Pcg64Mcg,
    group: Option<Group>,
    /// A fleet of other peers, which this one joins when its leader sends a log message.
    joinable: Option<Founding>,
    peers_heard: BTreeMap<Peer, PeerStatus>,
    /// The incarnations that request membership.
    joining: BTreeMap<Peer, Incarnation>,
    started_at: Micros,
    hello_at: Micros,
    lease: Option<(Holder, Micros)>,
    renew_at: Micros,
    register_at: Micros,
    /// When the last renewal of each lease was applied here.
    renewals_seen: BTreeMap<Holder, Micros>,
    sweep_at: Micros,
    owned: BTreeSet<u64>,
    queue: Vec<Command>,
    flush_at: Option<Micros>,
    leader: Option<Peer>,
    leaderless_since: Option<Micros>,
    last_tick: Micros,
    /// The number of the policy that this dispatcher applies, set by the caller.
    pub policy: u64,
    /// Outgoing messages, for the caller to send.
    pub messages: Vec<(Peer, Message)>,
    /// Events, for the caller to handle.
    pub events: VecDeque<FleetEvent>,
}

impl Fleet {
    /// Creates an incarnation that starts now; `seed` determines the id of a fleet that it founds.
    pub fn new(config: FleetConfig, seed: u64, now: Micros) -> Fleet {
        let incarnation = incarnation(config.me, now);
        Fleet {
            incarnation,
            // Mixed with the incarnation, so that fleets founded by different incarnations get different ids.
            rng: Pcg64Mcg::seed_from_u64(seed ^ incarnation.rotate_left(17)),
            group: None,
            joinable: None,
            peers_heard: BTreeMap::new(),
            joining: BTreeMap::new(),
            started_at: now,
            hello_at: now,
            lease: None,
            renew_at: now,
            register_at: now,
            renewals_seen: BTreeMap::new(),
            sweep_at: now,
            owned: BTreeSet::new(),
            queue: Vec::new(),
            flush_at: None,
            leader: None,
            leaderless_since: Some(now),
            last_tick: now,
            policy: 0,
            messages: Vec::new(),
            events: VecDeque::new(),
            config,
        }
    }

    /// This peer's number.
    pub fn me(&self) -> Peer {
        self.config.me
    }

    /// This incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The ledger of in-flight requests, as applied here.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.state().map(ReplicatedState::work)
    }

    /// The replicated state, as applied here.
    pub fn state(&self) -> Option<&ReplicatedState> {
        self.group.as_ref().map(Group::state)
    }

    /// The holder of the current lease, if it has not expired.
    pub fn holds(&self, now: Micros) -> Option<Holder> {
        self.lease.filter(|(_, until)| now < *until).map(|(h, _)| h)
    }

    /// The current lease and its expiry by this peer's clock, if it has not expired.
    pub fn lease(&self, now: Micros) -> Option<(Holder, Micros)> {
        self.lease.filter(|(_, until)| now < *until)
    }

    /// The id of the fleet whose state is known here.
    pub fn fleet_id(&self) -> Option<u64> {
        self.group.as_ref().filter(|g| g.has_state()).map(|g| g.founding.id)
    }

    /// Whether this peer is the leader.
    pub fn is_leader(&self) -> bool {
        self.group.as_ref().is_some_and(Group::is_leader)
    }

    /// Whether the absence of a record proves that a request was never recorded: the fleet has existed for longer than
    /// a client may repeat a request.
    pub fn has_full_history(&self, now: Micros) -> bool {
        self.group.as_ref().is_some_and(|g| now >= g.founding.at + self.config.limits.retention)
    }

    /// Whether this peer owns a request and may act on it now.
    pub fn owns(&self, now: Micros, request_id: u64) -> bool {
        self.holds(now).is_some() && self.owned.contains(&request_id)
    }

    /// The message that announces this peer, sent first on every connection.
    pub fn hello(&self) -> Message {
        let fleet = self.group.as_ref().filter(|g| g.has_state()).map(|g| g.founding.clone());
        let formed = self.group.as_ref().is_some_and(Group::has_committed);
        Message::Hello {
            from: self.config.me,
            incarnation: self.incarnation,
            fleet,
            formed,
            policy: self.policy,
        }
    }

    /// When [`Fleet::tick`] has to be called next.
    pub fn next_due(&self) -> Micros {
        let lease = self.lease.map(|(_, until)| until.min(self.renew_at));
        let group = self.group.as_ref().map(Group::next_due);
        [Some(self.hello_at), lease, group, self.flush_at]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.hello_at)
    }

    /// Advances the time to `now`.
    pub fn tick(&mut self, now: Micros) {
        // After a pause of this process, renewals of others may be unread: don't count the pause against them.
        if now > self.last_tick + self.config.lease / 2 {
            self.renewals_seen.values_mut().for_each(|t| *t = now);
        }
        self.last_tick = now;
        self.drop_expired_lease(now);
        if self.hello_at <= now {
            self.hello_at = now + HELLO_TICKS * self.config.tick;
            let hello = self.hello();
            let others: Vec<Peer> = self.other_peers().collect();
            self.messages.extend(others.into_iter().map(|p| (p, hello.clone())));
        }
        match &mut self.group {
            None => self.found_fleet(now),
            Some(group) => {
                group.tick(now);
                if group.is_leader() {
                    let candidates: Vec<Incarnation> = self.joining.values().copied().collect();
                    candidates.into_iter().for_each(|incarnation| group.add_voter(incarnation));
                }
            }
        }
        self.process_effects(now);
        self.run_leader_duties(now);
        self.maintain_lease(now);
        if self.flush_at.is_some_and(|t| t <= now) {
            self.flush(now);
        }
        self.abandon_if_lost(now);
    }

    /// Proposes the queued commands as one batch; call it after handling all input of one moment.
    pub fn flush(&mut self, now: Micros) {
        let Some(group) = self.group.as_mut().filter(|g| g.can_propose()) else {
            // Pending batches have to be applied first, which needs a leader: retrying each tick is enough.
            self.flush_at = Some(now + self.config.tick);
            return;
        };
        self.flush_at = None;
        if !self.queue.is_empty() {
            let batch = std::mem::take(&mut self.queue);
            group.propose(&batch, now);
            self.process_effects(now);
        }
    }

    pub(super) fn flush_by(&mut self, at: Micros) {
        self.flush_at = Some(self.flush_at.map_or(at, |t| t.min(at)));
    }
}
