//! One list that is followed, look by look.

use super::reading::{Rules, full, parse};
use super::{GAP, Word, now};
use crate::api::Micros;
use crate::clock::unix;
use crate::membership::check::{self, Terms};
use crate::membership::files::{self, Trouble};
use crate::membership::keep;
use crate::membership::list::{Digest, List};
use crate::membership::settling::{Next, Read, Settling};
use crate::settings::hcl::Fault;
use crate::settings::options::{Safeguard, Source};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

/// One list that is followed.
#[derive(Debug)]
pub struct Followed {
    pub(super) name: Arc<str>,
    path: PathBuf,
    accept: PathBuf,
    settling: Settling,
    /// What was parsed last, until it is judged.
    parsed: Option<(Digest, Option<List>, Vec<Fault>)>,
    /// What keeps it from being read, since when, and whether that was told.
    trouble: Option<(String, Micros, bool)>,
    accepted: Option<(u64, SystemTime)>,
    pub(super) due: Micros,
}

impl Followed {
    /// One that was not looked at yet.
    pub fn new(source: &Source, rules: &Rules) -> Followed {
        let settle = if rules.left_out(Safeguard::Settle) { Duration::ZERO } else { rules.settle };
        Followed {
            name: source.name.as_str().into(),
            path: source.path.clone(),
            accept: source.accept.clone(),
            settling: Settling::new(settle.as_micros() as Micros),
            parsed: None,
            trouble: None,
            accepted: None,
            due: 0,
        }
    }

    /// Looks until there is a word on the list; it comes after the settling time or a little more.
    pub fn first(&mut self, rules: &Rules) -> Word {
        let patience = now() + 4 * rules.settle.as_micros() as Micros + 2_000_000;
        loop {
            if let Some(word) = self.look(now(), rules) {
                return word;
            }
            if now() > patience {
                return Word::Unusable("it did not stay the same for the settling time".into());
            }
            thread::sleep(GAP);
        }
    }

    /// One look; a word if there is news. It sets when to look next.
    pub fn look(&mut self, now: Micros, rules: &Rules) -> Option<Word> {
        self.due = now + rules.poll.as_micros() as Micros;
        let stamp = match files::stamp(&self.path, rules.bounds) {
            Ok(stamp) => stamp,
            Err(trouble) => return self.troubled(now, trouble.to_string(), rules),
        };
        if self.trouble.is_none() && !self.settling.wants(now, &stamp) {
            return None;
        }
        let version = match files::read(&self.path, rules.bounds, !rules.left_out(Safeguard::Again)) {
            Ok(version) => version,
            Err(Trouble::Unusable(why)) => return self.troubled(now, why, rules),
            Err(Trouble::Changing) => {
                if let Next::ReadAt(at) = self.settling.read(now, unix(), &stamp, Read::Changing) {
                    self.due = self.due.min(at);
                }
                return None;
            }
        };
        self.trouble = None;
        let names: String = version.files.iter().map(|(n, t)| format!("{n:?} {} {t}", t.len())).collect();
        let bytes = Digest::of(names.as_bytes());
        if self.parsed.as_ref().is_none_or(|(b, ..)| *b != bytes) {
            let (list, faults) = parse(&self.path, &version.files, rules);
            self.parsed = Some((bytes, list, faults));
        }
        let sealed = |l: &List| matches!(&l.files[..], [one] if one.seal_holds());
        let sealed = matches!(&self.parsed, Some((_, Some(l), f)) if f.is_empty() && sealed(l));
        let next = self.settling.read(now, unix(), &version.stamp, Read::Whole { bytes, sealed });
        self.due = self.settling.next_due().map_or(self.due, |t| t.min(self.due));
        match next {
            Next::Judge => self.parsed.take().map(|(_, list, faults)| self.judge(bytes, list, faults, rules)),
            Next::ReadAt(at) => {
                self.due = self.due.min(at);
                None
            }
            Next::Rest => {
                self.parsed = None;
                None
            }
        }
    }

    fn judge(&self, bytes: Digest, list: Option<List>, mut faults: Vec<Fault>, rules: &Rules) -> Word {
        if let Some(list) = &list
            && !rules.left_out(Safeguard::Check)
        {
            let terms = &rules.terms;
            let terms = Terms { sealed: terms.sealed && !rules.left_out(Safeguard::Seal), ..terms.clone() };
            faults.extend(check::check(list, &terms, rules.catalog.as_ref(), &|n| full(&self.path, n)));
        }
        match list {
            Some(list) if faults.is_empty() => Word::List(list),
            _ => {
                faults.sort();
                let all = faults.len();
                faults.truncate(check::MOST_FAULTS);
                Word::Faulty { bytes, faults, all }
            }
        }
    }

    /// Trouble that passes within the settling time is a file being replaced, and not worth a word.
    fn troubled(&mut self, now: Micros, why: String, rules: &Rules) -> Option<Word> {
        self.settling.absent();
        self.parsed = None;
        let (_, since, told) =
            self.trouble.take().filter(|(w, ..)| *w == why).unwrap_or((String::new(), now, false));
        let at = since + rules.settle.as_micros() as Micros;
        let tell = !told && now >= at;
        self.trouble = Some((why.clone(), since, told || tell));
        if !tell && !told {
            self.due = self.due.min(at);
        }
        tell.then_some(Word::Unusable(why))
    }

    /// What was accepted, if its file changed.
    pub(super) fn acceptances(&mut self) -> Option<Word> {
        let m = std::fs::metadata(&self.accept).ok();
        let stamp = m.and_then(|m| Some((m.len(), m.modified().ok()?)));
        if stamp == self.accepted {
            return None;
        }
        self.accepted = stamp;
        Some(Word::Accepted(keep::accepted(&self.accept)))
    }

    /// Folders in which a change of it shows.
    pub(super) fn folders(&self) -> impl Iterator<Item = PathBuf> {
        let parent = |p: &Path| p.parent().map(Path::to_path_buf);
        let real = std::fs::canonicalize(&self.path).ok();
        let real = real.and_then(|p| if p.is_dir() { Some(p) } else { parent(&p) });
        let all = [parent(&self.path), real, parent(&self.accept)].into_iter().flatten();
        all.map(|p| if p.as_os_str().is_empty() { PathBuf::from(".") } else { p })
    }
}
