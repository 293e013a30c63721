//! New versions of the sources, and timers.

use super::{Effect, Members, ZoneLosses, micros};
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::membership::list::{Digest, List};
use crate::membership::storage::Acceptance;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Members {
    /// Applies an update of the coordinator's feed. An executor that it removes is removed at once, as its process has
    /// ended.
    pub fn update_feed(&mut self, now: Micros, complete: bool, targets: &[Target]) -> Vec<Effect> {
        let Some((_, fed)) = &mut self.feed else { return Vec::new() };
        if complete {
            fed.clear();
        }
        for t in targets {
            let uid: Arc<str> = t.uid.as_str().into();
            match t.state {
                State::Removed => fed.remove(&uid),
                State::Up | State::Draining => fed.insert(uid, Arc::new(t.clone())),
            };
        }
        let mut effects = Vec::new();
        let next = self.merge(None);
        self.activate(now, next, &mut effects);
        effects
    }

    /// Applies a list from files that was read completely and validated.
    pub fn update_list(&mut self, now: Micros, source: &str, list: List) -> Vec<Effect> {
        let Some(rank) = self.rank(source) else { return Vec::new() };
        let Some(file) = self.files.get_mut(&rank) else { return Vec::new() };
        let (mut effects, name, list) = (Vec::new(), self.names[rank].clone(), Arc::new(list));
        // The files no longer contain the list that was held back.
        if let Some(held) = file.held.take_if(|h| h.list.digest != list.digest) {
            effects.push(Effect::Withdrawn(name.clone(), held.list.digest));
        }
        if file.held.is_some() || file.list.as_ref().is_some_and(|l| l.digest == list.digest) {
            return effects;
        }
        if let Some(why) = file.list.as_ref().and_then(|old| generation_conflict(old, &list)) {
            effects.push(Effect::Rejected(name, list.digest, why));
            return effects;
        }
        self.apply_guarded(now, rank, list, &mut effects);
        effects
    }

    /// Applies acceptances; a list that was held back and is accepted now comes into force.
    pub fn accept(&mut self, now: Micros, source: &str, accepted: Vec<Acceptance>) -> Vec<Effect> {
        let Some(rank) = self.rank(source) else { return Vec::new() };
        let Some(file) = self.files.get_mut(&rank) else { return Vec::new() };
        file.accepted = accepted;
        let (mut effects, held) = (Vec::new(), file.held.take());
        if let Some(held) = held {
            if self.accepted(now, rank, &held.list) {
                self.apply_guarded(now, rank, held.list, &mut effects);
            } else if let Some(file) = self.files.get_mut(&rank) {
                file.held = Some(held);
            }
        }
        effects
    }

    /// Puts the saved last good list in force at a start, without checking it against the guard.
    pub fn restore(&mut self, now: Micros, source: &str, list: List) -> Vec<Effect> {
        let mut effects = Vec::new();
        if let Some(rank) = self.rank(source).filter(|r| self.files.contains_key(r)) {
            let list = Arc::new(list);
            let next = self.merge(Some((rank, &list)));
            self.apply(now, rank, list, next, ZoneLosses::new(), &mut effects);
        }
        effects
    }

    /// Runs the timers, about ten times a second: removes drained executors and repeats reports of lists held back.
    /// `busy` returns whether an executor has outstanding work.
    pub fn tick(&mut self, now: Micros, busy: &dyn Fn(&str) -> bool) -> Vec<Effect> {
        let (mut effects, mut removed) = (Vec::new(), Vec::new());
        let limit = micros(self.settings.drain_limit);
        for (uid, p) in &self.active {
            let Some(since) = p.draining_since else { continue };
            let (is_busy, limit_reached) = (busy(uid), now >= since + limit);
            if !is_busy || limit_reached {
                removed.push((
                    p.entry.with_state(State::Removed),
                    uid.clone(),
                    now.saturating_sub(since),
                    is_busy,
                ));
            }
        }
        for (target, uid, after, timed_out) in removed {
            self.active.remove(&uid);
            effects.push(Effect::Update(vec![target]));
            effects.push(Effect::Drained { uid, after, timed_out });
        }
        let remind = micros(self.settings.guard.remind);
        for (rank, file) in &mut self.files {
            let Some(held) = file.held.as_mut().filter(|h| h.remind_at <= now) else { continue };
            held.remind_at = now + remind;
            let (source, digest) = (self.names[*rank].clone(), held.list.digest);
            let (losses, since) = (held.losses.clone(), held.since);
            effects.push(Effect::HeldBack { source, digest, losses, since, again: true });
        }
        effects
    }
}
/// Why a list can't replace another: the generation of a file is lower, missing, or the same with another content.
fn generation_conflict(old: &List, new: &List) -> Option<String> {
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
