//! A simulated fleet in virtual time, with cut links, late and lost messages, and peers that pause, die and restart.

use fleet::ledger::{Limits, Record};
use fleet::policy::{Action, Gate, Participant, Policy};
use fleet::state::Command;
use fleet::wire::{decode_frame, encode_frame};
use fleet::{Fleet, FleetConfig, FleetEvent, Micros, Peer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash};

pub const MS: Micros = 1_000;
pub const LEASE: Micros = 1_000 * MS;

pub fn fleet_config(me: Peer, n: u8) -> FleetConfig {
    FleetConfig {
        me,
        peers: (1..=n).collect(),
        lease: LEASE,
        margin: 100 * MS,
        tick: 30 * MS,
        batch_delay: 10 * MS,
        abandon_after: 10_000 * MS,
        limits: Limits { records: 500, retention: 30_000 * MS },
    }
}

pub fn record(attempt_id: u64, repeatable: bool, deadline: Micros) -> Record {
    Record {
        attempt_id,
        class: 0,
        tenant: None,
        key: None,
        group: 0,
        work_s: None,
        memory_mb: None,
        repeatable,
        statement: Some("SELECT 1".into()),
        deadline,
        executors_tried: vec![1],
        policy: 0,
        digest: None,
    }
}

pub struct World {
    pub peer_count: u8,
    pub now: Micros,
    pub rng: Pcg64Mcg,
    pub fleets: BTreeMap<Peer, Fleet>,
    /// Paused peers, and until when.
    pub paused: BTreeMap<Peer, Micros>,
    /// Links that drop all messages: sender and receiver.
    pub cut_links: BTreeSet<(Peer, Peer)>,
    /// Messages in transit: time of arrival, sender, receiver, frame.
    pub in_transit: VecDeque<(Micros, Peer, Peer, Vec<u8>)>,
    pub events: Vec<(Peer, FleetEvent)>,
    /// Hash of all events, to compare runs.
    pub trace: DefaultHasher,
    /// Each peer's state in changes of policy.
    pub participants: BTreeMap<Peer, Participant>,
    /// Peers whose own check rejects policies that contain "unknown".
    pub rejecting: BTreeSet<Peer>,
    /// The highest policy number that a request was admitted under.
    pub admitted: u64,
    /// The number of requests that were admitted, held and refused.
    pub gate_counts: [u64; 3],
    pub policy_actions: Vec<(Peer, Action)>,
    /// When the outages of killed or disconnected peers end.
    pub outage_ends_at: BTreeMap<Peer, Micros>,
}

