//! The list in force: what the latest versions come to, and what that changes.

use super::{Act, Change, Entry, Lost, Members, Merged, Placed, Shadow};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::membership::list::List;
use crate::settings::options::Safeguard;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Losses remembered; more than these within the window count as the oldest ones would.
const MOST_LOSSES: usize = 4_096;

impl Members {
    /// Puts a list in force, of which is known what it makes of all and takes away.
    pub(super) fn take(
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
        let (digest, executors) = (list.digest, list.len());
        acts.push(Act::Taken { source: source.clone(), digest, generation, executors, change });
        acts.push(Act::Keep(source, list));
    }

    /// What the latest versions come to: each uid to the first source that names it, each address to the first
    /// executor that has it; and what is left out for that. `instead` stands for the list of one source.
    pub(super) fn merged(&self, instead: Option<(usize, &Arc<List>)>) -> (Merged, Vec<Shadow>) {
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
            let listed = list.into_iter().flat_map(|l| l.executors());
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
    pub(super) fn enforce(
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
