//! Executor lists in the event loop: reports of the watcher thread and updates of the coordinator go to [`Members`]; their
//! effects are logged and passed on as targets, a bounded number per turn. `outcomes` applies reports and effects.

mod outcomes;

use crate::api::Micros;
use crate::codec::coordinator::Target;
use crate::membership::check::Catalog;
use crate::membership::watcher::{ListReport, Rules, SourceReport, WatchedList, Watcher};
use crate::membership::{Effect, Members, MembersSettings, storage};
use crate::net::event_loop::poll::{Key, Poll};
use crate::settings::options::{self, OnEmpty, Source, accept_path};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;

/// Maximum number of targets passed on in one turn of the event loop.
pub const MAX_TARGETS_PER_TURN: usize = 256;

/// Counters of the lists.
#[derive(Debug, Default)]
pub struct ListCounters {
    /// Lists that came into force.
    pub taken: u64,
    /// Lists that were rejected for faults or for their generation.
    pub refused: u64,
    /// Lists held back.
    pub held: u64,
    /// Reports of an unreadable list.
    pub unreadable: u64,
    /// Longest time spent on lists in one turn, in microseconds.
    pub longest_turn: Micros,
}

/// The watched lists.
pub struct EndpointLists {
    members: Members,
    watcher: Watcher,
    key: Key,
    /// By source: the arguments that `lists accept` needs beside the digest.
    accept_arguments: BTreeMap<Arc<str>, String>,
    /// Targets not yet passed on, in order.
    pending: VecDeque<Target>,
    /// Counters.
    pub counters: ListCounters,
}

impl EndpointLists {
    /// Reads all lists once, falls back to the last good ones, and starts to watch them. `known` is the coordinator's
    /// list. Returns an error if a source has no usable list and the settings say to exit in that case.
    pub fn start(
        o: options::Lists,
        catalog: Catalog,
        known: &[Target],
        now: Micros,
        poll: &Poll,
    ) -> io::Result<EndpointLists> {
        let rules = Rules::new(&o, Some(catalog));
        let cores = rules.catalog.iter().flat_map(|c| c.kinds.clone()).collect();
        let (precedence, guard, drain_limit) = (o.precedence.clone(), o.guard.clone(), o.drain_limit);
        if !o.without.is_empty() {
            tracing::error!(without = ?o.without, "motor lists: safeguards are disabled; use this in tests only");
        }
        let mut members =
            Members::new(MembersSettings { precedence, guard, drain_limit, cores, without: o.without });
        let mut effects = members.update_feed(now, true, known);
        let (mut watched, mut reports, mut empty) = (Vec::new(), Vec::new(), Vec::new());
        for source in &o.sources {
            let name: Arc<str> = source.name.as_str().into();
            let last_good = o.last_good.as_ref().map(|folder| storage::path(folder, &source.name));
            match last_good.map(|at| storage::load(&at, o.max_bytes).map_err(|e| (at, e))) {
                Some(Ok(list)) => {
                    let back = members.restore(now, &source.name, list);
                    // The list is already saved: only the updates are of use.
                    effects.extend(back.into_iter().filter(|a| matches!(a, Effect::Update(_))));
                }
                Some(Err((at, error))) => {
                    let (source, file) = (&*name, at.display());
                    tracing::warn!(source, %file, error, "motor list: last good copy not available");
                }
                None => {}
            }
            let mut one = WatchedList::new(source, &rules);
            let report = one.first_report(&rules);
            let usable = matches!(report, ListReport::List(_));
            match (usable, members.digest(&name)) {
                (true, _) => {}
                (false, Some(digest)) => {
                    tracing::error!(source = &*name, %digest, "motor list can't be used: the last good one is in force");
                }
                (false, None) => empty.push(name.clone()),
            }
            reports.push(SourceReport { source: name, report, checked_at: now });
            watched.push(one);
        }
        let watcher = Watcher::start(watched, rules)?;
        let key = poll.add(&watcher.wake, false)?;
        let accept_arguments =
            o.sources.iter().map(|s| (s.name.as_str().into(), accept_arguments(s))).collect();
        let (pending, counters) = (VecDeque::new(), ListCounters::default());
        let mut lists = EndpointLists { members, watcher, key, accept_arguments, pending, counters };
        lists.apply_effects(now, effects);
        reports.into_iter().for_each(|report| lists.process(now, report));
        if let (Some(name), OnEmpty::Exit) = (empty.first(), o.on_empty) {
            return Err(io::Error::other(format!("motor list {name}: no usable list and no last good copy")));
        }
        for name in empty {
            tracing::error!(
                source = &*name,
                "motor list: no usable list and no last good copy; serving without it"
            );
        }
        Ok(lists)
    }

    /// Whether this is the key of the watcher thread's socket.
    pub fn owns(&self, key: Key) -> bool {
        self.key == key
    }

    /// Whether the coordinator's feed is a source.
    pub fn follows_coordinator(&self) -> bool {
        self.members.follows_feed()
    }

    /// Requests an immediate check of the files.
    pub fn poll_files(&self) {
        self.watcher.check_now();
    }

    /// Processes the reports that the watcher thread has queued.
    pub fn ready(&mut self, now: Micros) {
        while let Some(report) = self.watcher.next_report() {
            self.process(now, report);
        }
    }

    /// Applies an update of the coordinator's feed.
    pub fn feed(&mut self, now: Micros, whole: bool, targets: &[Target]) {
        let effects = self.members.update_feed(now, whole, targets);
        self.apply_effects(now, effects);
    }

    /// Runs the timers; `busy` returns whether an executor has outstanding work.
    pub fn tick(&mut self, now: Micros, busy: &dyn Fn(&str) -> bool) {
        let effects = self.members.tick(now, busy);
        self.apply_effects(now, effects);
    }

    /// Whether targets wait to be passed on.
    pub fn pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the next targets to pass on, at most `most`.
    pub fn take(&mut self, most: usize) -> Vec<Target> {
        let n = most.min(self.pending.len());
        self.pending.drain(..n).collect()
    }
}

/// The arguments that name the list to `lists accept`.
fn accept_arguments(s: &Source) -> String {
    let list = format!("--list {}", s.path.display());
    if s.accept == accept_path(&s.path) { list } else { format!("{list} --to {}", s.accept.display()) }
}