impl World {
    pub fn new(n: u8, seed: u64) -> World {
        let now = 1_000_000 * MS;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleets = (1..=n).map(|p| (p, Fleet::new(fleet_config(p, n), rng.next_u64(), now))).collect();
        World {
            peer_count: n,
            now,
            rng,
            fleets,
            paused: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            in_transit: VecDeque::new(),
            events: Vec::new(),
            trace: DefaultHasher::new(),
            participants: (1..=n).map(|p| (p, Participant::default())).collect(),
            rejecting: BTreeSet::new(),
            admitted: 0,
            gate_counts: [0; 3],
            policy_actions: Vec::new(),
            outage_ends_at: BTreeMap::new(),
        }
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    pub fn step(&mut self) {
        self.now += 5 * MS;
        let now = self.now;
        self.paused.retain(|_, until| *until > now);
        let mut due: Vec<_> = self.in_transit.iter().filter(|w| w.0 <= now).cloned().collect();
        self.in_transit.retain(|w| w.0 > now);
        due.sort_by_key(|w| w.0);
        for (at, from, to, bytes) in due {
            if self.paused.contains_key(&to) {
                self.in_transit.push_back((at + 5 * MS, from, to, bytes));
            } else if let Some(f) = self.fleets.get_mut(&to) {
                // The frame is decoded as when it is read from a socket.
                let (_, message) = decode_frame(&bytes, 64 << 20).unwrap().unwrap();
                f.handle_message(now, from, message);
            }
        }
        let peers: Vec<Peer> = self.fleets.keys().copied().filter(|p| !self.paused.contains_key(p)).collect();
        for p in peers {
            let Some(f) = self.fleets.get_mut(&p) else { continue };
            f.tick(now);
            f.flush(now);
            let messages = std::mem::take(&mut f.messages);
            let events = std::mem::take(&mut f.events);
            for (to, message) in messages {
                let lost = self.cut_links.contains(&(p, to)) || self.draw(200) == 0;
                let late = 1 + self.draw(4);
                if !lost {
                    self.in_transit.push_back((now + late * MS, p, to, encode_frame(&message)));
                }
            }
            for n in events {
                format!("{now} {p} {n:?}").hash(&mut self.trace);
                self.events.push((p, n));
            }
            self.poll_policy(p);
            self.admit_request(p);
        }
    }

    /// Lets a peer act on the replicated policy.
    fn poll_policy(&mut self, p: Peer) {
        let now = self.now;
        let (Some(f), Some(part)) = (self.fleets.get_mut(&p), self.participants.get_mut(&p)) else { return };
        let bad = self.rejecting.contains(&p);
        let mut check = |policy: &Policy| {
            let faults = bad && policy.text.contains("unknown");
            if faults { vec!["unknown class".to_string()] } else { Vec::new() }
        };
        f.policy = part.number();
        let policies = f.state().map(|a| a.policy().clone());
        for act in part.poll(now, p, f.holds(now), policies.as_ref(), &mut check) {
            if let Action::Submit(c) = &act
                && !f.propose(now, Command::Policy(c.clone()))
            {
                part.submit_failed();
            }
            format!("{now} {p} {act:?}").hash(&mut self.trace);
            self.policy_actions.push((p, act));
        }
    }

    /// Offers a request to a peer and asserts that it is not admitted under an older policy than any earlier request.
    fn admit_request(&mut self, p: Peer) {
        let holder = self.fleets.get(&p).and_then(|f| f.holds(self.now));
        match self.participants.get(&p).map(|part| part.gate(holder)) {
            Some(Gate::Admit(number)) => {
                self.gate_counts[0] += 1;
                assert!(
                    number >= self.admitted,
                    "at {} peer {p} admits by {number} after {}",
                    self.now,
                    self.admitted
                );
                self.admitted = number;
            }
            Some(Gate::Hold) => self.gate_counts[1] += 1,
            _ => self.gate_counts[2] += 1,
        }
    }

    pub fn run(&mut self, span: Micros, mut each: impl FnMut(&mut World)) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            each(self);
        }
    }

    /// Asserts that no request has more than one owner.
    pub fn assert_at_most_one_owner(&self, request_ids: impl Iterator<Item = u64>) {
        for request_id in request_ids {
            let owners: Vec<Peer> =
                self.fleets.iter().filter(|(_, f)| f.owns(self.now, request_id)).map(|(p, _)| *p).collect();
            assert!(owners.len() <= 1, "at {} request {request_id} is owned by {owners:?}", self.now);
        }
    }

    pub fn restart(&mut self, p: Peer) {
        let seed = self.rng.next_u64();
        self.fleets.insert(p, Fleet::new(fleet_config(p, self.peer_count), seed, self.now));
        self.participants.insert(p, Participant::default());
    }

    /// Runs for five seconds and asserts that all peers have a lease and one of them leads.
    pub fn assert_forms(&mut self) {
        self.run(5_000 * MS, |_| ());
        let now = self.now;
        assert!(self.fleets.values().all(|f| f.holds(now).is_some()), "not all peers have a lease");
        assert_eq!(self.fleets.values().filter(|f| f.is_leader()).count(), 1);
    }

    /// Whether a peer has reported an event that matches.
    pub fn has_seen(&self, p: Peer, what: impl Fn(&FleetEvent) -> bool) -> bool {
        self.events.iter().any(|(q, n)| *q == p && what(n))
    }
}

pub fn open(w: &mut World, p: Peer, request_id: u64, repeatable: bool) -> bool {
    let (now, deadline) = (w.now, w.now + 20_000 * MS);
    w.fleets
        .get_mut(&p)
        .is_some_and(|f| f.open(now, request_id, record(request_id, repeatable, deadline), true))
}
