//! The Raft group of a fleet, by the `raft` crate, and the state that its log produces.
//!
//! Peers have no durable storage, so a restarted process must not reuse its node id: every incarnation has an id of its
//! own. A new incarnation is added as a learner; once it has caught up, it replaces its peer's former incarnation
//! in one joint configuration change.

mod membership;
mod ready;

use crate::log::Log;
use crate::state::{Command, Effect, ReplicatedState};
use crate::wire::Founding;
use crate::{Incarnation, Micros, extension, peer_of};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, Message, MessageType,
    Snapshot,
};
use raft::{Config, RawNode, SnapshotStatus, StateRole, Storage};
use std::collections::VecDeque;

/// Ticks without a message from the leader before the first peer starts an election; each further peer waits one tick
/// more, so that they don't start at once.
const ELECTION_TICKS: usize = 6;
/// Entries kept before a snapshot, so that peers slightly behind don't need the snapshot.
const RETAINED_ENTRIES: u64 = 1_024;
/// A learner at most this many entries behind the commit index has caught up.
const MAX_LEARNER_LAG: u64 = 256;
/// The log is compacted once it has grown by more bytes than this and than the size of the last snapshot.
const MIN_COMPACTION_BYTES: usize = 1 << 20;
/// The most batches that are proposed but not yet applied; further ones wait.
const MAX_PENDING_BATCHES: usize = 64;
/// Ticks after which a snapshot is reported to the library as failed.
const SNAPSHOT_TIMEOUT_TICKS: u64 = 24;
/// Ticks after which a batch that was not applied is proposed again.
const REPROPOSE_TICKS: u64 = 8;

/// One node of the Raft group.
pub struct Group {
    /// The initial configuration of its fleet.
    pub founding: Founding,
    me: Incarnation,
    node: RawNode<Log>,
    log: Log,
    state: ReplicatedState,
    applied: u64,
    /// The decoded state of the last received snapshot, until the library applies it.
    incoming_state: Option<ReplicatedState>,
    tick_interval: Micros,
    tick_at: Micros,
    /// Own batches that are not applied yet: number, entry, and time of the last proposal.
    pending: VecDeque<(u64, Vec<u8>, Micros)>,
    next_batch: u64,
    /// Bytes appended to the log since the last snapshot.
    bytes_since_snapshot: usize,
    snapshot_size: usize,
    /// Incarnations that a snapshot was sent to, and when: the library sends them no entries until the outcome is known.
    snapshots_in_transit: Vec<(Incarnation, Micros)>,
    /// Outgoing messages, by the incarnation to send them to.
    pub messages: Vec<(Incarnation, Vec<u8>)>,
    /// Effects of the applied entries, in order.
    pub effects: Vec<Effect>,
    /// Set when a snapshot replaced the state, so that the effects of some entries are missing.
    pub restored: bool,
    /// The number of messages and entries that were rejected.
    pub rejected: u64,
}

fn founding_snapshot(founding: &Founding) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (1, 1);
    meta.set_conf_state(ConfState::from((founding.voters.clone(), Vec::new())));
    snapshot.data = ReplicatedState::new(founding.limits, founding.policy).encode().into();
    snapshot
}

