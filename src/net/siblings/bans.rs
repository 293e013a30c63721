//! Bans across the processes of one dispatcher: a ban set or lifted at one of them holds at all.

use super::Siblings;
use super::message::InstanceId;
use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::operator::shared_bans::{BanCall, Merged};

impl Siblings {
    /// Whether this process wrote the hand-over file for a later call without knowing this one. The process that was called
    /// had written the file before it told the others, so that they write it only in this case.
    fn has_written_without(&self, call: BanCall) -> bool {
        self.own_ban_at.is_some_and(|at| call.at <= at)
    }

    /// Tells all other processes of an operator's call.
    fn share_ban(&mut self, executor: &str, call: BanCall, now: Micros) {
        for (id, outbox) in &mut self.others {
            if !outbox.push_ban(executor, call) {
                // It has not read for long: it gets the bans that are known by then in place of all that waited.
                self.newly_met.push(*id);
            }
        }
        self.flush_all(now);
    }

    /// Tells one other process of all calls, in place of those that wait for it.
    fn share_all_bans<'a>(
        &mut self,
        to: InstanceId,
        calls: impl Iterator<Item = (&'a str, BanCall)>,
        now: Micros,
    ) {
        let Some(outbox) = self.others.get_mut(&to) else { return };
        outbox.replace_bans(calls);
        self.flush(to, now);
    }
}

impl DispatcherServer {
    /// Applies an operator's call that was made at this process, and tells the others. The file is written first: the next
    /// process must not miss what another one knows.
    pub(in crate::net) fn ban_called(&mut self, executor: &str, call: BanCall, now: Micros) {
        self.apply_ban_call(executor, call, now);
        self.bans_file.save(self.bans.in_force());
        if let Some(siblings) = &mut self.siblings {
            siblings.own_ban_at = Some(call.at);
            siblings.share_ban(executor, call, now);
        }
    }

    /// Applies an operator's call that was made at another process, unless a later one is known.
    pub(super) fn merge_ban(&mut self, executor: &str, call: BanCall, now: Micros) {
        let BanCall { banned, .. } = call;
        match self.bans.merge(executor, call) {
            Ok(Merged::Known) => return,
            Ok(Merged::Confirmed) if banned => {}
            Ok(Merged::Confirmed) => self.apply_ban_call(executor, call, now),
            Ok(Merged::Changed) => {
                tracing::warn!(executor, banned, "siblings: ban set or lifted at another process");
                self.apply_ban_call(executor, call, now);
            }
            Err(e) => {
                return tracing::error!(executor, error = %e, "siblings: ban of another process ignored");
            }
        }
        // Passed on as well: the process that was called may have ended before it had told all others.
        if let Some(siblings) = &mut self.siblings {
            siblings.bans_file_outdated |= siblings.has_written_without(call);
            siblings.share_ban(executor, call, now);
        }
    }

    /// Writes the hand-over file if it may lack bans that are known here.
    pub(super) fn save_merged_bans(&mut self) {
        let Some(siblings) = &mut self.siblings else { return };
        if std::mem::take(&mut siblings.bans_file_outdated) && self.bans.calls().next().is_some() {
            self.bans_file.save(self.bans.in_force());
        }
    }

    /// Tells the processes that were met since the last call of all bans.
    pub(super) fn share_bans_with_newcomers(&mut self, now: Micros) {
        let Some(siblings) = &mut self.siblings else { return };
        for id in std::mem::take(&mut siblings.newly_met) {
            siblings.share_all_bans(id, self.bans.calls(), now);
        }
    }
}
