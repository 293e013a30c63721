//! Leases on concurrency slots for slow requests. Slots are numbered, and each has at most one holder.
//!
//! A holder says how many slots it returns and how many it needs. Free slots are leased to the holder with the fewest
//! first, so one that asks for too much gets an equal share and what the others leave. A lease runs from the first
//! sweep after its renewal, so that it ends no sooner than its term after the renewal was requested. The slots of a
//! lost holder count as used until their leases end. When the total falls below the number of leased slots, no slot is
//! leased until enough were returned.
//!
//! [`SlotHolder`] is the holder's side.

mod command;
mod slot_holder;

use crate::state_machine::StateMachine;
use crate::{Holder, Micros};
pub use command::{Command, LeaseTerms};
use serde::{Deserialize, Serialize};
pub use slot_holder::SlotHolder;
use std::collections::{BTreeMap, BTreeSet};

/// The most slots.
pub const MAX_SLOTS: u16 = 4096;
/// The most holders.
pub const MAX_HOLDERS: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct SlotLease {
    holder: Holder,
    /// The lease's end by the leader's clock; `None` until the next sweep.
    expires_at: Option<Micros>,
    /// When the slot was recalled, if it is.
    recalled_at: Option<Micros>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Demand {
    sequence: u64,
    needed: u16,
    max_usable: u16,
}

/// The slots and their leases, bounded by [`MAX_SLOTS`] and [`MAX_HOLDERS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    terms: LeaseTerms,
    leases: BTreeMap<u16, SlotLease>,
    demands: BTreeMap<Holder, Demand>,
    clock: Micros,
}

impl Slots {
    /// The current number of slots and terms.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// The leased slots with their holders, including those of lost holders until their leases end.
    pub fn leased(&self) -> impl Iterator<Item = (u16, Holder)> + '_ {
        self.leases.iter().map(|(n, l)| (*n, l.holder))
    }

    /// The number of slots of a holder, and how many of them are recalled.
    pub fn held_and_recalled(&self, holder: Holder) -> (u16, u16) {
        let all = self.leases.values().filter(|l| l.holder == holder);
        all.fold((0, 0), |(held, recalled), l| (held + 1, recalled + u16::from(l.recalled_at.is_some())))
    }

    /// The end of a slot's lease by the leader's clock; `None` if it is not leased or was renewed since the last sweep.
    pub fn expires_at(&self, slot: u16) -> Option<Micros> {
        self.leases.get(&slot).and_then(|l| l.expires_at)
    }

    /// The sequence number of a holder's last applied command; 0 if there was none.
    pub fn last_applied(&self, holder: Holder) -> u64 {
        self.demands.get(&holder).map_or(0, |a| a.sequence)
    }

    /// The number of free slots.
    pub fn free(&self) -> u16 {
        self.terms.total.saturating_sub(self.leases.len() as u16)
    }

    /// The number of slots to recall: those that holders lack of their shares or that exceed the total, less the free ones.
    pub fn shortage(&self) -> u16 {
        let held = self.held_by_holder();
        let held_by = |h: &Holder| held.get(h).copied().unwrap_or(0);
        let missing: u16 = self.fair_shares().iter().map(|(h, share)| share.saturating_sub(held_by(h))).sum();
        let over = (self.leases.len() as u16).saturating_sub(self.terms.total);
        (missing + over).saturating_sub(self.free())
    }

    fn held_by_holder(&self) -> BTreeMap<Holder, u16> {
        let mut held = BTreeMap::new();
        self.leases.values().for_each(|l| *held.entry(l.holder).or_default() += 1);
        held
    }

    /// The max-min fair share of each holder: none gets more than it needs, and a holder that gets less has the largest
    /// share, or one slot fewer.
    fn fair_shares(&self) -> BTreeMap<Holder, u16> {
        let mut order: Vec<(u16, Holder)> = self.demands.iter().map(|(h, a)| (a.needed, *h)).collect();
        order.sort();
        let (mut left, mut shares) = (self.terms.total, BTreeMap::new());
        for (i, (needed, holder)) in order.iter().enumerate() {
            let rest = (order.len() - i) as u16;
            let share = (*needed).min(left.div_ceil(rest)).min(left);
            left -= share;
            shares.insert(*holder, share);
        }
        shares
    }

    /// Leases the free slots: first to holders with fewer than they need, the one with the fewest first; then to those that
    /// could use more, the one with the fewest beyond its need first.
    fn lease_free_slots(&mut self) -> bool {
        let (mut free, mut held, mut changed) = (self.free(), self.held_by_holder(), false);
        while free > 0 {
            let held_by = |h: &Holder| held.get(h).copied().unwrap_or(0);
            let short = self
                .demands
                .iter()
                .filter(|(h, a)| held_by(h) < a.needed)
                .min_by_key(|(h, _)| (held_by(h), **h));
            let more = || {
                let all = self.demands.iter().filter(|(h, a)| held_by(h) < a.max_usable);
                all.min_by_key(|(h, a)| (held_by(h).saturating_sub(a.needed), **h))
            };
            let Some(holder) = short.or_else(more).map(|(h, _)| *h) else { break };
            let Some(slot) = (0..self.terms.total).find(|n| !self.leases.contains_key(n)) else { break };
            self.leases.insert(slot, SlotLease { holder, expires_at: None, recalled_at: None });
            *held.entry(holder).or_default() += 1;
            (free, changed) = (free - 1, true);
        }
        changed
    }

    /// Recalls as many slots as are lacking, from the holders with the most beyond their shares. A recall is withdrawn only
    /// from a slot that was renewed since the last sweep: the holder takes a slot that is not recalled for renewed by its last
    /// applied command.
    fn recall(&mut self) {
        let (shares, mut held) = (self.fair_shares(), self.held_by_holder());
        let mut recalled: BTreeMap<Holder, u16> = BTreeMap::new();
        for _ in 0..self.shortage() {
            let over = |(h, n): &(&Holder, &u16)| n.saturating_sub(shares.get(h).copied().unwrap_or(0));
            // Slots of lost holders are freed when their leases end.
            let known = held.iter().filter(|(h, _)| shares.contains_key(h));
            let Some((excess, holder)) = known.map(|e| (over(&e), *e.0)).max() else { break };
            if excess == 0 {
                break;
            }
            *held.entry(holder).or_default() -= 1;
            *recalled.entry(holder).or_default() += 1;
        }
        // Slots that are recalled already come first, so that a slot keeps the time of its recall.
        let mut order: Vec<(bool, u16)> =
            self.leases.iter().map(|(n, l)| (l.recalled_at.is_none(), *n)).collect();
        order.sort();
        for (_, n) in order {
            let Some(l) = self.leases.get_mut(&n) else { continue };
            let left = recalled.entry(l.holder).or_default();
            if *left > 0 {
                l.recalled_at = l.recalled_at.or(Some(self.clock));
            } else if l.expires_at.is_none() {
                l.recalled_at = None;
            }
            *left = left.saturating_sub(1);
        }
    }

    fn renew(&mut self, holder: Holder, returned: u16) {
        let mine = self.leases.iter().filter(|(_, l)| l.holder == holder);
        let mut mine: Vec<(bool, u16)> = mine.map(|(n, l)| (l.recalled_at.is_none(), *n)).collect();
        // Recalled slots are returned first.
        mine.sort();
        mine.truncate(returned.into());
        for (_, n) in mine {
            self.leases.remove(&n);
        }
        let (clock, max_request_duration) = (self.clock, self.terms.max_request_duration);
        for l in self.leases.values_mut().filter(|l| l.holder == holder) {
            if l.recalled_at.is_none_or(|at| clock.saturating_sub(at) < max_request_duration) {
                l.expires_at = None;
            }
        }
    }
}

