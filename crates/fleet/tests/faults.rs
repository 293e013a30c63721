//! Fleets in virtual time, under faults drawn from a seed: cut links, late and lost messages, peers that stand
//! still, die and start anew.

use fleet::ledger::{End, Limits, Record};
use fleet::wire::{Message, frame, next};
use fleet::{Fleet, Micros, News, Peer, Terms};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

const MS: Micros = 1_000;
const LEASE: Micros = 1_000 * MS;

fn terms(me: Peer, n: u8) -> Terms {
    Terms {
        me,
        peers: (1..=n).collect(),
        lease: LEASE,
        margin: 100 * MS,
        tick: 30 * MS,
        batch: 10 * MS,
        give_up: 10_000 * MS,
        limits: Limits { records: 500, remember: 30_000 * MS },
    }
}

fn record(rid: u64, repeats: bool, deadline: Micros) -> Record {
    Record {
        rid,
        class: 0,
        tenant: None,
        key: None,
        group: 0,
        work_s: None,
        memory_mb: None,
        repeats,
        statement: Some("SELECT 1".into()),
        deadline,
        tried: vec![1],
    }
}

struct World {
    n: u8,
    now: Micros,
    rng: Pcg64Mcg,
    fleets: BTreeMap<Peer, Fleet>,
    /// Stands still until then.
    paused: BTreeMap<Peer, Micros>,
    cut: BTreeSet<(Peer, Peer)>,
    /// Messages under way, by when they come.
    wires: VecDeque<(Micros, Peer, Peer, Vec<u8>)>,
    news: Vec<(Peer, News)>,
    /// All that ever was told, for comparing runs.
    trace: DefaultHasher,
}

impl World {
    fn new(n: u8, seed: u64) -> World {
        let now = 1_000_000 * MS;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let fleets = (1..=n).map(|p| (p, Fleet::new(terms(p, n), rng.next_u64(), now))).collect();
        World {
            n,
            now,
            rng,
            fleets,
            paused: BTreeMap::new(),
            cut: BTreeSet::new(),
            wires: VecDeque::new(),
            news: Vec::new(),
            trace: DefaultHasher::new(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below
    }

    fn step(&mut self) {
        self.now += 5 * MS;
        let now = self.now;
        self.paused.retain(|_, until| *until > now);
        let mut due: Vec<_> = self.wires.iter().filter(|w| w.0 <= now).cloned().collect();
        self.wires.retain(|w| w.0 > now);
        due.sort_by_key(|w| w.0);
        for (at, from, to, bytes) in due {
            if self.paused.contains_key(&to) {
                self.wires.push_back((at + 5 * MS, from, to, bytes));
            } else if let Some(f) = self.fleets.get_mut(&to) {
                // Through the codec, as on a socket.
                let (_, message) = next(&bytes, 64 << 20).unwrap().unwrap();
                f.hear(now, from, message);
            }
        }
        let peers: Vec<Peer> = self.fleets.keys().copied().filter(|p| !self.paused.contains_key(p)).collect();
        for p in peers {
            let Some(f) = self.fleets.get_mut(&p) else { continue };
            f.tick(now);
            f.flush(now);
            let messages = std::mem::take(&mut f.messages);
            let news = std::mem::take(&mut f.news);
            for (to, message) in messages {
                let lost = self.cut.contains(&(p, to)) || self.draw(200) == 0;
                let late = 1 + self.draw(4);
                if !lost {
                    self.wires.push_back((now + late * MS, p, to, frame(&message)));
                }
            }
            for n in news {
                format!("{now} {p} {n:?}").hash(&mut self.trace);
                self.news.push((p, n));
            }
        }
    }

    fn run(&mut self, span: Micros, mut each: impl FnMut(&mut World)) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            each(self);
        }
    }

    /// No request is two peers' at once.
    fn one_owner(&self, asks: impl Iterator<Item = u64>) {
        for ask in asks {
            let owners: Vec<Peer> =
                self.fleets.iter().filter(|(_, f)| f.owns(self.now, ask)).map(|(p, _)| *p).collect();
            assert!(owners.len() <= 1, "at {} request {ask} is owned by {owners:?}", self.now);
        }
    }

    fn restart(&mut self, p: Peer) {
        let seed = self.rng.next_u64();
        self.fleets.insert(p, Fleet::new(terms(p, self.n), seed, self.now));
    }

    fn formed(&mut self) {
        self.run(5_000 * MS, |_| ());
        let now = self.now;
        assert!(self.fleets.values().all(|f| f.holds(now).is_some()), "all have a lease");
        assert_eq!(self.fleets.values().filter(|f| f.leads()).count(), 1);
    }

    fn told(&self, p: Peer, what: impl Fn(&News) -> bool) -> bool {
        self.news.iter().any(|(q, n)| *q == p && what(n))
    }
}

