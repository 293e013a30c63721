//! Applies the watcher thread's reports and their effects.

use super::EndpointLists;
use crate::api::Micros;
use crate::membership::Effect;
use crate::membership::members::Change;
use crate::membership::watcher::{ListReport, SourceReport};
use crate::settings::hcl::Fault;

/// Maximum number of faults logged per list; `ottercroft lists check` shows them all.
const LOGGED_FAULTS: usize = 20;

impl EndpointLists {
    pub(super) fn process(&mut self, now: Micros, SourceReport { source, report, checked_at }: SourceReport) {
        let name = &*source;
        match report {
            ListReport::List(list) => {
                let effects = self.members.update_list(now, name, list);
                if effects.iter().any(|a| matches!(a, Effect::Activated { .. })) {
                    let waited_us = now.saturating_sub(checked_at);
                    tracing::debug!(source = name, waited_us, "motor list received from the watcher thread");
                }
                self.apply_effects(now, effects);
            }
            ListReport::Invalid { bytes, faults, all } => {
                self.counters.refused += 1;
                let in_force = self.members.digest(name).map(|d| d.short());
                tracing::error!(
                    source = name,
                    faults = all,
                    bytes = bytes.short(),
                    in_force,
                    "motor list rejected; the list in force stays"
                );
                faults.iter().take(LOGGED_FAULTS).for_each(|f| self.fault(name, f));
            }
            ListReport::Unreadable(reason) => {
                self.counters.unreadable += 1;
                tracing::error!(source = name, reason, "motor list can't be read; the list in force stays");
            }
            ListReport::Accepted(accepted) => {
                let effects = self.members.accept(now, name, accepted);
                self.apply_effects(now, effects);
            }
            ListReport::LastGoodNotSaved(error) => {
                tracing::error!(source = name, error, "motor list: can't save the last good copy; retrying")
            }
            ListReport::NotifyUnavailable(error) => {
                tracing::warn!(error, "motor lists: no file system notifications; polling continues")
            }
        }
    }

    fn fault(&self, source: &str, f: &Fault) {
        let file = format_args!("{}:{}:{}", f.file, f.line, f.column);
        tracing::error!(source, %file, field = crate::settings::hcl::shown(&f.field), what = f.what, "motor list fault");
    }

    pub(super) fn apply_effects(&mut self, now: Micros, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Update(targets) => self.pending.extend(targets),
                Effect::SaveLastGood(source, list) => self.watcher.save_last_good(source, list),
                Effect::Activated {
                    source,
                    digest,
                    generation,
                    executors,
                    change: Change { added, left, changed },
                } => {
                    self.counters.taken += 1;
                    let source = &*source;
                    tracing::info!(
                        source, %digest, generation, executors, added, left, changed, "motor list in force"
                    );
                }
                Effect::HeldBack { source, digest, losses, since, again } => {
                    self.counters.held += u64::from(!again);
                    let list = self.accept_arguments.get(&source).map_or("", String::as_str);
                    let loss =
                        |l: &crate::membership::members::Loss| format!("{} {:.0}%", l.zone, l.share * 100.0);
                    let losses: Vec<String> = losses.iter().map(loss).collect();
                    tracing::error!(
                        source = &*source,
                        %digest,
                        removes = losses.join(", "),
                        for_s = now.saturating_sub(since) / 1_000_000,
                        "motor list held back; to accept it: ottercroft lists accept {} {list}",
                        digest.short()
                    );
                }
                Effect::Withdrawn(source, digest) => {
                    tracing::info!(source = &*source, %digest, "motor list no longer held back: the files changed");
                }
                Effect::Rejected(source, digest, why) => {
                    self.counters.refused += 1;
                    tracing::error!(source = &*source, %digest, why, "motor list rejected; the list in force stays");
                }
                Effect::Shadowed { uid, source, by } => {
                    tracing::warn!(
                        executor = &*uid,
                        source = &*source,
                        by = &*by,
                        "executor ignored: another executor has its address"
                    );
                }
                Effect::Drained { uid, after, timed_out } => {
                    tracing::info!(
                        executor = &*uid,
                        after_ms = after / 1_000,
                        timed_out,
                        "executor drained and removed"
                    );
                }
            }
        }
    }
}
