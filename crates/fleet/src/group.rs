//! The replicated log of a fleet, by the `raft` crate, with the ledger that its entries make.
//!
//! No peer has a disk that lasts, so that none may come back under the id it had: every life of a process takes
//! part under an id of its own. One that starts anew is taken in as a learner, and once it has caught up it
//! takes the place of its peer's former life in one joint change.

use crate::ledger::{Command, Effect, Ledger};
use crate::log::Log;
use crate::wire::Founding;
use crate::{Life, Micros, peer_of};
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
/// The log is cut once it is longer than the ledger and than this, in bytes.
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
    me: Life,
    node: RawNode<Log>,
    log: Log,
    ledger: Ledger,
    applied: u64,
    /// The ledger of the snapshot that came last.
    incoming: Option<Ledger>,
    period: Micros,
    tick_at: Micros,
    /// Own batches that the log did not show yet: number, entry, when it was last proposed.
    pending: VecDeque<(u64, Vec<u8>, Micros)>,
    next_batch: u64,
    /// Bytes of the log since the last snapshot.
    grown: usize,
    size: usize,
    /// Lives that a snapshot was sent to, and when: the library sends nothing more until it hears of it.
    snapshots: Vec<(Life, Micros)>,
    /// Messages to other lives.
    pub messages: Vec<(Life, Vec<u8>)>,
    /// What the log's entries did, in order.
    pub effects: Vec<Effect>,
    /// The ledger was replaced by a snapshot: effects were missed.
    pub restored: bool,
    /// Messages that could not be used.
    pub refused: u64,
}

/// What stands in the log.
type Batch = (Life, u64, Vec<Command>);

fn founding_snapshot(founding: &Founding) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (1, 1);
    meta.set_conf_state(ConfState::from((founding.voters.clone(), Vec::new())));
    snapshot.data = Ledger::new(founding.limits).encode().into();
    snapshot
}

impl Group {
    /// The part of a life that the founding names, or of one that joins later and knows nothing yet.
    pub fn new(founding: Founding, me: Life, period: Micros, now: Micros) -> raft::Result<Group> {
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
            ledger: Ledger::new(founding.limits),
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

    /// The record as far as the log was seen.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether this peer leads.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Who leads, as far as known.
    pub fn leader(&self) -> Option<Life> {
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

    /// Whether this life has a vote.
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
            self.incoming = Ledger::decode(&message.get_snapshot().data).ok();
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
        let over: Vec<(Life, Micros)> = over;
        over.into_iter().for_each(|(life, _)| self.node.report_snapshot(life, SnapshotStatus::Failure));
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

    /// As leader: takes a life in that has no vote yet, one step at a time.
    pub fn seat(&mut self, life: Life) {
        let members = self.log.members();
        let joint = !members.voters_outgoing.is_empty();
        if !self.leads() || joint || self.node.raft.has_pending_conf() || members.voters.contains(&life) {
            return;
        }
        let peer = peer_of(life);
        let single = |kind, id| {
            let mut c = ConfChangeSingle::default();
            c.set_change_type(kind);
            c.node_id = id;
            c
        };
        let stale = |ids: &[Life]| -> Vec<Life> {
            ids.iter().copied().filter(|l| *l != life && peer_of(*l) == peer).collect()
        };
        let mut changes: Vec<ConfChangeSingle> = Vec::new();
        if members.learners.contains(&life) {
            let matched = self.node.raft.prs().get(life).map_or(0, |p| p.matched);
            if matched == 0 || matched + CAUGHT_UP < self.node.raft.raft_log.committed {
                return;
            }
            changes.extend(stale(&members.voters).into_iter().map(|l| single(ConfChangeType::RemoveNode, l)));
            changes.push(single(ConfChangeType::AddNode, life));
        } else {
            changes
                .extend(stale(&members.learners).into_iter().map(|l| single(ConfChangeType::RemoveNode, l)));
            changes.push(single(ConfChangeType::AddLearnerNode, life));
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        let _ = self.node.propose_conf_change(Vec::new(), change);
        self.pump();
    }

    /// Does what the library wants done until nothing is left.
    fn pump(&mut self) {
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            self.send(ready.take_messages());
            if !ready.snapshot().is_empty() {
                self.restore(ready.snapshot().clone());
            }
            self.apply(ready.take_committed_entries());
            if !ready.entries().is_empty() {
                self.grown += ready.entries().iter().map(|e| e.data.len() + 32).sum::<usize>();
                if let Err(e) = self.log.append(ready.entries()) {
                    unreachable!("the log takes what follows its end: {e}");
                }
            }
            if let Some(state) = ready.hs() {
                self.log.set_hard_state(state.clone());
            }
            self.send(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(index) = light.commit_index() {
                self.log.commit(index);
            }
            self.send(light.take_messages());
            self.apply(light.take_committed_entries());
            self.node.advance_apply();
        }
        let wanted = self.log.take_wanted();
        if self.applied > 1 && (wanted || self.grown > LEAST_CUT.max(self.size)) {
            let data = self.ledger.encode();
            (self.grown, self.size) = (0, data.len());
            let _ = self.log.compact(self.applied, data, KEPT);
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        let snapshot = |m: &&Message| m.get_msg_type() == MessageType::MsgSnapshot;
        let at = self.tick_at;
        self.snapshots.extend(messages.iter().filter(snapshot).map(|m| (m.to, at)));
        let bytes = |m: Message| Some((m.to, m.write_to_bytes().ok()?));
        self.messages.extend(messages.into_iter().filter_map(bytes));
    }

    fn restore(&mut self, snapshot: Snapshot) {
        // It was read before it was handed to the library.
        let Some(ledger) = self.incoming.take() else { return };
        self.applied = snapshot.get_metadata().index;
        (self.grown, self.size) = (0, snapshot.data.len());
        if self.log.restore(snapshot).is_ok() {
            self.ledger = ledger;
            self.restored = true;
            self.seen();
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for e in entries {
            self.applied = e.index;
            match e.get_entry_type() {
                EntryType::EntryNormal if e.data.is_empty() => {}
                EntryType::EntryNormal => {
                    let Ok((life, number, commands)) = postcard::from_bytes::<Batch>(&e.data) else {
                        self.refused += 1;
                        continue;
                    };
                    self.ledger.apply(life, number, commands, &mut self.effects);
                    if life == self.me {
                        self.seen();
                    }
                }
                EntryType::EntryConfChangeV2 => {
                    let Ok(change) = ConfChangeV2::parse_from_bytes(&e.data) else { continue };
                    if let Ok(members) = self.node.apply_conf_change(&change) {
                        self.log.set_members(members);
                    }
                }
                EntryType::EntryConfChange => {}
            }
        }
    }

    /// Own batches that the ledger has taken are no longer under way.
    fn seen(&mut self) {
        let last = self.ledger.batch(self.me);
        self.next_batch = self.next_batch.max(last + 1);
        while self.pending.front().is_some_and(|(n, _, _)| *n <= last) {
            self.pending.pop_front();
        }
    }
}
