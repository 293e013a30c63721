//! Leases on concurrency slots for slow requests. Slots are numbered, and each has at most one holder.
//!
//! A holder says how many slots it returns and how many it needs. Free slots are leased to the holder with the fewest
//! first, so one that asks for too much gets an equal share and what the others leave. A lease runs from the first
//! sweep after its renewal, so that it ends no sooner than its term after the renewal was requested. The slots of a
//! lost holder count as used until their leases end. When the total falls below the number of leased slots, no slot is
//! leased until enough were returned.
//!
//! [`Borrower`] is the holder's side.

mod borrower;
mod command;

use crate::state_machine::StateMachine;
use crate::{Holder, Micros};
pub use borrower::Borrower;
pub use command::{Command, Terms};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most slots.
pub const MOST: u16 = 4096;
/// The most holders.
pub const HOLDERS: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Lent {
    holder: Holder,
    /// The lease's end by the leader's clock; `None` until the next sweep.
    expires_at: Option<Micros>,
    /// When the slot was recalled, if it is.
    recalled_at: Option<Micros>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Demand {
    number: u64,
    want: u16,
    most: u16,
}

/// The slots and their leases, bounded by [`MOST`] and [`HOLDERS`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    terms: Terms,
    lent: BTreeMap<u16, Lent>,
    demands: BTreeMap<Holder, Demand>,
    clock: Micros,
}

impl Slots {
    /// The current number of slots and terms.
    pub fn terms(&self) -> Terms {
        self.terms
    }

    /// The leased slots with their holders, including those of lost holders until their leases end.
    pub fn lent(&self) -> impl Iterator<Item = (u16, Holder)> + '_ {
        self.lent.iter().map(|(n, l)| (*n, l.holder))
    }

    /// The number of slots of a holder, and how many of them are recalled.
    pub fn held_and_recalled(&self, holder: Holder) -> (u16, u16) {
        let all = self.lent.values().filter(|l| l.holder == holder);
        all.fold((0, 0), |(have, back), l| (have + 1, back + u16::from(l.recalled_at.is_some())))
    }

    /// The end of a slot's lease by the leader's clock; `None` if it is not leased or was renewed since the last sweep.
    pub fn expires_at(&self, slot: u16) -> Option<Micros> {
        self.lent.get(&slot).and_then(|l| l.expires_at)
    }

    /// The number of a holder's last applied command; 0 if there was none.
    pub fn last_applied(&self, holder: Holder) -> u64 {
        self.demands.get(&holder).map_or(0, |a| a.number)
    }

    /// The number of free slots.
    pub fn free(&self) -> u16 {
        self.terms.total.saturating_sub(self.lent.len() as u16)
    }

    /// The number of slots to recall: those that holders lack of their shares or that exceed the total, less the free ones.
    pub fn shortage(&self) -> u16 {
        let have = self.held_by_holder();
        let of = |h: &Holder| have.get(h).copied().unwrap_or(0);
        let lack: u16 = self.fair_shares().iter().map(|(h, share)| share.saturating_sub(of(h))).sum();
        let over = (self.lent.len() as u16).saturating_sub(self.terms.total);
        (lack + over).saturating_sub(self.free())
    }

    fn held_by_holder(&self) -> BTreeMap<Holder, u16> {
        let mut have = BTreeMap::new();
        self.lent.values().for_each(|l| *have.entry(l.holder).or_default() += 1);
        have
    }

    /// The max-min fair share of each holder: none gets more than it needs, and a holder that gets less has the largest
    /// share, or one slot fewer.
    fn fair_shares(&self) -> BTreeMap<Holder, u16> {
        let mut order: Vec<(u16, Holder)> = self.demands.iter().map(|(h, a)| (a.want, *h)).collect();
        order.sort();
        let (mut left, mut shares) = (self.terms.total, BTreeMap::new());
        for (i, (want, holder)) in order.iter().enumerate() {
            let rest = (order.len() - i) as u16;
            let share = (*want).min(left.div_ceil(rest)).min(left);
            left -= share;
            shares.insert(*holder, share);
        }
        shares
    }

    /// Leases the free slots: first to holders with fewer than they need, the one with the fewest first; then to those that
    /// could use more, the one with the fewest beyond its need first.
    fn lend(&mut self) -> bool {
        let (mut free, mut have, mut changed) = (self.free(), self.held_by_holder(), false);
        while free > 0 {
            let of = |h: &Holder| have.get(h).copied().unwrap_or(0);
            let short = self.demands.iter().filter(|(h, a)| of(h) < a.want).min_by_key(|(h, _)| (of(h), **h));
            let more = || {
                let all = self.demands.iter().filter(|(h, a)| of(h) < a.most);
                all.min_by_key(|(h, a)| (of(h).saturating_sub(a.want), **h))
            };
            let Some(holder) = short.or_else(more).map(|(h, _)| *h) else { break };
            let Some(slot) = (0..self.terms.total).find(|n| !self.lent.contains_key(n)) else { break };
            self.lent.insert(slot, Lent { holder, expires_at: None, recalled_at: None });
            *have.entry(holder).or_default() += 1;
            (free, changed) = (free - 1, true);
        }
        changed
    }

    /// Recalls as many slots as are lacking, from the holders with the most beyond their shares.
    fn recall(&mut self) {
        let (shares, mut have) = (self.fair_shares(), self.held_by_holder());
        let mut back: BTreeMap<Holder, u16> = BTreeMap::new();
        for _ in 0..self.shortage() {
            let over = |(h, n): &(&Holder, &u16)| n.saturating_sub(shares.get(h).copied().unwrap_or(0));
            // Slots of lost holders are freed when their leases end.
            let known = have.iter().filter(|(h, _)| shares.contains_key(h));
            let Some((most, holder)) = known.map(|e| (over(&e), *e.0)).max() else { break };
            if most == 0 {
                break;
            }
            *have.entry(holder).or_default() -= 1;
            *back.entry(holder).or_default() += 1;
        }
        // Slots that are recalled already come first, so that a slot keeps the time of its recall.
        let mut order: Vec<(bool, u16)> =
            self.lent.iter().map(|(n, l)| (l.recalled_at.is_none(), *n)).collect();
        order.sort();
        for (_, n) in order {
            let Some(l) = self.lent.get_mut(&n) else { continue };
            let left = back.entry(l.holder).or_default();
            l.recalled_at = (*left > 0).then(|| l.recalled_at.unwrap_or(self.clock));
            *left = left.saturating_sub(1);
        }
    }

    fn renew(&mut self, holder: Holder, back: u16) {
        let mine = self.lent.iter().filter(|(_, l)| l.holder == holder);
        let mut mine: Vec<(bool, u16)> = mine.map(|(n, l)| (l.recalled_at.is_none(), *n)).collect();
        // Recalled slots are returned first.
        mine.sort();
        mine.truncate(back.into());
        for (_, n) in mine {
            self.lent.remove(&n);
        }
        let (clock, longest) = (self.clock, self.terms.longest);
        for l in self.lent.values_mut().filter(|l| l.holder == holder) {
            if l.recalled_at.is_none_or(|at| clock.saturating_sub(at) < longest) {
                l.expires_at = None;
            }
        }
    }
}

