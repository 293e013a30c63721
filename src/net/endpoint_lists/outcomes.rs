//! What the lists' thread reports, and what it leads to.

use super::EndpointLists;
use crate::api::Micros;
use crate::membership::Act;
use crate::membership::members::Change;
use crate::membership::watcher::{ListReport, SourceReport};
use crate::settings::hcl::Fault;

/// Faults of one list that are logged; `ottercroft lists check` shows them all.
const LOGGED_FAULTS: usize = 20;

impl EndpointLists {
    pub(super) fn process(&mut self, now: Micros, SourceReport { source, report, checked_at }: SourceReport) {
        let name = &*source;
        match report {
            ListReport::List(list) => {
                let acts = self.members.list(now, name, list);
                if acts.iter().any(|a| matches!(a, Act::Taken { .. })) {
                    let waited_us = now.saturating_sub(checked_at);
                    tracing::debug!(source = name, waited_us, "motor list came from its thread");
                }
                self.enact(now, acts);
            }
            ListReport::Invalid { bytes, faults, all } => {
                self.tally.refused += 1;
                let in_force = self.members.digest(name).map(|d| d.short());
                tracing::error!(
                    source = name,
                    faults = all,
                    bytes = bytes.short(),
                    in_force,
                    "motor list refused; what was in force stays"
                );
                faults.iter().take(LOGGED_FAULTS).for_each(|f| self.fault(name, f));
            }
            ListReport::Unreadable(reason) => {
                self.tally.unreadable += 1;
                tracing::error!(source = name, reason, "motor list can't be read; what was in force stays");
            }
            ListReport::Accepted(accepted) => {
                let acts = self.members.accept(now, name, accepted);
                self.enact(now, acts);
            }
            ListReport::LastGoodNotSaved(error) => {
                tracing::error!(source = name, error, "motor list: no last good copy kept")
            }
            ListReport::NotifyUnavailable(error) => {
                tracing::warn!(error, "motor lists: no notifications; polling goes on")
            }
        }
    }

    fn fault(&self, source: &str, f: &Fault) {
        let file = format_args!("{}:{}:{}", f.file, f.line, f.column);
        tracing::error!(source, %file, field = crate::settings::hcl::shown(&f.field), what = f.what, "motor list fault");
    }

    pub(super) fn enact(&mut self, now: Micros, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Change(targets) => self.pending.extend(targets),
                Act::Keep(source, list) => self.watcher.save_last_good(source, list),
                Act::Taken {
                    source,
                    digest,
                    generation,
                    executors,
                    change: Change { added, left, changed },
                } => {
                    self.tally.taken += 1;
                    let source = &*source;
                    tracing::info!(
                        source, %digest, generation, executors, added, left, changed, "motor list in force"
                    );
                }
                Act::Held { source, digest, losses, since, again } => {
                    self.tally.held += u64::from(!again);
                    let list = self.accepts.get(&source).map_or("", String::as_str);
                    let loss =
                        |l: &crate::membership::members::Loss| format!("{} {:.0}%", l.room, l.share * 100.0);
                    let takes: Vec<String> = losses.iter().map(loss).collect();
                    tracing::error!(
                        source = &*source,
                        %digest,
                        takes_away = takes.join(", "),
                        for_s = now.saturating_sub(since) / 1_000_000,
                        "motor list held back; if it is meant: ottercroft lists accept {} {list}",
                        digest.short()
                    );
                }
                Act::Withdrawn(source, digest) => {
                    tracing::info!(source = &*source, %digest, "motor list no longer held back: the files changed");
                }
                Act::Refused(source, digest, why) => {
                    self.tally.refused += 1;
                    tracing::error!(source = &*source, %digest, why, "motor list refused; what was in force stays");
                }
                Act::Shadowed { uid, source, by } => {
                    tracing::warn!(
                        executor = &*uid,
                        source = &*source,
                        by = &*by,
                        "executor ignored: its address is another's"
                    );
                }
                Act::Gone { uid, after, cut } => {
                    tracing::info!(
                        executor = &*uid,
                        after_ms = after / 1_000,
                        cut,
                        "executor drained and gone"
                    );
                }
            }
        }
    }
}
