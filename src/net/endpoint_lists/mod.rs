//! Executor lists beside the loop: messages of their thread and of the coordinator go to [`Members`], what comes of them is
//! logged and handed on as entries, a bounded number a turn. `outcomes` has what each message does.

mod outcomes;

use crate::api::Micros;
use crate::codec::coordinator::Target;
use crate::membership::check::Catalog;
use crate::membership::watcher::{ListReport, Rules, SourceReport, WatchedList, Watcher};
use crate::membership::{Act, Members, Sources, keep};
use crate::net::event_loop::poll::{Key, Poll};
use crate::settings::options::{self, Empty, Source, accept_path};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;

/// Entries handed on in one turn.
pub const SLICE: usize = 256;

/// Counters of the lists.
#[derive(Debug, Default)]
pub struct Tally {
    /// Endpoint lists that came into force.
    pub taken: u64,
    /// EndpointLists with faults, and those that went back.
    pub refused: u64,
    /// EndpointLists held back.
    pub held: u64,
    /// Reports that a list can't be read.
    pub unreadable: u64,
    /// The longest that a turn was busy with lists, in microseconds.
    pub slowest: Micros,
}

/// The lists that are followed.
pub struct EndpointLists {
    members: Members,
    watcher: Watcher,
    key: Key,
    /// What the command that accepts a list needs beside its digest.
    accepts: BTreeMap<Arc<str>, String>,
    /// Entries not yet handed on, in order.
    pending: VecDeque<Target>,
    /// Counters.
    pub tally: Tally,
}

impl EndpointLists {
    /// Reads all lists once, falls back to the last good ones, and follows them from here on. `known` is the
    /// coordinator's list. An error if there is no list and the settings say to end then.
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
            tracing::error!(without = ?o.without, "motor lists: safeguards are left out; this is for tests alone");
        }
        let mut members = Members::new(Sources { precedence, guard, drain_limit, cores, without: o.without });
        let mut acts = members.feed(now, true, known);
        let (mut watched, mut reports, mut empty) = (Vec::new(), Vec::new(), Vec::new());
        for source in &o.sources {
            let name: Arc<str> = source.name.as_str().into();
            let kept = o.last_good.as_ref().map(|folder| keep::path(folder, &source.name));
            match kept.map(|at| keep::load(&at, o.most_bytes).map_err(|e| (at, e))) {
                Some(Ok(list)) => {
                    let back = members.restore(now, &source.name, list);
                    // It is what is kept already.
                    acts.extend(back.into_iter().filter(|a| matches!(a, Act::Change(_))));
                }
                Some(Err((at, error))) => {
                    let (source, file) = (&*name, at.display());
                    tracing::warn!(source, %file, error, "motor list: no last good copy");
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
        let accepts = o.sources.iter().map(|s| (s.name.as_str().into(), accepts(s))).collect();
        let (pending, tally) = (VecDeque::new(), Tally::default());
        let mut lists = EndpointLists { members, watcher, key, accepts, pending, tally };
        lists.enact(now, acts);
        reports.into_iter().for_each(|report| lists.process(now, report));
        if let (Some(name), Empty::Exit) = (empty.first(), o.empty) {
            return Err(io::Error::other(format!(
                "motor list {name}: none can be used, and no last good copy"
            )));
        }
        for name in empty {
            tracing::error!(
                source = &*name,
                "motor list: none can be used, and no last good copy; serving without"
            );
        }
        Ok(lists)
    }

    /// Whether its thread's socket has this key.
    pub fn owns(&self, key: Key) -> bool {
        self.key == key
    }

    /// Whether the coordinator's feed is a source.
    pub fn follows_coordinator(&self) -> bool {
        self.members.follows_feed()
    }

    /// Has the files looked at now.
    pub fn poll_files(&self) {
        self.watcher.check_now();
    }

    /// The thread has sent messages.
    pub fn ready(&mut self, now: Micros) {
        while let Some(report) = self.watcher.next_report() {
            self.process(now, report);
        }
    }

    /// Word of the coordinator.
    pub fn feed(&mut self, now: Micros, whole: bool, targets: &[Target]) {
        let acts = self.members.feed(now, whole, targets);
        self.enact(now, acts);
    }

    /// Lets time pass; `busy` tells whether work is out on an executor.
    pub fn tick(&mut self, now: Micros, busy: &dyn Fn(&str) -> bool) {
        let acts = self.members.tick(now, busy);
        self.enact(now, acts);
    }

    /// Whether entries wait to be handed on.
    pub fn pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The next entries to hand on, so many at most.
    pub fn take(&mut self, most: usize) -> Vec<Target> {
        let n = most.min(self.pending.len());
        self.pending.drain(..n).collect()
    }
}

/// Names a list to the command that accepts it.
fn accepts(s: &Source) -> String {
    let list = format!("--list {}", s.path.display());
    if s.accept == accept_path(&s.path) { list } else { format!("{list} --to {}", s.accept.display()) }
}
