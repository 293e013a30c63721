//! The list in force. Sans-I/O: versions of the sources go in with their time, what to do comes out.
//!
//! The list in force follows from the latest taken version of each source alone, whatever came in between:
//! a motor belongs to the first source in the order of precedence that names its uid, and an address to the
//! first motor in that order that has it. What a list no longer names drains: it gets nothing new, completes
//! what it has, and is gone once nothing is out on it.

use super::keep::Acceptance;
use super::list::{Digest, List, Motor};
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
pub use crate::settings::options::Guard;
use crate::settings::options::{FEED, Safeguard};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn micros(d: Duration) -> Micros {
    d.as_micros() as Micros
}

/// What the list in force is made of.
#[derive(Debug, Clone)]
pub struct Sources {
    /// Names of sources, the one that goes first ahead; `feed` is the coordinator's.
    pub precedence: Vec<String>,
    /// What holds a list back.
    pub guard: Guard,
    /// How long what was taken out of a list may go on with what it has.
    pub drain_limit: Duration,
    /// Cores of each kind of machine.
    pub cores: BTreeMap<String, f64>,
    /// For tests alone: safeguards that are left out.
    pub without: BTreeSet<Safeguard>,
}

/// What a list changes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Change {
    /// Motores that were not there.
    pub added: usize,
    /// Motores that are no longer named, and drain.
    pub left: usize,
    /// Motores of which something else changed.
    pub changed: usize,
}

/// How much a list takes away from a room.
#[derive(Debug, Clone, PartialEq)]
pub struct Loss {
    /// The room.
    pub room: Arc<str>,
    /// Share of its capacity, 0 to 1, with what was taken away lately.
    pub share: f64,
}

/// What comes of a version.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    /// Entries that changed, in this order: what gets less ahead of what gets more.
    Change(Vec<Target>),
    /// A list is in force.
    Taken {
        /// Its source.
        source: Arc<str>,
        /// Its digest.
        digest: Digest,
        /// The highest generation of its files.
        generation: Option<u64>,
        /// Its motores.
        motores: usize,
        /// What it changed.
        change: Change,
    },
    /// Keep this list as the last good one.
    Keep(Arc<str>, Arc<List>),
    /// A list is held back until it is confirmed; told again from time to time.
    Held {
        /// Its source.
        source: Arc<str>,
        /// Its digest.
        digest: Digest,
        /// What it takes away.
        losses: Vec<Loss>,
        /// Since when it is held back.
        since: Micros,
        /// Not for the first time.
        again: bool,
    },
    /// A list that was held back is there no more.
    Withdrawn(Arc<str>, Digest),
    /// A list that can't follow the one in force; it changes nothing.
    Refused(Arc<str>, Digest, String),
    /// An entry that another source's goes before: told when that begins.
    Shadowed {
        /// The motor left out.
        uid: Arc<str>,
        /// The source that names it.
        source: Arc<str>,
        /// The motor that has its address, by a source that goes first.
        by: Arc<str>,
    },
    /// A motor that was taken out of its list has nothing left, or its time is over, and is gone.
    Gone {
        /// The motor.
        uid: Arc<str>,
        /// How long it drained.
        after: Micros,
        /// It still had work when its time was over.
        cut: bool,
    },
}

/// A motor, as its owner has it.
#[derive(Debug, Clone, PartialEq)]
enum Entry {
    Listed(Arc<Motor>),
    Fed(Arc<Target>),
}

impl Entry {
    fn address(&self) -> Option<SocketAddr> {
        match self {
            Entry::Listed(m) => Some(m.address),
            Entry::Fed(t) => t.endpoint,
        }
    }

    fn takes(&self) -> bool {
        match self {
            Entry::Listed(m) => m.takes(),
            Entry::Fed(t) => t.state == State::Up,
        }
    }

    fn room(&self) -> &str {
        match self {
            Entry::Listed(m) => &m.room,
            Entry::Fed(t) => &t.az,
        }
    }

    /// The room's name, shared where that can be.
    fn room_name(&self) -> Arc<str> {
        match self {
            Entry::Listed(m) => m.room.clone(),
            Entry::Fed(t) => t.az.as_str().into(),
        }
    }

    fn kind(&self) -> &str {
        match self {
            Entry::Listed(m) => &m.kind,
            Entry::Fed(t) => &t.model,
        }
    }

    fn weight(&self) -> f64 {
        match self {
            Entry::Listed(m) => m.weight,
            Entry::Fed(_) => 1.0,
        }
    }

