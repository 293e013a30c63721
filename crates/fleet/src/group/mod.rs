//! The replicated log of a fleet, by the `raft` crate, with the state that its entries make.
//!
//! No peer has a disk that lasts, so that none may come back under the id it had: every incarnation of a process takes
//! part under an id of its own. One that starts anew is taken in as a learner, and once it has caught up it
//! takes the place of its peer's former incarnation in one joint change.

mod pump;
mod seat;

use crate::agreed::{Agreed, Command, Effect};
use crate::log::Log;
use crate::wire::Founding;
use crate::{Incarnation, Micros, peer_of};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType, Message, MessageType,
    Snapshot,
};
use raft::{Config, RawNode, SnapshotStatus, StateRole, Storage};
use std::collections::VecDeque;

/// Ticks without a word from the leader before the first peer stands for election; each next one waits a tick
/// more, so that they do not stand at once.
const ELECTION: usize = 6;
/// Entries kept behind a snapshot, for peers that are a little late.
const KEPT: u64 = 1_024;
/// A learner this close to the end of the log has caught up.
const CAUGHT_UP: u64 = 256;
/// The log is cut once it is longer than the state and than this, in bytes.
const LEAST_CUT: usize = 1 << 20;
/// Batches under way at most; more wait.
const UNDER_WAY: usize = 64;
/// A snapshot that was not heard of after so many ticks did not come.
const SNAPSHOT: u64 = 24;
/// A batch that was not seen in the log after so many ticks is proposed again.
const AGAIN: u64 = 8;

/// A peer's part in the log.
pub struct Group {
    /// The founding of its fleet.
    pub founding: Founding,
    me: Incarnation,
    node: RawNode<Log>,
    log: Log,
    agreed: Agreed,
    applied: u64,
    /// The state of the snapshot that came last.
    incoming: Option<Agreed>,
    period: Micros,
    tick_at: Micros,
    /// Own batches that the log did not show yet: number, entry, when it was last proposed.
    pending: VecDeque<(u64, Vec<u8>, Micros)>,
    next_batch: u64,
    /// Bytes of the log since the last snapshot.
    grown: usize,
    size: usize,
    /// Lives that a snapshot was sent to, and when: the library sends nothing more until it hears of it.
    snapshots: Vec<(Incarnation, Micros)>,
    /// Messages to other incarnations.
    pub messages: Vec<(Incarnation, Vec<u8>)>,
    /// What the log's entries did, in order.
    pub effects: Vec<Effect>,
    /// The state was replaced by a snapshot: effects were missed.
    pub restored: bool,
    /// Messages that could not be used.
    pub refused: u64,
}

/// What stands in the log.
type Batch = (Incarnation, u64, Vec<Command>);

fn founding_snapshot(founding: &Founding) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (1, 1);
    meta.set_conf_state(ConfState::from((founding.voters.clone(), Vec::new())));
    snapshot.data = Agreed::new(founding.limits, founding.policy).encode().into();
    snapshot
}

impl Group {
    /// The part of an incarnation that the founding names, or of one that joins later and knows nothing yet.
    pub fn new(founding: Founding, me: Incarnation, period: Micros, now: Micros) -> raft::Result<Group> {
        let founder = founding.voters.contains(&me);
        let log = if founder { Log::from_snapshot(founding_snapshot(&founding))? } else { Log::default() };
        let applied = u64::from(founder);
        let place = usize::from(peer_of(me));
        let config = Config {
            id: me,
            election_tick: ELECTION,
            heartbeat_tick: 1,
            min_election_tick: ELECTION + place,
            max_election_tick: ELECTION + place + 1,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let node = RawNode::new(&config, log.clone(), &slog::Logger::root(slog::Discard, slog::o!()))?;
        Ok(Group {
            agreed: Agreed::new(founding.limits, founding.policy),
            founding,
            me,
            node,
            log,
            applied,
            incoming: None,
            period,
            tick_at: now + period,
            pending: VecDeque::new(),
            next_batch: 1,
            grown: 0,
            size: 0,
            snapshots: Vec::new(),
            messages: Vec::new(),
            effects: Vec::new(),
            restored: false,
            refused: 0,
        })
    }

    /// The state as far as the log was seen.
    pub fn agreed(&self) -> &Agreed {
        &self.agreed
    }

    /// Whether this peer leads.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Who leads, as far as known.
    pub fn leader(&self) -> Option<Incarnation> {
        Some(self.node.raft.leader_id).filter(|id| *id != raft::INVALID_ID)
    }

    /// Whether it was founded here or has the record of those who were: one that is only being taken in has not.
    pub fn begun(&self) -> bool {
        self.applied > 0
    }

    /// Whether anything was ever agreed.
    pub fn formed(&self) -> bool {
        self.applied > 1
    }

    /// Whether this incarnation has a vote.
    pub fn votes(&self) -> bool {
        self.log.members().voters.contains(&self.me)
    }

    /// Own commands that the log did not show yet, by batch.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether a further batch can go under way.
    pub fn has_room(&self) -> bool {
        self.pending.len() < UNDER_WAY
    }

    /// When [`Group::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        self.tick_at
    }

    /// Puts commands into the log, as one batch.
    pub fn propose(&mut self, commands: &[Command], now: Micros) {
        let number = self.next_batch;
        let Ok(entry) = postcard::to_stdvec(&(self.me, number, commands)) else { return };
        self.next_batch += 1;
        // A proposal that finds no leader is dropped; it comes again.
        let _ = self.node.propose(Vec::new(), entry.clone());
        self.pending.push_back((number, entry, now));
        self.pump();
    }

    /// A message of the log's.
    pub fn step(&mut self, bytes: &[u8]) {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            self.refused += 1;
            return;
        };
        // What the library would take for a broken log, and end the process for.
        let last = self.log.last_index().unwrap_or(0);
        let beyond = message.get_msg_type() == MessageType::MsgHeartbeat && message.commit > last;
        let snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
        if snapshot {
            self.incoming = Agreed::decode(&message.get_snapshot().data).ok();
        }
        let unreadable = snapshot && self.incoming.is_none();
        if message.to != self.me || beyond || unreadable || self.node.step(message).is_err() {
            self.refused += 1;
        }
        self.pump();
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) {
        // Standing still for long is one tick: no leader is doubted for what was not heard meanwhile.
        while self.tick_at <= now {
            self.node.tick();
            self.tick_at =
                if self.tick_at + 4 * self.period < now { now } else { self.tick_at } + self.period;
        }
        // One that did not come is sent again; word of one that came was heard by itself.
        let late = now.saturating_sub(SNAPSHOT * self.period);
        let (over, sent) = std::mem::take(&mut self.snapshots).into_iter().partition(|(_, at)| *at <= late);
        self.snapshots = sent;
        let over: Vec<(Incarnation, Micros)> = over;
        over.into_iter()
            .for_each(|(incarnation, _)| self.node.report_snapshot(incarnation, SnapshotStatus::Failure));
        let again = now.saturating_sub(AGAIN * self.period);
        if self.leader().is_some() && self.pending.front().is_some_and(|(_, _, at)| *at <= again) {
            for (_, entry, at) in &mut self.pending {
                *at = now;
                if self.node.propose(Vec::new(), entry.clone()).is_err() {
                    break;
                }
            }
        }
        self.pump();
    }
}
