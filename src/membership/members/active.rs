//! The list in force: merges the latest versions of the sources and computes the changes.

use super::{ActiveEntry, Change, Effect, Entry, Members, Merged, ShadowedEntry, ZoneLosses};
use crate::api::Micros;
use crate::codec::coordinator::State;
use crate::membership::list::List;
use crate::settings::options::Safeguard;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of recorded losses; beyond it the oldest are dropped before the window ends.
const MAX_RECORDED_LOSSES: usize = 4_096;

impl Members {
    /// Puts a list in force, given the merged list that results from it and the capacity that it removes.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        rank: usize,
        list: Arc<List>,
        next: (Merged, Vec<ShadowedEntry>),
        lost: ZoneLosses,
        effects: &mut Vec<Effect>,
    ) {
        if self.files.get(&rank).is_some_and(|f| f.list.is_some()) {
            let lost = lost.into_iter().filter(|(_, (_, lost))| *lost > 0.0);
            self.recent_losses.extend(lost.map(|(zone, (_, lost))| (now, zone, lost)));
            let excess = self.recent_losses.len().saturating_sub(MAX_RECORDED_LOSSES);
            self.recent_losses.drain(..excess);
        }
        let Some(file) = self.files.get_mut(&rank) else { return };
        (file.list, file.held) = (Some(list.clone()), None);
        let change = self.activate(now, next, effects);
        let source = self.names[rank].clone();
        let generation = list.files.iter().filter_map(|f| f.generation).max();
        let (digest, executors) = (list.digest, list.len());
        effects.push(Effect::Activated { source: source.clone(), digest, generation, executors, change });
        effects.push(Effect::SaveLastGood(source, list));
    }

    /// Merges the latest versions: each uid belongs to the first source that lists it, each address to the first executor
    /// that has it. Also returns the entries left out for that. `instead` replaces the list of one source.
    pub(super) fn merge(&self, instead: Option<(usize, &Arc<List>)>) -> (Merged, Vec<ShadowedEntry>) {
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
            let listed = listed.map(|(_, m, _)| (m.uid.clone(), (rank, Entry::FromList(m.clone()))));
            let fed =
                fed.into_iter().flatten().map(|(uid, t)| (uid.clone(), (rank, Entry::FromFeed(t.clone()))));
            let mut own: Vec<(Arc<str>, (usize, Entry))> = listed.chain(fed).collect();
            if merged.is_empty() {
                // The usual case is one source: building the map from sorted entries is fast.
                own.sort_by(|a, b| a.0.cmp(&b.0));
                merged = own.into_iter().collect();
                continue;
            }
            if own.is_empty() {
                continue;
            }
            // Within the feed an address may occur twice, for a draining executor and its successor: the connection
            // pool uses the later one. Across sources the first in order of precedence has it.
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

    /// Puts the merged list in force, and returns what changed.
    pub(super) fn activate(
        &mut self,
        now: Micros,
        (next, shadowed): (Merged, Vec<ShadowedEntry>),
        effects: &mut Vec<Effect>,
    ) -> Change {
        let (mut change, mut less, mut more) = (Change::default(), Vec::new(), Vec::new());
        let feed = self.feed.as_ref().map(|(rank, _)| *rank);
        let (mut removed, mut kept) = (Vec::new(), 0);
        let hidden: BTreeSet<&str> = shadowed.iter().map(|(uid, ..)| &**uid).collect();
        for (uid, p) in &mut self.active {
            if next.contains_key(uid) || p.draining_since.is_some() {
                continue;
            }
            // An executor that the coordinator removes has ended; one that is no longer listed keeps running, and drains.
            let fed = feed == Some(p.owner) && !hidden.contains(&**uid);
            if fed {
                less.push(p.entry.with_state(State::Removed));
                removed.push(uid.clone());
            } else if self.settings.without.contains(&Safeguard::Drain) {
                p.draining_since = Some(now);
                kept += 1;
            } else {
                p.draining_since = Some(now);
                less.push(p.entry.with_state(State::Draining));
            }
        }
        change.left = less.len() + kept;
        removed.iter().for_each(|uid| drop(self.active.remove(uid)));
        for (uid, (owner, entry)) in next {
            match self.active.get_mut(&uid) {
                Some(p) if p.draining_since.is_none() && p.entry == entry => p.owner = owner,
                Some(p) => {
                    change.changed += 1;
                    let to = if entry.accepts_requests() { &mut more } else { &mut less };
                    to.push(entry.target());
                    *p = ActiveEntry { owner, entry, draining_since: None };
                }
                None => {
                    change.added += 1;
                    more.push(entry.target());
                    self.active.insert(uid, ActiveEntry { owner, entry, draining_since: None });
                }
            }
        }
        let fresh: Vec<_> =
            shadowed.iter().filter(|(uid, ..)| !self.shadowed.contains(uid)).cloned().collect();
        for (uid, rank, by) in fresh {
            effects.push(Effect::Shadowed { uid, source: self.names[rank].clone(), by });
        }
        self.shadowed = shadowed.into_iter().map(|(uid, ..)| uid).collect();
        less.append(&mut more);
        if !less.is_empty() {
            effects.push(Effect::Update(less));
        }
        change
    }
}