    fn target(&self) -> Target {
        match self {
            Entry::Fed(t) => Target::clone(t),
            Entry::Listed(m) => Target {
                uid: m.uid.to_string(),
                endpoint: Some(m.address),
                az: m.room.to_string(),
                model: m.kind.to_string(),
                pod_group: 0,
                state: if m.takes() { State::Up } else { State::Draining },
                capacity_hint: None,
                boot_ms: 0,
                weight: Some(m.weight).filter(|w| *w > 0.0),
            },
        }
    }

    fn told(&self, state: State) -> Target {
        Target { state, ..self.target() }
    }
}

/// A motor in force.
#[derive(Debug, Clone)]
struct Placed {
    /// Its owner, by rank; the lowest goes first.
    owner: usize,
    entry: Entry,
    /// Since when it drains because no source names it any more.
    leaving: Option<Micros>,
}

/// A list that waits for its confirmation.
#[derive(Debug, Clone)]
struct Held {
    list: Arc<List>,
    losses: Vec<Loss>,
    since: Micros,
    remind_at: Micros,
}

#[derive(Debug, Clone, Default)]
struct FileSource {
    list: Option<Arc<List>>,
    held: Option<Held>,
    accepted: Vec<Acceptance>,
}

/// Motores by uid, each with the rank of its owner.
type Merged = BTreeMap<Arc<str>, (usize, Entry)>;
/// By room: its capacity, and what of it is taken away.
type Lost = BTreeMap<Arc<str>, (f64, f64)>;
/// Left out for its address: the motor, the rank of its source, and whose the address is.
type Shadow = (Arc<str>, usize, Arc<str>);
/// The feed's rank and what it tells.
type Fed = (usize, BTreeMap<Arc<str>, Arc<Target>>);

/// The list in force and the sources that it comes from.
#[derive(Debug, Clone)]
pub struct Members {
    terms: Sources,
    names: Vec<Arc<str>>,
    files: BTreeMap<usize, FileSource>,
    feed: Option<Fed>,
    force: BTreeMap<Arc<str>, Placed>,
    /// Entries left out for another's address, so that each is told once.
    shadowed: BTreeSet<Arc<str>>,
    /// Capacity that lists took away lately: when, of which room, how much.
    lost: VecDeque<(Micros, Arc<str>, f64)>,
}

/// Losses remembered; more than these within the window count as the oldest ones would.
const MOST_LOSSES: usize = 4_096;

impl Members {
    /// None yet.
    pub fn new(terms: Sources) -> Members {
        let names: Vec<Arc<str>> = terms.precedence.iter().map(|n| n.as_str().into()).collect();
        let files = (0..names.len()).filter(|i| &*names[*i] != FEED).map(|i| (i, FileSource::default()));
        Members {
            files: files.collect(),
            feed: names.iter().position(|n| &**n == FEED).map(|rank| (rank, BTreeMap::new())),
            names,
            terms,
            force: BTreeMap::new(),
            shadowed: BTreeSet::new(),
            lost: VecDeque::new(),
        }
    }

    /// Whether the coordinator's feed is a source.
    pub fn follows_feed(&self) -> bool {
        self.feed.is_some()
    }

    /// All that is in force now, drains included.
    pub fn in_force(&self) -> Vec<Target> {
        let told = |p: &Placed| match p.leaving {
            Some(_) => p.entry.told(State::Draining),
            None => p.entry.target(),
        };
        self.force.values().map(told).collect()
    }

    /// The digest of a source's list in force.
    pub fn digest(&self, source: &str) -> Option<Digest> {
        self.files.get(&self.rank(source)?)?.list.as_ref().map(|l| l.digest)
    }

    fn rank(&self, source: &str) -> Option<usize> {
        self.names.iter().position(|n| &**n == source)
    }

    // ---- What the sources say ----------------------------------------------------------------------

    /// Word of the coordinator: what it says is gone is gone at once, as its process is.
    pub fn feed(&mut self, now: Micros, whole: bool, targets: &[Target]) -> Vec<Act> {
        let Some((_, fed)) = &mut self.feed else { return Vec::new() };
        if whole {
            fed.clear();
        }
        for t in targets {
            let uid: Arc<str> = t.uid.as_str().into();
            match t.state {
                State::Removed => fed.remove(&uid),
                State::Up | State::Draining => fed.insert(uid, Arc::new(t.clone())),
            };
        }
        let mut acts = Vec::new();
        let next = self.merged(None);
        self.enforce(now, next, &mut acts);
        acts
    }

