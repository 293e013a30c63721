//! Reads a list once; the rules that apply to all lists.

use crate::membership::check::{self, Catalog, Terms};
use crate::membership::files::{self, ReadLimits};
use crate::membership::list::{List, ListFile};
use crate::settings::hcl::Fault;
use crate::settings::options::{self, Safeguard};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Rules for reading and validating all sources.
#[derive(Debug, Clone)]
pub struct Rules {
    /// Limits on the content of a list.
    pub terms: Terms,
    /// Known zones and kinds; `None` to skip these checks.
    pub catalog: Option<Catalog>,
    /// Limits on the size and number of files.
    pub limits: ReadLimits,
    /// How long a list without a seal has to stay unchanged before it is used.
    pub settle: Duration,
    /// How often to check without a notification.
    pub poll: Duration,
    /// Directory in which the last good lists are saved.
    pub last_good: Option<PathBuf>,
    /// Disabled safeguards; for tests only.
    pub without: BTreeSet<Safeguard>,
}

impl Rules {
    /// Rules from the dispatcher's settings and the platform's catalog.
    pub fn new(lists: &options::Lists, catalog: Option<Catalog>) -> Rules {
        Rules {
            terms: lists.terms.clone(),
            catalog,
            limits: ReadLimits { max_bytes: lists.max_bytes, max_files: lists.max_files },
            settle: lists.settle,
            poll: lists.poll,
            last_good: lists.last_good.clone(),
            without: lists.without.clone(),
        }
    }

    pub(super) fn disabled(&self, s: Safeguard) -> bool {
        self.without.contains(&s)
    }
}

/// Reads a list once and validates it.
pub fn validate(path: &Path, rules: &Rules) -> Result<(List, Vec<Fault>), Vec<Fault>> {
    let shown = path.display().to_string();
    let version = files::read(path, rules.limits, true).map_err(|t| vec![Fault::of_file(&shown, t)])?;
    let (list, mut faults) = parse(path, &version.files, rules);
    match list {
        Some(list) => {
            faults.extend(check::check(&list, &rules.terms, rules.catalog.as_ref(), &|n| full(path, n)));
            faults.sort();
            faults.dedup();
            Ok((list, faults))
        }
        None => Err(faults),
    }
}

/// The path of a file of the list, or of the list itself if `name` is empty.
pub(super) fn full(path: &Path, name: &str) -> String {
    let whole =
        name.is_empty() || path.file_name().is_some_and(|n| n.to_string_lossy() == name) && !path.is_dir();
    if whole { path.display().to_string() } else { path.join(name).display().to_string() }
}

pub(super) fn parse(path: &Path, texts: &[(String, String)], rules: &Rules) -> (Option<List>, Vec<Fault>) {
    let (mut files, mut faults) = (Vec::new(), Vec::new());
    for (name, text) in texts {
        let (file, mut wrong) = ListFile::parse(&full(path, name), name, text);
        faults.append(&mut wrong);
        files.extend(file.map(|f| {
            let seal = f.seal.clone().filter(|_| !rules.disabled(Safeguard::Seal));
            ListFile { seal, ..f }
        }));
    }
    ((files.len() == texts.len()).then(|| List::new(files)), faults)
}