fn open(w: &mut World, p: Peer, ask: u64, repeats: bool) -> bool {
    let (now, deadline) = (w.now, w.now + 20_000 * MS);
    w.fleets.get_mut(&p).is_some_and(|f| f.open(now, ask, record(ask, repeats, deadline), true))
}

// Two dispatchers that get the same request at the same moment: one owns it, the other is told.
#[test]
fn a_request_is_owned_by_whoever_was_first() {
    let mut w = World::new(3, 1);
    w.formed();
    assert!(open(&mut w, 1, 7, false) && open(&mut w, 2, 7, false));
    w.run(200 * MS, |w| w.one_owner([7].into_iter()));
    let opened = (1..=3).filter(|p| w.told(*p, |n| *n == News::Opened(7))).count();
    let taken = (1..=3).filter(|p| w.told(*p, |n| *n == News::Taken(7))).count();
    assert_eq!((opened, taken), (1, 1));
}

// The owner dies: what may repeat goes to exactly one other, and what must not run twice goes to nobody.
#[test]
fn what_a_dead_peer_owned_goes_to_one_other_and_a_load_to_none() {
    for dead in 1..=3 {
        let mut w = World::new(3, 10 + u64::from(dead));
        w.formed();
        assert!(open(&mut w, dead, 1, true) && open(&mut w, dead, 2, false));
        w.run(200 * MS, |_| ());
        w.fleets.remove(&dead);
        let killed = w.now;
        while !w.news.iter().any(|(_, n)| matches!(n, News::Claimed { .. })) {
            w.run(10 * MS, |w| w.one_owner([1, 2].into_iter()));
            assert!(w.now < killed + 2_000 * MS, "taken over within two seconds");
        }
        w.run(500 * MS, |w| w.one_owner([1, 2].into_iter()));
        let mine = |n: &News| matches!(n, News::Claimed { ask: 1, mine: true, .. });
        assert_eq!((1..=3).filter(|p| w.told(*p, mine)).count(), 1);
        for f in w.fleets.values() {
            assert_eq!(f.ledger().unwrap().ended(2), Some(&End::Unknown));
        }
        // It starts anew, as another life, and takes part again with a vote.
        w.restart(dead);
        w.run(4_000 * MS, |_| ());
        let now = w.now;
        assert!(w.fleets[&dead].holds(now).is_some());
        assert_eq!(w.fleets[&dead].ledger().unwrap().ended(2), Some(&End::Unknown));
    }
}

// A peer that was only cut off learns by its own clock that its lease is over, before anybody else may say so,
// and comes back under a new term.
#[test]
fn a_peer_that_was_cut_off_lets_go_before_others_take_over() {
    let mut w = World::new(3, 5);
    w.formed();
    assert!(open(&mut w, 2, 1, true));
    w.run(200 * MS, |_| ());
    let term = w.fleets[&2].holds(w.now).unwrap().term;
    w.cut = [(1, 2), (3, 2), (2, 1), (2, 3)].into();
    w.run(3_000 * MS, |w| w.one_owner([1].into_iter()));
    let lost = w.news.iter().position(|(p, n)| *p == 2 && matches!(n, News::Lost(_))).unwrap();
    let claimed = w.news.iter().position(|(_, n)| matches!(n, News::Claimed { ask: 1, .. })).unwrap();
    assert!(lost < claimed, "the owner knows first");
    assert!(!open(&mut w, 2, 9, false), "without a lease nothing is put on record");
    w.cut.clear();
    w.run(3_000 * MS, |w| w.one_owner([1].into_iter()));
    assert!(w.fleets[&2].holds(w.now).unwrap().term > term);
}

// A majority that starts anew has lost the record: the last one that had it gives it up, and all found another.
#[test]
fn a_fleet_that_lost_its_majority_is_founded_anew() {
    let mut w = World::new(3, 6);
    w.formed();
    w.restart(1);
    w.restart(2);
    w.run(20_000 * MS, |_| ());
    assert!(w.told(3, |n| matches!(n, News::GivenUp(_))));
    let now = w.now;
    assert!(w.fleets.values().all(|f| f.holds(now).is_some()));
    assert!(w.fleets.values().all(|f| !f.vouches(now)), "what it never knew it does not vouch for");
    w.run(31_000 * MS, |_| ());
    let now = w.now;
    assert!(w.fleets.values().all(|f| f.vouches(now)));
}