    /// A list of files that was read whole and checked.
    pub fn list(&mut self, now: Micros, source: &str, list: List) -> Vec<Act> {
        let Some(rank) = self.rank(source) else { return Vec::new() };
        let Some(file) = self.files.get_mut(&rank) else { return Vec::new() };
        let (mut acts, name, list) = (Vec::new(), self.names[rank].clone(), Arc::new(list));
        // Whatever was held back is not what the files say any more.
        if let Some(held) = file.held.take_if(|h| h.list.digest != list.digest) {
            acts.push(Act::Withdrawn(name.clone(), held.list.digest));
        }
        if file.held.is_some() || file.list.as_ref().is_some_and(|l| l.digest == list.digest) {
            return acts;
        }
        if let Some(why) = file.list.as_ref().and_then(|old| goes_back(old, &list)) {
            acts.push(Act::Refused(name, list.digest, why));
            return acts;
        }
        self.try_list(now, rank, list, &mut acts);
        acts
    }

    /// What a person accepted; a list that waits for it is taken now.
    pub fn accept(&mut self, now: Micros, source: &str, accepted: Vec<Acceptance>) -> Vec<Act> {
        let Some(rank) = self.rank(source) else { return Vec::new() };
        let Some(file) = self.files.get_mut(&rank) else { return Vec::new() };
        file.accepted = accepted;
        let (mut acts, held) = (Vec::new(), file.held.take());
        if let Some(held) = held {
            if self.accepted(now, rank, &held.list) {
                self.try_list(now, rank, held.list, &mut acts);
            } else if let Some(file) = self.files.get_mut(&rank) {
                file.held = Some(held);
            }
        }
        acts
    }

    /// The list that was kept, at a start: in force without further questions.
    pub fn restore(&mut self, now: Micros, source: &str, list: List) -> Vec<Act> {
        let mut acts = Vec::new();
        if let Some(rank) = self.rank(source).filter(|r| self.files.contains_key(r)) {
            let list = Arc::new(list);
            let next = self.merged(Some((rank, &list)));
            self.take(now, rank, list, next, Lost::new(), &mut acts);
        }
        acts
    }

    /// Lets time pass, ten times a second or so: what has drained goes, what is held back is told again. `busy`
    /// tells whether work is out on a motor.
    pub fn tick(&mut self, now: Micros, busy: &dyn Fn(&str) -> bool) -> Vec<Act> {
        let (mut acts, mut gone) = (Vec::new(), Vec::new());
        let limit = micros(self.terms.drain_limit);
        for (uid, p) in &self.force {
            let Some(since) = p.leaving else { continue };
            let (works, over) = (busy(uid), now >= since + limit);
            if !works || over {
                gone.push((p.entry.told(State::Removed), uid.clone(), now.saturating_sub(since), works));
            }
        }
        for (target, uid, after, cut) in gone {
            self.force.remove(&uid);
            acts.push(Act::Change(vec![target]));
            acts.push(Act::Gone { uid, after, cut });
        }
        let remind = micros(self.terms.guard.remind);
        for (rank, file) in &mut self.files {
            let Some(held) = file.held.as_mut().filter(|h| h.remind_at <= now) else { continue };
            held.remind_at = now + remind;
            let (source, digest) = (self.names[*rank].clone(), held.list.digest);
            let (losses, since) = (held.losses.clone(), held.since);
            acts.push(Act::Held { source, digest, losses, since, again: true });
        }
        acts
    }

    // ---- Guard -------------------------------------------------------------------------------------

    fn try_list(&mut self, now: Micros, rank: usize, list: Arc<List>, acts: &mut Vec<Act>) {
        let first = self.files.get(&rank).is_none_or(|f| f.list.is_none());
        let guarded = !self.terms.without.contains(&Safeguard::Guard);
        let next = self.merged(Some((rank, &list)));
        let lost = self.lost_by(&next.0);
        if guarded && !first && !self.accepted(now, rank, &list) {
            let losses = self.losses(now, &lost);
            if !losses.is_empty() {
                let (source, digest) = (self.names[rank].clone(), list.digest);
                acts.push(Act::Held { source, digest, losses: losses.clone(), since: now, again: false });
                let remind_at = now + micros(self.terms.guard.remind);
                if let Some(file) = self.files.get_mut(&rank) {
                    file.held = Some(Held { list, losses, since: now, remind_at });
                }
                return;
            }
        }
        self.take(now, rank, list, next, lost, acts);
    }