impl StateMachine for Slots {
    type Command = Command;

    fn apply(&mut self, command: Command, alive: &BTreeSet<Holder>) -> bool {
        let was = self.clone();
        match command {
            Command::Set(terms) => self.terms = Terms { total: terms.total.min(MOST), ..terms },
            Command::Hold { holder, number, back, want, most } => {
                let room = self.demands.len() < HOLDERS || self.demands.contains_key(&holder);
                if !alive.contains(&holder) || number <= self.last_applied(holder) || !room {
                    return false;
                }
                let (want, most) = (want.min(MOST), most.min(MOST));
                self.demands.insert(holder, Demand { number, want, most });
                self.renew(holder, back);
            }
        }
        self.lend();
        self.recall();
        *self != was
    }

    fn on_lease_change(&mut self, alive: &BTreeSet<Holder>) -> bool {
        let before = self.demands.len();
        self.demands.retain(|h, _| alive.contains(h));
        let changed = self.demands.len() < before;
        if changed {
            self.lend();
            self.recall();
        }
        changed
    }

    fn sweep(&mut self, now: Micros) -> bool {
        self.clock = self.clock.max(now);
        let (clock, term, mut changed) = (self.clock, self.terms.term, false);
        let before = self.lent.len();
        self.lent.retain(|_, l| l.expires_at.is_none_or(|at| at > clock));
        for l in self.lent.values_mut().filter(|l| l.expires_at.is_none()) {
            l.expires_at = Some(clock.saturating_add(term));
            changed = true;
        }
        changed |= self.lent.len() < before;
        changed |= self.lend();
        self.recall();
        changed
    }
}