impl Group {
    /// Creates the node of an incarnation; one that the founding does not name starts with an empty log and joins later.
    pub fn new(
        founding: Founding,
        me: Incarnation,
        tick_interval: Micros,
        now: Micros,
    ) -> raft::Result<Group> {
        let founder = founding.voters.contains(&me);
        let log = if founder { Log::from_snapshot(founding_snapshot(&founding))? } else { Log::default() };
        let applied = u64::from(founder);
        let peer_offset = usize::from(peer_of(me));
        let config = Config {
            id: me,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: 1,
            min_election_tick: ELECTION_TICKS + peer_offset,
            max_election_tick: ELECTION_TICKS + peer_offset + 1,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let node = RawNode::new(&config, log.clone(), &slog::Logger::root(slog::Discard, slog::o!()))?;
        Ok(Group {
            state: ReplicatedState::new(founding.limits, founding.policy),
            founding,
            me,
            node,
            log,
            applied,
            incoming_state: None,
            tick_interval,
            tick_at: now + tick_interval,
            pending: VecDeque::new(),
            next_batch: 1,
            bytes_since_snapshot: 0,
            snapshot_size: 0,
            snapshots_in_transit: Vec::new(),
            messages: Vec::new(),
            effects: Vec::new(),
            restored: false,
            rejected: 0,
        })
    }

    /// The replicated state, as applied here.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this node is the leader.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<Incarnation> {
        Some(self.node.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Whether this node has a state: as a founding member or from the log. False while it waits to be added.
    pub fn has_state(&self) -> bool {
        self.applied > 0
    }

    /// Whether any entry was committed after the founding.
    pub fn has_committed(&self) -> bool {
        self.applied > 1
    }

    /// Whether this incarnation has a vote.
    pub fn is_voter(&self) -> bool {
        self.log.members().voters.contains(&self.me)
    }

    /// The number of own batches that are not applied yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether another batch can be proposed.
    pub fn can_propose(&self) -> bool {
        self.pending.len() < MAX_PENDING_BATCHES
    }

    /// When [`Group::tick`] has to be called next.
    pub fn next_due(&self) -> Micros {
        self.tick_at
    }

    /// Proposes commands as one batch.
    pub fn propose(&mut self, commands: &[Command], now: Micros) {
        let number = self.next_batch;
        let Ok(entry) = extension::encode_batch(self.me, number, commands) else { return };
        self.next_batch += 1;
        // Without a leader the proposal is dropped; tick() proposes it again.
        let _ = self.node.propose(Vec::new(), entry.clone());
        self.pending.push_back((number, entry, now));
        self.process_ready();
    }

    /// Handles a Raft message.
    pub fn step(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            self.rejected += 1;
            return;
        };
        // The library panics on a heartbeat whose commit index is past the end of the log.
        let last = self.log.last_index().unwrap_or(0);
        let past_end = message.get_msg_type() == MessageType::MsgHeartbeat && message.commit > last;
        let snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
        if snapshot {
            self.incoming_state = ReplicatedState::decode(&message.get_snapshot().data).ok();
        }
        let unreadable = snapshot && self.incoming_state.is_none();
        if message.to != self.me || past_end || unreadable || self.node.step(message).is_err() {
            self.rejected += 1;
        }
        self.process_ready();
    }

    /// Advances the time to `now`.
    pub fn tick(&mut self, now: Micros) {
        // A long pause of this process counts as one tick, so that it does not make the leader seem lost.
        while self.tick_at <= now {
            self.node.tick();
            self.tick_at = if self.tick_at + 4 * self.tick_interval < now { now } else { self.tick_at }
                + self.tick_interval;
        }
        // A failed snapshot is sent again; the library learns from the receiver's response that one has arrived.
        let late = now.saturating_sub(SNAPSHOT_TIMEOUT_TICKS * self.tick_interval);
        let (timed_out, in_transit) =
            std::mem::take(&mut self.snapshots_in_transit).into_iter().partition(|(_, at)| *at <= late);
        self.snapshots_in_transit = in_transit;
        let timed_out: Vec<(Incarnation, Micros)> = timed_out;
        timed_out
            .into_iter()
            .for_each(|(incarnation, _)| self.node.report_snapshot(incarnation, SnapshotStatus::Failure));
        let again = now.saturating_sub(REPROPOSE_TICKS * self.tick_interval);
        if self.leader().is_some() && self.pending.front().is_some_and(|(_, _, at)| *at <= again) {
            for (_, entry, at) in &mut self.pending {
                *at = now;
                if self.node.propose(Vec::new(), entry.clone()).is_err() {
                    break;
                }
            }
        }
        self.process_ready();
    }
}