    /// Accepted by its digest lately, or confirmed by the second seal of every file that is new in it.
    fn accepted(&self, now: Micros, rank: usize, list: &List) -> bool {
        let Some(file) = self.files.get(&rank) else { return false };
        let fresh = |a: &Acceptance| {
            a.at.saturating_mul(1_000_000).saturating_add(micros(self.terms.guard.accepted_for)) > now
        };
        let old = file.list.iter().flat_map(|l| &l.files);
        let known: BTreeSet<(&str, Digest)> = old.map(|f| (&*f.name, f.digest)).collect();
        let mut new = list.files.iter().filter(|f| !known.contains(&(&*f.name, f.digest))).peekable();
        let confirmed = new.peek().is_some() && new.all(|f| f.confirm == Some(f.digest));
        confirmed || file.accepted.iter().any(|a| a.names(&list.digest) && fresh(a))
    }

    /// Rooms that would lose too much, with what lists took away lately.
    fn losses(&mut self, now: Micros, lost: &Lost) -> Vec<Loss> {
        let window = micros(self.terms.guard.window);
        self.lost.retain(|(at, ..)| now < at + window);
        let mut rooms = lost.clone();
        for (_, room, before) in &self.lost {
            if let Some((all, lost)) = rooms.get_mut(room).filter(|(_, lost)| *lost > 0.0) {
                (*all, *lost) = (*all + before, *lost + before);
            }
        }
        let over = |(room, (all, lost)): (Arc<str>, (f64, f64))| {
            let share = if all > 0.0 { lost / all } else { 0.0 };
            (share > self.terms.guard.most_loss + 1e-9).then_some(Loss { room, share })
        };
        rooms.into_iter().filter_map(over).collect()
    }

    /// For each room in force: its capacity, and what of it another list takes away. Weights count against the
    /// largest of their time, as only their ratio matters.
    fn lost_by(&self, next: &Merged) -> Lost {
        let most = |all: &mut dyn Iterator<Item = &Entry>| {
            all.filter(|e| e.takes()).map(Entry::weight).fold(f64::MIN_POSITIVE, f64::max)
        };
        let was_most = most(&mut self.force.values().filter(|p| p.leaving.is_none()).map(|p| &p.entry));
        let is_most = most(&mut next.values().map(|(_, e)| e));
        let cores = |e: &Entry| self.terms.cores.get(e.kind()).copied().unwrap_or(1.0);
        let part = |e: &Entry, most: f64| if e.takes() { cores(e) * e.weight() / most } else { 0.0 };
        let mut rooms = Lost::new();
        for (uid, p) in self.force.iter().filter(|(_, p)| p.leaving.is_none()) {
            let was = part(&p.entry, was_most);
            // The same motor under another address is another process.
            let stays = next.get(uid).filter(|(_, e)| e.address() == p.entry.address());
            let lost = (was - stays.map_or(0.0, |(_, e)| part(e, is_most))).max(0.0);
            match rooms.get_mut(p.entry.room()) {
                Some(sum) => *sum = (sum.0 + was, sum.1 + lost),
                None => drop(rooms.insert(p.entry.room_name(), (was, lost))),
            }
        }
        rooms
    }

    // ---- The list in force -------------------------------------------------------------------------

    /// Puts a list in force, of which is known what it makes of all and takes away.
    fn take(
        &mut self,
        now: Micros,
        rank: usize,
        list: Arc<List>,
        next: (Merged, Vec<Shadow>),
        lost: Lost,
        acts: &mut Vec<Act>,
    ) {
        if self.files.get(&rank).is_some_and(|f| f.list.is_some()) {
            let lost = lost.into_iter().filter(|(_, (_, lost))| *lost > 0.0);
            self.lost.extend(lost.map(|(room, (_, lost))| (now, room, lost)));
            let spare = self.lost.len().saturating_sub(MOST_LOSSES);
            self.lost.drain(..spare);
        }
        let Some(file) = self.files.get_mut(&rank) else { return };
        (file.list, file.held) = (Some(list.clone()), None);
        let change = self.enforce(now, next, acts);
        let source = self.names[rank].clone();
        let generation = list.files.iter().filter_map(|f| f.generation).max();
        let (digest, motores) = (list.digest, list.len());
        acts.push(Act::Taken { source: source.clone(), digest, generation, motores, change });
        acts.push(Act::Keep(source, list));
    }