// The rest starts anew while one is cut off, and founds a fleet without it: when it is back it gives its own up,
// which nobody else has part in, and joins. It was stuck in the old one for good.
#[test]
fn one_that_was_cut_off_joins_the_fleet_that_was_founded_without_it() {
    let mut w = World::new(3, 9);
    w.formed();
    w.cut = [(1, 2), (3, 2), (2, 1), (2, 3)].into();
    w.restart(1);
    w.restart(3);
    w.run(15_000 * MS, |_| ());
    let now = w.now;
    assert!(w.fleets[&1].holds(now).is_some() && w.fleets[&3].holds(now).is_some());
    w.cut.clear();
    w.run(15_000 * MS, |_| ());
    let now = w.now;
    assert!(w.told(2, |n| matches!(n, News::GivenUp(_))));
    assert!(w.fleets.values().all(|f| f.holds(now).is_some()));
}

// A peer that says nonsense, or speaks of another fleet, is not followed.
#[test]
fn nonsense_changes_nothing() {
    let mut w = World::new(3, 8);
    w.formed();
    let now = w.now;
    for bytes in [vec![], vec![0xff; 40], b"\x08\x05\x10\x01\x18\x02".to_vec()] {
        for p in 1..=3 {
            w.fleets.get_mut(&p).unwrap().hear(now, 1 + p % 3, Message::Log(77, bytes.clone()));
            w.fleets.get_mut(&p).unwrap().hear(now, 200, Message::Result(9, None));
        }
    }
    w.formed();
}

/// Faults for a while, then none; returns the trace.
fn storm(n: u8, seed: u64) -> u64 {
    let mut w = World::new(n, seed);
    w.formed();
    let mut next = 1_u64;
    let mut healed_at = BTreeMap::new();
    for _ in 0..40 {
        // Traffic at all that have a lease.
        for p in 1..=n {
            if !w.paused.contains_key(&p) {
                let repeats = w.draw(2) == 0;
                open(&mut w, p, next, repeats);
                next += 1;
            }
        }
        // A minority at most is out at once; one that started anew is, until it takes part again.
        let now = w.now;
        let victim = 1 + w.draw(u64::from(n)) as Peer;
        let out: BTreeSet<Peer> = (1..=n)
            .filter(|p| w.fleets.get(p).is_none_or(|f| f.holds(now).is_none()) || healed_at.contains_key(p))
            .collect();
        if out.len() < usize::from((n - 1) / 2) && !out.contains(&victim) {
            let span = (200 + w.draw(2_500)) * MS;
            match w.draw(4) {
                0 => {
                    w.fleets.remove(&victim);
                    healed_at.insert(victim, w.now + span);
                }
                1 => {
                    let until = w.now + span;
                    w.paused.insert(victim, until);
                }
                2 => {
                    let one_way = w.draw(2) == 0;
                    for p in (1..=n).filter(|p| *p != victim) {
                        w.cut.insert((p, victim));
                        if !one_way {
                            w.cut.insert((victim, p));
                        }
                    }
                    healed_at.insert(victim, w.now + span);
                }
                _ => {}
            }
        }
        let asks = next;
        w.run(300 * MS, |w| w.one_owner(1..asks));
        let now = w.now;
        let healed: Vec<Peer> = healed_at.iter().filter(|(_, t)| **t <= now).map(|(p, _)| *p).collect();
        for p in healed {
            healed_at.remove(&p);
            w.cut.retain(|(a, b)| *a != p && *b != p);
            if !w.fleets.contains_key(&p) {
                w.restart(p);
            }
        }
    }
    w.cut.clear();
    for p in 1..=n {
        if !w.fleets.contains_key(&p) {
            w.restart(p);
        }
    }
    let asks = next;
    w.run(6_000 * MS, |w| w.one_owner(1..asks));
    // All have the same record, and what is open there is owned by somebody alive who knows it.
    let now = w.now;
    for ask in 1..next {
        let of = |f: &Fleet| {
            let l = f.ledger().unwrap();
            (l.open(ask).map(|(r, h)| (r.clone(), h)), l.ended(ask).cloned())
        };
        let differ: Vec<_> =
            w.fleets.iter().filter(|(_, f)| of(f) != of(&w.fleets[&1])).map(|(p, _)| *p).collect();
        let state = |f: &Fleet| (f.holds(now), f.leads(), f.ledger().map(|l| l.len()));
        let states: Vec<_> = w.fleets.values().map(state).collect();
        assert!(differ.is_empty(), "seed {seed}, request {ask} at {differ:?}: {states:?}");
        let open = w.fleets[&1].ledger().unwrap().open(ask).is_some();
        let owners = w.fleets.values().filter(|f| f.owns(now, ask)).count();
        assert_eq!(owners, usize::from(open), "seed {seed}, request {ask}");
    }
    w.trace.finish()
}

// Whatever goes wrong: never two owners, the same record in the end, and nothing left without an owner.
#[test]
fn any_faults_leave_one_owner_and_one_record() {
    for seed in 0..12 {
        storm(3, seed);
    }
    for seed in 0..6 {
        storm(5, 100 + seed);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(storm(3, 42), storm(3, 42));
    assert_ne!(storm(3, 42), storm(3, 43));
}
