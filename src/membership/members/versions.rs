//! What the sources say, and time that passes.

use super::{Act, Lost, Members, micros};
use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::membership::keep::Acceptance;
use crate::membership::list::{Digest, List};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Members {
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
    /// tells whether work is out on an executor.
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
