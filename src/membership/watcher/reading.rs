//! A list read once, and what all lists are read by.

use crate::membership::check::{self, Catalog, Terms};
use crate::membership::files::{self, Bounds};
use crate::membership::list::{List, ListFile};
use crate::settings::hcl::Fault;
use crate::settings::options::{self, Safeguard};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What all sources are read by.
#[derive(Debug, Clone)]
pub struct Rules {
    /// What a list may hold.
    pub terms: Terms,
    /// Rooms and kinds that are known; none if that is not to be checked.
    pub catalog: Option<Catalog>,
    /// How much may be read.
    pub bounds: Bounds,
    /// How long what is not sealed has to stay the same.
    pub settle: Duration,
    /// How often to look without any notification.
    pub poll: Duration,
    /// Where the last good lists are kept.
    pub last_good: Option<PathBuf>,
    /// For tests alone: safeguards left out.
    pub without: BTreeSet<Safeguard>,
}

impl Rules {
    /// By our settings and by what the platform's settings know.
    pub fn new(lists: &options::Lists, catalog: Option<Catalog>) -> Rules {
        Rules {
            terms: lists.terms.clone(),
            catalog,
            bounds: Bounds { most_bytes: lists.most_bytes, most_files: lists.most_files },
            settle: lists.settle,
            poll: lists.poll,
            last_good: lists.last_good.clone(),
            without: lists.without.clone(),
        }
    }

    pub(super) fn left_out(&self, s: Safeguard) -> bool {
        self.without.contains(&s)
    }
}

/// Reads a list once and judges it as it stands.
pub fn judge(path: &Path, rules: &Rules) -> Result<(List, Vec<Fault>), Vec<Fault>> {
    let shown = path.display().to_string();
    let version = files::read(path, rules.bounds, true).map_err(|t| vec![Fault::of_file(&shown, t)])?;
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

/// The path of a file of a list; of the list itself for no name.
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
            let seal = f.seal.clone().filter(|_| !rules.left_out(Safeguard::Seal));
            ListFile { seal, ..f }
        }));
    }
    ((files.len() == texts.len()).then(|| List::new(files)), faults)
}
