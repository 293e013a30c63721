//! The holder's side of the slot leases: how many slots it may use and what it requests. Sans-I/O.

use super::{Command, Slots};
use crate::{Holder, Micros};
use std::collections::VecDeque;

/// The most commands that are not applied yet; beyond that the fleet does not respond and another would not help.
const UNDER_WAY: usize = 8;

/// The slot leases of one holder. Its times are from its own clock, which has to be monotonic.
#[derive(Debug, Clone)]
pub struct Borrower {
    me: Holder,
    term: Micros,
    margin: Micros,
    min_interval: Micros,
    number: u64,
    /// Commands sent: number, time and slots returned. The first is the last one that was applied.
    sent: VecDeque<(u64, Micros, u16)>,
    /// The last values sent: `want` and `most`.
    last_sent: Option<(u16, u16)>,
}

impl Borrower {
    /// Creates a client that stops using slots `margin` before their `term` ends and sends at most one command per `min_interval`,
    /// unless one is due for renewal.
    pub fn new(me: Holder, term: Micros, margin: Micros, min_interval: Micros) -> Borrower {
        Borrower { me, term, margin, min_interval, number: 0, sent: VecDeque::new(), last_sent: None }
    }

    /// The number of slots that requests may use now. It falls to 0 when no command was applied for the term less the margin;
    /// requests that still run then have to be stopped within the margin, as the slots may go to another holder.
    pub fn usable(&self, now: Micros, slots: &Slots) -> u16 {
        let applied = slots.last_applied(self.me);
        let Some((_, at, _)) = self.sent.iter().rev().find(|(n, ..)| *n <= applied) else { return 0 };
        if applied == 0 || now >= at.saturating_add(self.term).saturating_sub(self.margin) {
            return 0;
        }
        let (have, back) = slots.held_and_recalled(self.me);
        let given: u16 = self.sent.iter().filter(|(n, ..)| *n > applied).map(|(.., back)| *back).sum();
        have.saturating_sub(back.max(given))
    }

    /// The next command to propose, if one is due: `busy` slots are in use, `want` and `most` are as in
    /// [`Command::Hold`]. From then on no more slots may be used than [`Borrower::usable`] returns.
    pub fn next_command(
        &mut self,
        now: Micros,
        slots: &Slots,
        busy: u16,
        want: u16,
        most: u16,
    ) -> Option<Command> {
        let applied = slots.last_applied(self.me);
        while self.sent.get(1).is_some_and(|(n, ..)| *n <= applied) {
            self.sent.pop_front();
        }
        let (have, back) = slots.held_and_recalled(self.me);
        let goal = if slots.shortage() > 0 { want } else { most.max(want) };
        let given = have - have.min(goal.min(have - back).max(busy));
        let last = self.sent.back().map_or(0, |(_, at, _)| *at);
        // A command sent before the last one was applied would return the same slots twice.
        let waits = self.sent.back().is_some_and(|(n, ..)| *n > applied);
        let changed = !waits && (self.last_sent != Some((want, most)) || given > 0);
        let due = now >= last.saturating_add(self.term / 4);
        let soon = now >= last.saturating_add(self.min_interval);
        if self.sent.len() > UNDER_WAY || !(self.last_sent.is_none() || due || changed && soon) {
            return None;
        }
        let back = if waits { 0 } else { given };
        self.number += 1;
        self.sent.push_back((self.number, now, back));
        self.last_sent = Some((want, most));
        Some(Command::Hold { holder: self.me, number: self.number, back, want, most })
    }
}