impl StateMachine for Slots {
    type Command = Command;

    fn apply(&mut self, command: Command, alive: &BTreeSet<Holder>) -> bool {
        let before = self.clone();
        match command {
            Command::SetTerms(terms) => {
                self.terms = LeaseTerms { total: terms.total.min(MAX_SLOTS), ..terms }
            }
            Command::Update { holder, sequence, returned, needed, max_usable } => {
                let room = self.demands.len() < MAX_HOLDERS || self.demands.contains_key(&holder);
                if !alive.contains(&holder) || sequence <= self.last_applied(holder) || !room {
                    return false;
                }
                let (needed, max_usable) = (needed.min(MAX_SLOTS), max_usable.min(MAX_SLOTS));
                self.demands.insert(holder, Demand { sequence, needed, max_usable });
                self.renew(holder, returned);
            }
        }
        self.lease_free_slots();
        self.recall();
        *self != before
    }

    fn on_lease_change(&mut self, alive: &BTreeSet<Holder>) -> bool {
        let before = self.demands.len();
        self.demands.retain(|h, _| alive.contains(h));
        let changed = self.demands.len() < before;
        if changed {
            self.lease_free_slots();
            self.recall();
        }
        changed
    }

    fn sweep(&mut self, now: Micros) -> bool {
        let is_first = self.clock == 0;
        self.clock = self.clock.max(now);
        if is_first {
            // The time was not known when they were recalled.
            self.leases.values_mut().for_each(|l| l.recalled_at = l.recalled_at.and(Some(now)));
        }
        let (clock, term, mut changed) = (self.clock, self.terms.term, false);
        let before = self.leases.len();
        self.leases.retain(|_, l| l.expires_at.is_none_or(|at| at > clock));
        for l in self.leases.values_mut().filter(|l| l.expires_at.is_none()) {
            l.expires_at = Some(clock.saturating_add(term));
            changed = true;
        }
        changed |= self.leases.len() < before;
        changed |= self.lease_free_slots();
        self.recall();
        changed
    }
}
