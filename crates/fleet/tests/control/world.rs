//! A control group and its followers in virtual time: late messages, cut links, processes that stand still, die and
//! start anew, and clocks that differ.

use fleet::control::follower::Order;
use fleet::control::member::MemberRecord;
use fleet::control::messages::{FRAMING, MOST_FOLLOWER_FRAME, MOST_MEMBER_FRAME};
use fleet::control::{
    Follower, FollowerConfig, FollowerMessage, Member, MemberConfig, MemberMessage, SessionId, Timing,
};
use fleet::ledger::Limits;
use fleet::policy::{self, Act, Gate, Part, Policy, PolicyRecord, Waiting};
use fleet::wire::{frame, next};
use fleet::{Fleet, FleetConfig, Micros, Peer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: Micros = 1_000;
pub const GROUP: &str = "control";
/// Votes and stops have this long, which no test waits for unless somebody is gone.
pub const LIMITS: [Micros; 2] = [5_000 * MS, 5_000 * MS];

/// A time by a clock that runs so many thousandths faster.
fn faster(now: Micros, drift: i64) -> Micros {
    now.saturating_add_signed(now as i64 * drift / 1_000)
}

/// A follower's process.
pub struct FollowerNode {
    pub follower: Follower,
    pub part: Part,
    /// Its connection: to whom, and its number.
    pub connection: Option<(Peer, SessionId)>,
    /// Its clock runs so many thousandths faster than the world's, from another start.
    drift: i64,
    offset: Micros,
    /// The policies that it can't do.
    pub faulty: bool,
    /// It takes nothing from its connection.
    pub deaf: bool,
    last_revision: Option<(u64, u64)>,
    pub acts: Vec<Act>,
}

impl FollowerNode {
    pub fn clock(&self, now: Micros) -> Micros {
        faster(now, self.drift) + self.offset
    }

    /// What a request that arrives meets.
    pub fn gate(&self, now: Micros) -> Gate {
        self.part.gate(self.follower.holds(self.clock(now)))
    }

    fn look(&mut self, now: Micros) {
        let now = self.clock(now);
        if !self.follower.take_changed() && self.part.abreast() {
            return;
        }
        let holder = self.follower.holds(now);
        let faulty = self.faulty;
        let mut check = |policy: &Policy| {
            let bad = faulty && policy.text.contains("unknown");
            if bad { vec!["unknown class".to_string()] } else { Vec::new() }
        };
        let acts = self.part.look(now, 0, holder, self.follower.policies(), &mut check);
        self.follower.heeded(self.part.number());
        for act in acts {
            match act {
                Act::Say(command) => {
                    if !self.follower.say(now, command) {
                        self.part.unsaid();
                    }
                }
                act => self.acts.push(act),
            }
        }
    }

    /// Revisions of one founding follow on each other, or a snapshot jumps ahead.
    fn check_revision(&mut self, snapshots: u64) {
        let Some(at) = self.follower.revision() else { return };
        if let Some((fleet, revision)) = self.last_revision
            && fleet == at.fleet
            && self.follower.tally.snapshots == snapshots
        {
            assert!(
                at.revision == revision || at.revision == revision + 1,
                "{revision} then {}",
                at.revision
            );
        }
        self.last_revision = Some((at.fleet, at.revision));
    }
}

/// A member's process.
pub struct MemberNode {
    pub fleet: Fleet,
    pub member: Member,
}

enum Payload {
    ToMember(Vec<u8>),
    ToFollower(Vec<u8>),
    Closed,
}

struct Wire {
    at: Micros,
    session: SessionId,
    payload: Payload,
}

pub struct World {
    pub now: Micros,
    pub rng: Pcg64Mcg,
    pub timing: Timing,
    pub count: u8,
    pub members: BTreeMap<Peer, MemberNode>,
    pub followers: BTreeMap<usize, FollowerNode>,
    /// Between members: when, from, to, what.
    peer_wires: VecDeque<(Micros, Peer, Peer, Vec<u8>)>,
    wires: Vec<Wire>,
    /// Which follower and member a connection is between.
    sessions: BTreeMap<SessionId, (usize, Peer)>,
    next_session: SessionId,
    /// Members that hear nothing of each other.
    pub cut: BTreeSet<(Peer, Peer)>,
    /// Followers whose connections are silent.
    pub silent: BTreeSet<usize>,
    pub paused_members: BTreeMap<Peer, Micros>,
    pub paused_followers: BTreeMap<usize, Micros>,
    /// One way between members.
    pub delay: Micros,
    pub admitted: u64,
    /// Requests admitted, held, refused.
    pub gates: [u64; 3],
    pub most_followers: usize,
    pub most_snapshots: usize,
    /// The most snapshots that any member had under way.
    pub snapshots_seen: usize,
    next_at: Micros,
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
            peer_wires: VecDeque::new(),
            wires: Vec::new(),
            sessions: BTreeMap::new(),
            next_session: 1,
            cut: BTreeSet::new(),
            silent: BTreeSet::new(),
            paused_members: BTreeMap::new(),
            paused_followers: BTreeMap::new(),
            delay: MS,
            admitted: 0,
            gates: [0; 3],
            most_followers: 1_000,
            most_snapshots: 4,
            snapshots_seen: 0,
            next_at: 0,
        };
        (1..=count).for_each(|p| world.start_member(p));
        (0..followers).for_each(|f| world.start_follower(f));
        world
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    /// Starts a member, anew or for the first time.
    pub fn start_member(&mut self, peer: Peer) {
        let timing = self.timing;
        let fleet_config = FleetConfig {
            me: peer,
            peers: (1..=self.count).collect(),
            lease: timing.lease,
            margin: timing.margin,
            tick: timing.tick,
            batch: timing.tick,
            give_up: 10 * timing.lease,
            limits: Limits { records: 0, remember: 0 },
        };
        let fleet = Fleet::new(fleet_config, self.rng.next_u64(), self.now);
        let member = Member::new(MemberConfig {
            group: GROUP.into(),
            me: peer,
            others: (1..=self.count).filter(|p| *p != peer).map(|p| format!("m{p}")).collect(),
            timing,
            most_followers: self.most_followers,
            most_snapshots: self.most_snapshots,
        });
        self.members.insert(peer, MemberNode { fleet, member });
    }

    /// Ends a member at once; its followers see their connections end.
    pub fn kill_member(&mut self, peer: Peer) {
        self.members.remove(&peer);
        self.paused_members.remove(&peer);
        let over: Vec<SessionId> =
            self.sessions.iter().filter(|(_, (_, p))| *p == peer).map(|(s, _)| *s).collect();
        over.into_iter().for_each(|s| self.close(s));
    }

    /// Starts a follower, anew or for the first time.
    pub fn start_follower(&mut self, index: usize) {
        if let Some((_, session)) = self.followers.get(&index).and_then(|f| f.connection) {
            self.close(session);
        }
        let config = FollowerConfig {
            group: GROUP.into(),
            name: format!("d{index}"),
            near: vec![false; usize::from(self.count)],
            timing: self.timing,
        };
        let (drift, offset) = (self.draw(41) as i64 - 20, self.draw(1_000_000_000));
        let clock = faster(self.now, drift) + offset;
        let node = FollowerNode {
            follower: Follower::new(config, self.rng.next_u64(), clock),
            part: Part::default(),
            connection: None,
            drift,
            offset,
            faulty: false,
            deaf: false,
            last_revision: None,
            acts: Vec::new(),
        };
        self.followers.insert(index, node);
    }

    fn close(&mut self, session: SessionId) {
        let at = self.now + MS;
        self.wires.push(Wire { at, session, payload: Payload::Closed });
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
        peers.into_iter().for_each(|p| self.turn_member(p));
        let followers: Vec<usize> =
            self.followers.keys().copied().filter(|f| !self.paused_followers.contains_key(f)).collect();
        for index in followers {
            self.turn_follower(index);
            self.arrives(index);
        }
    }

    fn deliver_between_members(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.peer_wires.iter().filter(|w| w.0 <= now).cloned().collect();
        self.peer_wires.retain(|w| w.0 > now);
        due.sort_by_key(|w| w.0);
        for (at, from, to, bytes) in due {
            if self.paused_members.contains_key(&to) {
                self.peer_wires.push_back((at + 5 * MS, from, to, bytes));
            } else if let Some(node) = self.members.get_mut(&to) {
                let (_, message) = next(&bytes, 64 << 20).unwrap().unwrap();
                node.fleet.hear(now, from, message);
            }
        }
    }

    /// Bytes of one connection come in their order; those of one that is silent wait.
    fn deliver_to_followers_and_members(&mut self) {
        let now = self.now;
        let wires = std::mem::take(&mut self.wires);
        let mut held = BTreeSet::new();
        for wire in wires {
            let Some((follower, peer)) = self.sessions.get(&wire.session).copied() else { continue };
            let stalls = match wire.payload {
                Payload::ToMember(_) => self.paused_members.contains_key(&peer),
                Payload::ToFollower(_) => {
                    self.paused_followers.contains_key(&follower)
                        || self.followers.get(&follower).is_some_and(|f| f.deaf)
                }
                Payload::Closed => false,
            };
            let towards_member = matches!(wire.payload, Payload::ToMember(_));
            let way = (wire.session, towards_member);
            let silent = self.silent.contains(&follower) && !matches!(wire.payload, Payload::Closed);
            if wire.at > now || stalls || silent || held.contains(&way) {
                held.insert(way);
                self.wires.push(wire);
                continue;
            }
            self.deliver(wire, follower, peer);
        }
    }

    fn deliver(&mut self, wire: Wire, follower: usize, peer: Peer) {
        let (now, session) = (self.now, wire.session);
        match wire.payload {
            Payload::ToMember(bytes) => {
                let Some(node) = self.members.get_mut(&peer) else { return };
                let read = FRAMING.next::<FollowerMessage>(&bytes, MOST_FOLLOWER_FRAME);
                let (_, message) = read.unwrap().unwrap();
                let view = node.fleet.view(now);
                if node.member.hear(now, session, message, view).is_err() {
                    node.member.disconnected(session);
                    node.member.closing.push(session);
                }
            }
            Payload::ToFollower(bytes) => {
                let Some(f) = self.followers.get_mut(&follower) else { return };
                if f.connection.is_none_or(|(_, s)| s != session) {
                    return;
                }
                let clock = f.clock(now);
                let snapshots = f.follower.tally.snapshots;
                let read = FRAMING.next::<MemberMessage>(&bytes, MOST_MEMBER_FRAME);
                let (_, message) = read.unwrap().unwrap();
                f.follower.hear(clock, message);
                f.check_revision(snapshots);
            }
            Payload::Closed => {
                self.sessions.remove(&session);
                if let Some(node) = self.members.get_mut(&peer) {
                    node.member.disconnected(session);
                }
                if let Some(f) = self.followers.get_mut(&follower)
                    && f.connection.is_some_and(|(_, s)| s == session)
                {
                    f.connection = None;
                    let clock = f.clock(now);
                    f.follower.disconnected(clock);
                }
            }
        }
    }

    fn turn_member(&mut self, peer: Peer) {
        let now = self.now;
        let Some(node) = self.members.get_mut(&peer) else { return };
        node.fleet.tick(now);
        node.fleet.flush(now);
        node.member.tick(now);
        node.member.look(now, &mut node.fleet, &mut |_| Vec::new());
        node.fleet.flush(now);
        let messages = std::mem::take(&mut node.fleet.messages);
        node.fleet.events.clear();
        let outgoing = std::mem::take(&mut node.member.outgoing);
        let closing = std::mem::take(&mut node.member.closing);
        self.snapshots_seen = self.snapshots_seen.max(node.member.snapshots_under_way());
        for (to, message) in messages {
            let lost = self.cut.contains(&(peer, to)) || self.draw(200) == 0;
            let at = now + self.delay + self.draw(4) * MS;
            if !lost {
                self.peer_wires.push_back((at, peer, to, frame(&message)));
            }
        }
        for (session, message) in outgoing {
            let at = now + self.draw(4) * MS;
            let payload = Payload::ToFollower(FRAMING.frame(&message));
            self.wires.push(Wire { at, session, payload });
        }
        closing.into_iter().for_each(|s| self.close(s));
    }

    fn turn_follower(&mut self, index: usize) {
        let now = self.now;
        let Some(f) = self.followers.get_mut(&index) else { return };
        let clock = f.clock(now);
        f.look(now);
        f.follower.tick(clock);
        f.look(now);
        f.follower.tick(clock);
        let orders = std::mem::take(&mut f.follower.orders);
        for order in orders {
            self.carry_out(index, order);
        }
        let Some(f) = self.followers.get_mut(&index) else { return };
        let outgoing = std::mem::take(&mut f.follower.outgoing);
        if let Some((_, session)) = f.connection {
            for message in outgoing {
                let at = now + self.draw(4) * MS;
                let payload = Payload::ToMember(FRAMING.frame(&message));
                self.wires.push(Wire { at, session, payload });
            }
        }
    }

    fn carry_out(&mut self, index: usize, order: Order) {
        let now = self.now;
        let Some(f) = self.followers.get_mut(&index) else { return };
        let clock = f.clock(now);
        if let Some((peer, session)) = f.connection.take() {
            // Its own end is over at once; the member sees it when the way allows.
            if let Some(node) = self.members.get_mut(&peer) {
                node.member.disconnected(session);
            }
            self.sessions.remove(&session);
        }
        let Order::Dial(member) = order else { return };
        let peer = (member + 1) as Peer;
        let session = self.next_session;
        self.next_session += 1;
        match self.members.get_mut(&peer) {
            Some(node) if !self.silent.contains(&index) => {
                node.member.connected(now, session);
                self.sessions.insert(session, (index, peer));
                let Some(f) = self.followers.get_mut(&index) else { return };
                f.connection = Some((peer, session));
                f.follower.connected(clock);
            }
            _ => {
                if let Some(f) = self.followers.get_mut(&index).filter(|_| !self.silent.contains(&index)) {
                    f.follower.disconnected(clock);
                }
            }
        }
    }

    /// A request arrives: never is it admitted by an older policy than any before it was.
    fn arrives(&mut self, index: usize) {
        match self.followers.get(&index).map(|f| f.gate(self.now)) {
            Some(Gate::Admit(number)) => {
                self.gates[0] += 1;
                let newest = self.admitted;
                assert!(number >= newest, "at {} d{index} admits by {number} after {newest}", self.now);
                self.admitted = number;
            }
            Some(Gate::Hold) => self.gates[1] += 1,
            _ => self.gates[2] += 1,
        }
    }

    pub fn run(&mut self, span: Micros, mut each: impl FnMut(&mut World)) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            each(self);
        }
    }

    /// Until something holds, within a span of the world's time.
    pub fn until(&mut self, within: Micros, what: &str, holds: impl Fn(&World) -> bool) -> Micros {
        let begun = self.now;
        while !holds(self) {
            assert!(self.now < begun + within, "not within {} ms: {what}", within / MS);
            self.step();
        }
        self.now - begun
    }

    pub fn formed(&mut self) {
        self.until(20_000 * MS, "all have a lease", World::all_admit);
    }

    /// Whether every follower admits now.
    pub fn all_admit(&self) -> bool {
        self.followers.values().all(|f| matches!(f.gate(self.now), Gate::Admit(_)))
    }

    /// Whether every follower admits by this number.
    pub fn all_at(&self, number: u64) -> bool {
        self.followers.values().all(|f| f.gate(self.now) == Gate::Admit(number))
    }

    /// Proposes a policy at a member; whether it could.
    pub fn propose(&mut self, peer: Peer, text: &str) -> bool {
        self.next_at += 1;
        let at = self.now + self.next_at;
        let now = self.now;
        let Some(node) = self.members.get_mut(&peer) else { return false };
        let mut digest = [0; 32];
        digest.iter_mut().zip(text.bytes()).for_each(|(d, b)| *d = b);
        let policy = Policy { number: node.member.known_policy(), text: text.into(), digest };
        let waiting = Waiting { policy, by: peer, at, limits: LIMITS };
        node.fleet.say(now, policy::Command::Queue(waiting))
    }

    /// Proposes at any member that can, within some seconds.
    pub fn propose_anywhere(&mut self, text: &str) {
        for _ in 0..4_000 {
            let peers: Vec<Peer> = self.members.keys().copied().collect();
            if peers.into_iter().any(|p| self.propose(p, text)) {
                return;
            }
            self.step();
        }
        panic!("nobody could propose");
    }

    /// The member that a follower is connected to.
    pub fn member_of(&self, index: usize) -> Option<Peer> {
        self.followers.get(&index).and_then(|f| f.follower.member()).map(|m| (m + 1) as Peer)
    }

    /// The member that leads.
    pub fn leader(&self) -> Option<Peer> {
        self.members.iter().find(|(_, n)| n.fleet.leads()).map(|(p, _)| *p)
    }
}
