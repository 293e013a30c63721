//! Simulation of a log, dispatchers that read it late, and operator commands that arrive late, twice or
//! never.

use fleet::schema::window::Window;
use fleet::schema::{Command, Schema, Version};
use fleet::{Holder, Micros, StateMachine, incarnation};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;
const LINGER: Micros = 4 * S;

#[derive(Debug, Clone)]
enum Entry {
    Command(Command),
    Leases(BTreeSet<Holder>),
    Sweep(Micros),
}

/// A dispatcher: the log entries it has seen, and its work in progress by version.
#[derive(Debug, Clone, Default)]
struct Peer {
    view: (Schema, BTreeSet<Holder>),
    seen: usize,
    in_progress: BTreeMap<Version, u32>,
    term: u32,
}

#[derive(Debug, Default)]
struct World {
    log: Vec<(Micros, Entry)>,
    state: (Schema, BTreeSet<Holder>),
    peers: [Peer; 3],
    submitted: Vec<Command>,
    now: Micros,
}

fn apply_entry((schema, alive): &mut (Schema, BTreeSet<Holder>), entry: &Entry) {
    let before = schema.clone();
    let changed = match entry {
        Entry::Command(c) => schema.apply(c.clone(), alive),
        Entry::Leases(now) => {
            *alive = now.clone();
            schema.on_lease_change(alive)
        }
        Entry::Sweep(now) => schema.sweep(*now),
    };
    assert_eq!(changed, before != *schema, "{entry:?}");
}

impl World {
    fn holder(&self, p: usize) -> Holder {
        Holder { incarnation: incarnation(p as u8 + 1, 1), term: self.peers[p].term }
    }

    fn append(&mut self, entry: Entry) {
        let before = self.state.0.window().clone();
        apply_entry(&mut self.state, &entry);
        if let (Some(ended), Window::Closed(_)) = (before.ending_version(), self.state.0.window()) {
            for p in (0..3).filter(|p| self.state.1.contains(&self.holder(*p))) {
                assert!(
                    !self.peers[p].in_progress.contains_key(&ended),
                    "{ended} ended with work in progress at {p}"
                );
            }
            let expected = match before {
                Window::RollingBack { old, .. } => old,
                _ => before.versions()[1],
            };
            assert_eq!(self.state.0.window(), &Window::Closed(expected));
        }
        self.log.push((self.now, entry));
    }

    fn catch_up(&mut self, p: usize, entries: usize) {
        let peer = &mut self.peers[p];
        for (_, entry) in self.log.iter().skip(peer.seen).take(entries) {
            apply_entry(&mut peer.view, entry);
            peer.seen += 1;
        }
    }

    fn begin(&mut self, p: usize, choice: u8) {
        // Its state is as old as the first entry that it has not seen.
        let peer = &mut self.peers[p];
        let cut_off_for = self.log.get(peer.seen).map(|(at, _)| self.now - at);
        // It learns of a lease from the log, and of its expiry by its own clock before the others do.
        let holder = Holder { incarnation: incarnation(p as u8 + 1, 1), term: peer.term };
        let alive = self.state.1.contains(&holder) && peer.view.1.contains(&holder);
        let starts = peer.view.0.starts(cut_off_for.filter(|_| !alive));
        let Some(&v) = starts.get(choice as usize % starts.len().max(1)) else { return };
        if alive || !matches!(peer.view.0.window(), Window::Closed(_)) {
            assert!(self.state.0.window().versions().contains(&v), "work started under {v} after its end");
        }
        *peer.in_progress.entry(v).or_default() += 1;
    }

    fn end(&mut self, p: usize, choice: u8) {
        let in_progress = &mut self.peers[p].in_progress;
        if let Some(&v) = in_progress.keys().nth(choice as usize % in_progress.len().max(1)) {
            in_progress.entry(v).and_modify(|n| *n -= 1);
            in_progress.retain(|_, n| *n > 0);
        }
    }

    fn submit_confirmation(&mut self, p: usize) {
        let (peer, holder) = (&self.peers[p], self.holder(p));
        self.submitted
            .extend(peer.view.0.pending_confirmation(holder, |v| peer.in_progress.contains_key(&v)));
    }

