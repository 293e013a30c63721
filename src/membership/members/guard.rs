//! The guard: holds a list back if it removes too much capacity, until it is accepted.

use super::{Effect, Entry, HeldList, Loss, Members, Merged, ZoneLosses, micros};
use crate::api::Micros;
use crate::membership::list::{Digest, List};
use crate::membership::storage::Acceptance;
use crate::settings::options::Safeguard;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Members {
    /// Puts a list in force, or holds it back if it removes too much capacity and was not accepted.
    pub(super) fn apply_guarded(
        &mut self,
        now: Micros,
        rank: usize,
        list: Arc<List>,
        effects: &mut Vec<Effect>,
    ) {
        let first = self.files.get(&rank).is_none_or(|f| f.list.is_none());
        let guarded = !self.settings.without.contains(&Safeguard::Guard);
        let next = self.merge(Some((rank, &list)));
        let lost = self.losses_by_zone(&next.0);
        if guarded && !first && !self.accepted(now, rank, &list) {
            let losses = self.excessive_losses(now, &lost);
            if !losses.is_empty() {
                let (source, digest) = (self.names[rank].clone(), list.digest);
                effects.push(Effect::HeldBack {
                    source,
                    digest,
                    losses: losses.clone(),
                    since: now,
                    again: false,
                });
                let remind_at = now + micros(self.settings.guard.remind);
                if let Some(file) = self.files.get_mut(&rank) {
                    file.held = Some(HeldList { list, losses, since: now, remind_at });
                }
                return;
            }
        }
        self.apply(now, rank, list, next, lost, effects);
    }

    /// Whether the list was accepted by its digest recently, or every new file in it is confirmed by its second seal.
    pub(super) fn accepted(&self, now: Micros, rank: usize, list: &List) -> bool {
        let Some(file) = self.files.get(&rank) else { return false };
        let fresh = |a: &Acceptance| {
            a.at.saturating_mul(1_000_000).saturating_add(micros(self.settings.guard.accepted_for)) > now
        };
        let old = file.list.iter().flat_map(|l| &l.files);
        let known: BTreeSet<(&str, Digest)> = old.map(|f| (&*f.name, f.digest)).collect();
        let mut new = list.files.iter().filter(|f| !known.contains(&(&*f.name, f.digest))).peekable();
        let confirmed = new.peek().is_some() && new.all(|f| f.confirm == Some(f.digest));
        confirmed || file.accepted.iter().any(|a| a.matches(&list.digest) && fresh(a))
    }

    /// Zones that would lose too much capacity, counting what lists removed within the window.
    fn excessive_losses(&mut self, now: Micros, lost: &ZoneLosses) -> Vec<Loss> {
        let window = micros(self.settings.guard.window);
        self.recent_losses.retain(|(at, ..)| now < at + window);
        let mut zones = lost.clone();
        for (_, zone, before) in &self.recent_losses {
            if let Some((all, lost)) = zones.get_mut(zone).filter(|(_, lost)| *lost > 0.0) {
                (*all, *lost) = (*all + before, *lost + before);
            }
        }
        let over = |(zone, (all, lost)): (Arc<str>, (f64, f64))| {
            let share = if all > 0.0 { lost / all } else { 0.0 };
            (share > self.settings.guard.max_loss + 1e-9).then_some(Loss { zone, share })
        };
        zones.into_iter().filter_map(over).collect()
    }

    /// For each zone in force: its capacity, and how much of it the next list removes. Weights are relative to the largest
    /// weight of the same list, as only their ratio matters.
    fn losses_by_zone(&self, next: &Merged) -> ZoneLosses {
        let max_weight = |all: &mut dyn Iterator<Item = &Entry>| {
            all.filter(|e| e.accepts_requests()).map(Entry::weight).fold(f64::MIN_POSITIVE, f64::max)
        };
        let old_max_weight =
            max_weight(&mut self.active.values().filter(|p| p.draining_since.is_none()).map(|p| &p.entry));
        let new_max_weight = max_weight(&mut next.values().map(|(_, e)| e));
        let cores = |e: &Entry| self.settings.cores.get(e.kind()).copied().unwrap_or(1.0);
        let part =
            |e: &Entry, most: f64| if e.accepts_requests() { cores(e) * e.weight() / most } else { 0.0 };
        let mut zones = ZoneLosses::new();
        for (uid, p) in self.active.iter().filter(|(_, p)| p.draining_since.is_none()) {
            let was = part(&p.entry, old_max_weight);
            // The same uid at another address is another process.
            let stays = next.get(uid).filter(|(_, e)| e.address() == p.entry.address());
            let lost = (was - stays.map_or(0.0, |(_, e)| part(e, new_max_weight))).max(0.0);
            match zones.get_mut(p.entry.zone()) {
                Some(sum) => *sum = (sum.0 + was, sum.1 + lost),
                None => drop(zones.insert(p.entry.zone_name(), (was, lost))),
            }
        }
        zones
    }
}