    /// What the latest versions come to: each uid to the first source that names it, each address to the first
    /// motor that has it; and what is left out for that. `instead` stands for the list of one source.
    fn merged(&self, instead: Option<(usize, &Arc<List>)>) -> (Merged, Vec<Shadow>) {
        let mut merged = Merged::new();
        let mut addresses: HashMap<SocketAddr, Arc<str>> = HashMap::new();
        let mut shadowed = Vec::new();
        for rank in 0..self.names.len() {
            let file = self.files.get(&rank);
            let list = match instead {
                Some((r, list)) if r == rank => Some(list),
                _ => file.and_then(|f| f.list.as_ref()),
            };
            let fed = self.feed.as_ref().filter(|(r, _)| *r == rank).map(|(_, t)| t);
            let listed = list.into_iter().flat_map(|l| l.motores());
            let listed = listed.map(|(_, m, _)| (m.uid.clone(), (rank, Entry::Listed(m.clone()))));
            let fed = fed.into_iter().flatten().map(|(uid, t)| (uid.clone(), (rank, Entry::Fed(t.clone()))));
            let mut own: Vec<(Arc<str>, (usize, Entry))> = listed.chain(fed).collect();
            if merged.is_empty() {
                // The usual case, one source: a map of what is sorted is made in one go.
                own.sort_by(|a, b| a.0.cmp(&b.0));
                merged = own.into_iter().collect();
                continue;
            }
            if own.is_empty() {
                continue;
            }
            // Within the feed an address may be given twice, to one that drains and the one that follows it: the
            // executors' side keeps to the later one. Across sources the first in order has it.
            let known = merged.iter().filter_map(|(uid, (_, e))| Some((e.address()?, uid.clone())));
            addresses.extend(known);
            for (uid, (rank, entry)) in own {
                if merged.contains_key(&uid) {
                    continue;
                }
                match entry.address().and_then(|a| addresses.get(&a)) {
                    Some(by) => shadowed.push((uid, rank, by.clone())),
                    None => drop(merged.insert(uid, (rank, entry))),
                }
            }
        }
        (merged, shadowed)
    }

    /// Makes the merged list the one in force, and tells what that changes.
    fn enforce(
        &mut self,
        now: Micros,
        (next, shadowed): (Merged, Vec<Shadow>),
        acts: &mut Vec<Act>,
    ) -> Change {
        let (mut change, mut less, mut more) = (Change::default(), Vec::new(), Vec::new());
        let feed = self.feed.as_ref().map(|(rank, _)| *rank);
        let (mut gone, mut kept) = (Vec::new(), 0);
        let hidden: BTreeSet<&str> = shadowed.iter().map(|(uid, ..)| &**uid).collect();
        for (uid, p) in &mut self.force {
            if next.contains_key(uid) || p.leaving.is_some() {
                continue;
            }
            // A process that the coordinator calls gone is gone; one that a list leaves out runs on, and drains.
            let fed = feed == Some(p.owner) && !hidden.contains(&**uid);
            if fed {
                less.push(p.entry.told(State::Removed));
                gone.push(uid.clone());
            } else if self.terms.without.contains(&Safeguard::Drain) {
                p.leaving = Some(now);
                kept += 1;
            } else {
                p.leaving = Some(now);
                less.push(p.entry.told(State::Draining));
            }
        }
        change.left = less.len() + kept;
        gone.iter().for_each(|uid| drop(self.force.remove(uid)));
        for (uid, (owner, entry)) in next {
            match self.force.get_mut(&uid) {
                Some(p) if p.leaving.is_none() && p.entry == entry => p.owner = owner,
                Some(p) => {
                    change.changed += 1;
                    let to = if entry.takes() { &mut more } else { &mut less };
                    to.push(entry.target());
                    *p = Placed { owner, entry, leaving: None };
                }
                None => {
                    change.added += 1;
                    more.push(entry.target());
                    self.force.insert(uid, Placed { owner, entry, leaving: None });
                }
            }
        }
        let fresh: Vec<_> =
            shadowed.iter().filter(|(uid, ..)| !self.shadowed.contains(uid)).cloned().collect();
        for (uid, rank, by) in fresh {
            acts.push(Act::Shadowed { uid, source: self.names[rank].clone(), by });
        }
        self.shadowed = shadowed.into_iter().map(|(uid, ..)| uid).collect();
        less.append(&mut more);
        if !less.is_empty() {
            acts.push(Act::Change(less));
        }
        change
    }
}

/// Why a list can't follow another: a file's generation that goes back, is gone or was used for something else.
fn goes_back(old: &List, new: &List) -> Option<String> {
    let known: BTreeMap<&str, (u64, Digest)> =
        old.files.iter().filter_map(|f| Some((&*f.name, (f.generation?, f.digest)))).collect();
    new.files.iter().find_map(|f| {
        let (had, digest) = known.get(&*f.name)?;
        match f.generation {
            None => Some(format!("{}: no generation, {had} is in force", f.name)),
            Some(g) if g < *had => {
                Some(format!("{}: generation {g} is older than {had}, which is in force", f.name))
            }
            Some(g) if g == *had && f.digest != *digest => {
                Some(format!("{}: generation {g} is in force with another content; count it on", f.name))
            }
            Some(_) => None,
        }
    })
}

#[cfg(test)]
mod tests;