    fn sweep(&mut self, time: Micros) {
        self.now += time;
        // Leaders' clocks differ by more than an hour, in both directions.
        let skew = (self.now / (7 * S) % 3) * 5_000 * S;
        self.append(Entry::Sweep(self.now + skew));
    }

    fn step(&mut self, (op, a, b): (u8, u8, u8)) {
        let p = a as usize % 3;
        let step = self.peers[p].view.0.step();
        let (id, version) = (format!("m{}", b % 4), Version::from(1 + a % 4));
        match op {
            0 | 1 => {
                self.submitted.push(Command::Open(self.peers[p].view.0.window().versions()[0] + 1, step))
            }
            2 => self.submitted.push(Command::Close(step)),
            3 => self.submitted.push(Command::RollBack(step)),
            4 => self.append(Entry::Command(Command::SetVersion(id, version, u64::from(a / 16)))),
            5 => self.append(Entry::Command(Command::ReportVersion(id, version, u64::from(a / 16)))),
            6 => self.append(Entry::Command(Command::ResolveDispute(id, version, u64::from(a / 16)))),
            7 => self.append(Entry::Command(Command::Remove(id, u64::from(a / 16)))),
            8..=11 => self.catch_up(p, b as usize % 16),
            12..=14 => self.begin(p, b),
            15 | 16 => self.end(p, b),
            17 | 18 => self.submit_confirmation(p),
            // Submitted commands arrive, some of them late or repeatedly.
            19..=23 if !self.submitted.is_empty() => {
                let age = if op == 23 { b as usize } else { b as usize % 3 };
                let i = self.submitted.len() - 1 - age % self.submitted.len();
                self.append(Entry::Command(self.submitted[i].clone()));
            }
            24 => {
                let mut alive = self.state.1.clone();
                if !alive.remove(&self.holder(p)) {
                    self.peers[p].term += 1;
                    alive.insert(self.holder(p));
                }
                self.append(Entry::Leases(alive));
            }
            _ => self.sweep(u64::from(b) * S / 100),
        }
    }
}

proptest! {
    // Whatever arrives late, twice or never, no version ends while a lease holder has work under it, no work
    // starts under an ended version, and a rollback ends at the older version. Replaying the log yields the
    // same state, and the state stays bounded and round-trips through its encoding.
    #[test]
    fn any_order_of_commands_leases_and_delays(
        steps in prop::collection::vec((0u8..32, any::<u8>(), any::<u8>()), 1..400),
    ) {
        let mut w = World::default();
        w.append(Entry::Command(Command::Initialize(1, LINGER)));
        (0..3).for_each(|p| { w.catch_up(p, 1); w.step((24, p as u8, 0)); });
        // One executor holds version 2, so that the first window can close.
        w.append(Entry::Command(Command::SetVersion("m9".into(), 2, 1)));
        steps.into_iter().for_each(|s| w.step(s));
        let bytes = postcard::to_stdvec(&w.state.0).unwrap();
        prop_assert!(bytes.len() < 400, "{}", bytes.len());
        prop_assert_eq!(postcard::from_bytes::<Schema>(&bytes).unwrap(), w.state.0.clone());
        let mut replayed = (Schema::default(), BTreeSet::new());
        w.log.iter().for_each(|(_, e)| apply_entry(&mut replayed, e));
        prop_assert_eq!(&replayed, &w.state);
        // Roll back from any state: the fleet continues and every dispatcher finishes its work.
        let window = w.state.0.window().clone();
        w.append(Entry::Command(Command::RollBack(w.state.0.step())));
        for p in 0..3 {
            if !w.state.1.contains(&w.holder(p)) {
                w.step((24, p as u8, 0));
            }
        }
        for p in 0..3 {
            w.catch_up(p, usize::MAX);
            w.peers[p].in_progress.clear();
            w.submit_confirmation(p);
            if let Some(confirmation) = w.submitted.pop().filter(|c| matches!(c, Command::Confirm(..))) {
                w.append(Entry::Command(confirmation));
            }
        }
        (0..30).for_each(|_| w.sweep(S));
        prop_assert_eq!(w.state.0.window(), &Window::Closed(window.versions()[0]));
    }
}
