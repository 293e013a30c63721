//! A control group and its followers in virtual time, with delayed messages, cut links, paused, killed and
//! restarted processes, and drifting clocks. `transit` has the messages in transit, `steps` the work of each
//! process per step, and `helpers` what tests call.

use super::follower_node::{FollowerNode, faster};
use super::transit::{InTransit, Payload};
use fleet::control_plane::{Follower, FollowerConfig, Member, MemberConfig, SessionId, Timing};
use fleet::ledger::Limits;
use fleet::policy::Participant;
use fleet::{Fleet, FleetConfig, Micros, Peer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: Micros = 1_000;
pub const GROUP: &str = "control";
/// Vote and closing time limits. No test reaches them unless a process is down.
pub const LIMITS: [Micros; 2] = [5_000 * MS, 5_000 * MS];

/// A member process.
pub struct MemberNode {
    pub fleet: Fleet,
    pub member: Member,
}

pub struct World {
    pub now: Micros,
    pub rng: Pcg64Mcg,
    pub timing: Timing,
    pub count: u8,
    pub members: BTreeMap<Peer, MemberNode>,
    pub followers: BTreeMap<usize, FollowerNode>,
    /// Messages in transit between members: arrival time, sender, receiver, frame.
    pub peers_in_transit: VecDeque<(Micros, Peer, Peer, Vec<u8>)>,
    pub in_transit: Vec<InTransit>,
    /// The follower and the member of each connection.
    pub sessions: BTreeMap<SessionId, (usize, Peer)>,
    pub next_session: SessionId,
    /// Links between members that drop all messages, by sender and receiver.
    pub cut: BTreeSet<(Peer, Peer)>,
    /// Followers whose connections carry no messages.
    pub silent: BTreeSet<usize>,
    pub paused_members: BTreeMap<Peer, Micros>,
    pub paused_followers: BTreeMap<usize, Micros>,
    /// One-way delay between members.
    pub delay: Micros,
    pub admitted: u64,
    /// Numbers of requests admitted, held and refused.
    pub decisions: [u64; 3],
    pub max_followers: usize,
    pub max_snapshots: usize,
    /// The highest number of unacknowledged snapshots seen at any member.
    pub snapshots_seen: usize,
    pub next_at: Micros,
}

impl World {
    pub fn new(count: u8, followers: usize, seed: u64) -> World {
        let mut world = World {
            now: 1_000_000 * MS,
            rng: Pcg64Mcg::seed_from_u64(seed),
            timing: Timing::from_round_trip(5 * MS),
            count,
            members: BTreeMap::new(),
            followers: BTreeMap::new(),
            peers_in_transit: VecDeque::new(),
            in_transit: Vec::new(),
            sessions: BTreeMap::new(),
            next_session: 1,
            cut: BTreeSet::new(),
            silent: BTreeSet::new(),
            paused_members: BTreeMap::new(),
            paused_followers: BTreeMap::new(),
            delay: MS,
            admitted: 0,
            decisions: [0; 3],
            max_followers: 1_000,
            max_snapshots: 4,
            snapshots_seen: 0,
            next_at: 0,
        };
        (1..=count).for_each(|p| world.start_member(p));
        (0..followers).for_each(|f| world.start_follower(f));
        world
    }

    pub fn random(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    /// Starts or restarts a member.
    pub fn start_member(&mut self, peer: Peer) {
        let timing = self.timing;
        let fleet_config = FleetConfig {
            me: peer,
            peers: (1..=self.count).collect(),
            lease: timing.lease,
            margin: timing.margin,
            tick: timing.tick,
            batch_delay: timing.tick,
            abandon_after: 10 * timing.lease,
            limits: Limits { records: 0, retention: 0 },
        };
        let fleet = Fleet::new(fleet_config, self.rng.next_u64(), self.now);
        let member = Member::new(MemberConfig {
            group: GROUP.into(),
            me: peer,
            others: (1..=self.count).filter(|p| *p != peer).map(|p| format!("m{p}")).collect(),
            timing,
            max_followers: self.max_followers,
            max_snapshots: self.max_snapshots,
        });
        self.members.insert(peer, MemberNode { fleet, member });
    }

    /// Kills a member; its followers see their connections close.
    pub fn kill_member(&mut self, peer: Peer) {
        self.members.remove(&peer);
        self.paused_members.remove(&peer);
        let over: Vec<SessionId> =
            self.sessions.iter().filter(|(_, (_, p))| *p == peer).map(|(s, _)| *s).collect();
        over.into_iter().for_each(|s| self.close(s));
    }

    /// Starts or restarts a follower.
    pub fn start_follower(&mut self, index: usize) {
        if let Some((_, session)) = self.followers.get(&index).and_then(|f| f.connection) {
            self.close(session);
        }
        let config = FollowerConfig {
            group: GROUP.into(),
            name: format!("d{index}"),
            same_region: vec![false; usize::from(self.count)],
            timing: self.timing,
        };
        let (drift, offset) = (self.random(41) as i64 - 20, self.random(1_000_000_000));
        let clock = faster(self.now, drift) + offset;
        let node = FollowerNode {
            follower: Follower::new(config, self.rng.next_u64(), clock),
            part: Participant::default(),
            connection: None,
            drift,
            offset,
            faulty: false,
            not_reading: false,
            last_revision: None,
            actions: Vec::new(),
        };
        self.followers.insert(index, node);
    }

    pub fn close(&mut self, session: SessionId) {
        let at = self.now + MS;
        self.in_transit.push(InTransit { at, session, payload: Payload::Closed });
    }

    pub fn step(&mut self) {
        self.now += 5 * MS;
        let now = self.now;
        self.paused_members.retain(|_, until| *until > now);
        self.paused_followers.retain(|_, until| *until > now);
        self.deliver_between_members();
        self.deliver_to_followers_and_members();
        let peers: Vec<Peer> =
            self.members.keys().copied().filter(|p| !self.paused_members.contains_key(p)).collect();
        peers.into_iter().for_each(|p| self.step_member(p));
        let followers: Vec<usize> =
            self.followers.keys().copied().filter(|f| !self.paused_followers.contains_key(f)).collect();
        for index in followers {
            self.step_follower(index);
            self.request_arrives(index);
        }
    }
}
