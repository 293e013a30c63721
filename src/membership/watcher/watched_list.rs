//! The state of one watched list.

use super::reading::{Rules, full, parse};
use super::{ListReport, MIN_CHECK_INTERVAL, now};
use crate::api::Micros;
use crate::clock::unix;
use crate::membership::check::{self, Terms};
use crate::membership::files::{self, ReadError};
use crate::membership::list::{Digest, List};
use crate::membership::settling::{NextStep, ReadResult, SettleTracker};
use crate::membership::storage;
use crate::settings::hcl::Fault;
use crate::settings::options::{Safeguard, Source};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

/// One watched list.
#[derive(Debug)]
pub struct WatchedList {
    pub(super) name: Arc<str>,
    path: PathBuf,
    accept: PathBuf,
    settling: SettleTracker,
    /// The bytes parsed last and the result, until they are validated.
    parsed: Option<(Digest, Option<List>, Vec<Fault>)>,
    /// Why the list can't be read, since when, and whether that was reported.
    read_error: Option<(String, Micros, bool)>,
    accepted: Option<(u64, SystemTime)>,
    pub(super) next_check_at: Micros,
}

impl WatchedList {
    /// A list that was not checked yet.
    pub fn new(source: &Source, rules: &Rules) -> WatchedList {
        let settle = if rules.disabled(Safeguard::Settle) { Duration::ZERO } else { rules.settle };
        WatchedList {
            name: source.name.as_str().into(),
            path: source.path.clone(),
            accept: source.accept.clone(),
            settling: SettleTracker::new(settle.as_micros() as Micros),
            parsed: None,
            read_error: None,
            accepted: None,
            next_check_at: 0,
        }
    }

    /// Blocks until there is a report on the list, which takes the settling time or a little longer.
    pub fn first_report(&mut self, rules: &Rules) -> ListReport {
        let give_up_at = now() + 4 * rules.settle.as_micros() as Micros + 2_000_000;
        loop {
            if let Some(report) = self.check(now(), rules) {
                return report;
            }
            if now() > give_up_at {
                return ListReport::Unreadable("it did not stay unchanged for the settling time".into());
            }
            thread::sleep(MIN_CHECK_INTERVAL);
        }
    }

    /// Checks the list once and schedules the next check. Returns a report if something changed.
    pub fn check(&mut self, now: Micros, rules: &Rules) -> Option<ListReport> {
        self.next_check_at = now + rules.poll.as_micros() as Micros;
        let stamp = match files::stamp(&self.path, rules.limits) {
            Ok(stamp) => stamp,
            Err(read_error) => return self.read_failed(now, read_error.to_string(), rules),
        };
        if self.read_error.is_none() && !self.settling.needs_read(now, &stamp) {
            return None;
        }
        let version = match files::read(&self.path, rules.limits, !rules.disabled(Safeguard::Again)) {
            Ok(version) => version,
            Err(ReadError::Unusable(why)) => return self.read_failed(now, why, rules),
            Err(ReadError::ConcurrentChange) => {
                if let NextStep::ReadAt(at) =
                    self.settling.read_finished(now, unix(), &stamp, ReadResult::ConcurrentChange)
                {
                    self.next_check_at = self.next_check_at.min(at);
                }
                return None;
            }
        };
        self.read_error = None;
        let names: String = version.files.iter().map(|(n, t)| format!("{n:?} {} {t}", t.len())).collect();
        let bytes = Digest::of(names.as_bytes());
        if self.parsed.as_ref().is_none_or(|(b, ..)| *b != bytes) {
            let (list, faults) = parse(&self.path, &version.files, rules);
            self.parsed = Some((bytes, list, faults));
        }
        let sealed = |l: &List| matches!(&l.files[..], [one] if one.seal_matches());
        let sealed = matches!(&self.parsed, Some((_, Some(l), f)) if f.is_empty() && sealed(l));
        let next =
            self.settling.read_finished(now, unix(), &version.stamp, ReadResult::Complete { bytes, sealed });
        self.next_check_at =
            self.settling.next_due().map_or(self.next_check_at, |t| t.min(self.next_check_at));
        match next {
            NextStep::Validate => {
                self.parsed.take().map(|(_, list, faults)| self.validate(bytes, list, faults, rules))
            }
            NextStep::ReadAt(at) => {
                self.next_check_at = self.next_check_at.min(at);
                None
            }
            NextStep::Wait => {
                self.parsed = None;
                None
            }
        }
    }

    fn validate(
        &self,
        bytes: Digest,
        list: Option<List>,
        mut faults: Vec<Fault>,
        rules: &Rules,
    ) -> ListReport {
        if let Some(list) = &list
            && !rules.disabled(Safeguard::Check)
        {
            let terms = &rules.terms;
            let terms = Terms { sealed: terms.sealed && !rules.disabled(Safeguard::Seal), ..terms.clone() };
            faults.extend(check::check(list, &terms, rules.catalog.as_ref(), &|n| full(&self.path, n)));
        }
        match list {
            Some(list) if faults.is_empty() => ListReport::List(list),
            _ => {
                faults.sort();
                let all = faults.len();
                faults.truncate(check::MAX_FAULTS);
                ListReport::Invalid { bytes, faults, all }
            }
        }
    }

    /// Records a read error. An error that goes away within the settling time means that the file was being replaced, and
    /// is not reported.
    fn read_failed(&mut self, now: Micros, why: String, rules: &Rules) -> Option<ListReport> {
        self.settling.reset();
        self.parsed = None;
        let (_, since, reported) =
            self.read_error.take().filter(|(w, ..)| *w == why).unwrap_or((String::new(), now, false));
        let at = since + rules.settle.as_micros() as Micros;
        let report_now = !reported && now >= at;
        self.read_error = Some((why.clone(), since, reported || report_now));
        if !report_now && !reported {
            self.next_check_at = self.next_check_at.min(at);
        }
        report_now.then_some(ListReport::Unreadable(why))
    }

    /// The recorded acceptances, if their file changed.
    pub(super) fn acceptances(&mut self) -> Option<ListReport> {
        let m = std::fs::metadata(&self.accept).ok();
        let stamp = m.and_then(|m| Some((m.len(), m.modified().ok()?)));
        if stamp == self.accepted {
            return None;
        }
        self.accepted = stamp;
        Some(ListReport::Accepted(storage::read_acceptances(&self.accept)))
    }

    /// Directories in which a change to the list or its acceptances becomes visible.
    pub(super) fn directories(&self) -> impl Iterator<Item = PathBuf> {
        let parent = |p: &Path| p.parent().map(Path::to_path_buf);
        let real = std::fs::canonicalize(&self.path).ok();
        let real = real.and_then(|p| if p.is_dir() { Some(p) } else { parent(&p) });
        let all = [parent(&self.path), real, parent(&self.accept)].into_iter().flatten();
        all.map(|p| if p.as_os_str().is_empty() { PathBuf::from(".") } else { p })
    }
}
