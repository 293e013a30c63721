//! The holder's side of the slot leases: how many slots it may use and what it requests. Sans-I/O.

use super::{Command, Slots};
use crate::{Holder, Micros};
use std::collections::VecDeque;

/// The most commands that are not applied yet. With more, the fleet does not respond, and another would not help.
const MAX_PENDING_COMMANDS: usize = 8;

/// The slot leases of one holder. Its times are from its own clock, which has to be monotonic.
#[derive(Debug, Clone)]
pub struct SlotHolder {
    me: Holder,
    term: Micros,
    margin: Micros,
    min_interval: Micros,
    /// The sequence number of the last command.
    sequence: u64,
    /// Commands sent: sequence number, time and slots returned. The first is the last one that was applied.
    sent: VecDeque<(u64, Micros, u16)>,
    /// The last values sent: `needed` and `max_usable`.
    last_sent: Option<(u16, u16)>,
}

impl SlotHolder {
    /// Creates a holder that stops using slots `margin` before their `term` ends and sends at most one command per `min_interval`,
    /// unless one is due for renewal.
    pub fn new(me: Holder, term: Micros, margin: Micros, min_interval: Micros) -> SlotHolder {
        SlotHolder { me, term, margin, min_interval, sequence: 0, sent: VecDeque::new(), last_sent: None }
    }

    /// The number of slots that requests may use now. It falls to 0 when no command was applied for the term less the margin;
    /// requests that still run then have to be stopped within the margin, as the slots may go to another holder.
    pub fn usable(&self, now: Micros, slots: &Slots) -> u16 {
        let applied = slots.last_applied(self.me);
        let Some((_, at, _)) = self.sent.iter().rev().find(|(n, ..)| *n <= applied) else { return 0 };
        if applied == 0 || now >= at.saturating_add(self.term).saturating_sub(self.margin) {
            return 0;
        }
        let (held, recalled) = slots.held_and_recalled(self.me);
        let pending_returns: u16 =
            self.sent.iter().filter(|(n, ..)| *n > applied).map(|(.., returned)| *returned).sum();
        held.saturating_sub(recalled.max(pending_returns))
    }

    /// The next command to propose, if one is due: `busy` slots are in use, `needed` and `max_usable` are as in
    /// [`Command::Update`]. From then on no more slots may be used than [`SlotHolder::usable`] returns.
    pub fn next_command(
        &mut self,
        now: Micros,
        slots: &Slots,
        busy: u16,
        needed: u16,
        max_usable: u16,
    ) -> Option<Command> {
        let applied = slots.last_applied(self.me);
        while self.sent.get(1).is_some_and(|(n, ..)| *n <= applied) {
            self.sent.pop_front();
        }
        let (held, recalled) = slots.held_and_recalled(self.me);
        let target = if slots.shortage() > 0 { needed } else { max_usable.max(needed) };
        let excess = held - held.min(target.min(held - recalled).max(busy));
        let last_sent_at = self.sent.back().map_or(0, |(_, at, _)| *at);
        // A command sent before the last one was applied would return the same slots twice.
        let unapplied = self.sent.back().is_some_and(|(n, ..)| *n > applied);
        let changed = !unapplied && (self.last_sent != Some((needed, max_usable)) || excess > 0);
        let renewal_due = now >= last_sent_at.saturating_add(self.term / 4);
        let interval_elapsed = now >= last_sent_at.saturating_add(self.min_interval);
        if self.sent.len() > MAX_PENDING_COMMANDS
            || !(self.last_sent.is_none() || renewal_due || changed && interval_elapsed)
        {
            return None;
        }
        let returned = if unapplied { 0 } else { excess };
        self.sequence += 1;
        self.sent.push_back((self.sequence, now, returned));
        self.last_sent = Some((needed, max_usable));
        Some(Command::Update { holder: self.me, sequence: self.sequence, returned, needed, max_usable })
    }
}
