//! Executor lists from files.

use super::MS;
use super::terms::{FEED, Guard, Terms};
use crate::settings::hcl::{self, Fault, Table};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What to do at start if a source has neither a usable list nor a last good copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnEmpty {
    /// Serve without the executors of this source. Requests are rejected with a retry-after hint if there are no
    /// executors from other sources or the feed either.
    Serve,
    /// Exit with an error.
    Exit,
}

/// One list: a file, or a directory of files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Its name in log lines and in `precedence`.
    pub name: String,
    /// The file or directory.
    pub path: PathBuf,
    /// The file in which `lists accept` records confirmed digests.
    pub accept: PathBuf,
}

/// Executor lists from files.
#[derive(Debug, Clone, PartialEq)]
pub struct Lists {
    /// The lists.
    pub sources: Vec<Source>,
    /// Names of sources in order of precedence, highest first; `feed` is the coordinator's feed.
    pub precedence: Vec<String>,
    /// Limits on the content of a list.
    pub terms: Terms,
    /// How long an unsealed list must remain unchanged before it is used.
    pub settle: Duration,
    /// Polling interval of the files, independent of notifications.
    pub poll: Duration,
    /// The largest file read, in bytes.
    pub max_bytes: u64,
    /// Maximum number of files in a directory.
    pub max_files: usize,
    /// When a list is held back until confirmed.
    pub guard: Guard,
    /// How long an executor removed from its list may finish its open work.
    pub drain_limit: Duration,
    /// Directory for the last good lists, on persistent storage.
    pub last_good: Option<PathBuf>,
    /// What to do at start if a source has neither a usable list nor a last good copy.
    pub on_empty: OnEmpty,
    /// For tests only: disabled safeguards.
    pub without: BTreeSet<Safeguard>,
}

/// A safeguard for lists. Tests disable single ones to show the failure that each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Safeguard {
    /// A list is checked against its seal.
    Seal,
    /// An unsealed list must have remained unchanged for a while.
    Settle,
    /// Files are checked again after reading, and recently modified ones a second time.
    Again,
    /// A list is validated before use.
    Check,
    /// A list that removes much capacity is held back.
    Guard,
    /// Executors removed from a list are drained.
    Drain,
    /// Changes are detected by file system notifications.
    Notify,
}

const SAFEGUARDS: [(&str, Safeguard); 7] = [
    ("seal", Safeguard::Seal),
    ("settle", Safeguard::Settle),
    ("again", Safeguard::Again),
    ("check", Safeguard::Check),
    ("guard", Safeguard::Guard),
    ("drain", Safeguard::Drain),
    ("notify", Safeguard::Notify),
];

/// Reads the `motor_lists` block.
pub(super) fn read(t: &Table<'_>, faults: &mut Vec<Fault>) -> Lists {
    let keys = [
        "precedence",
        "settle",
        "poll",
        "max_size",
        "max_files",
        "max_motores",
        "max_weight",
        "networks",
        "allow_loopback",
        "seals",
        "drain_limit",
        "last_good",
        "on_empty",
    ];
    t.only(&keys, &["source", "guard", "test_only"], faults);
    let mut l = Lists {
        sources: Vec::new(),
        precedence: Vec::new(),
        terms: Terms::default(),
        settle: MS(300),
        poll: MS(1_000),
        max_bytes: 8 << 20,
        max_files: 256,
        guard: Guard::default(),
        drain_limit: MS(600_000),
        last_good: None,
        on_empty: OnEmpty::Serve,
        without: BTreeSet::new(),
    };
    t.set("settle", &mut l.settle, faults, hcl::duration(MS(10)..=MS(60_000)));
    t.set("poll", &mut l.poll, faults, hcl::duration(MS(20)..=MS(60_000)));
    t.set("max_size", &mut l.max_bytes, faults, hcl::size(1 << 10..=64 << 20));
    t.set("drain_limit", &mut l.drain_limit, faults, hcl::duration(MS(1_000)..=MS(86_400_000)));
    t.set("max_weight", &mut l.terms.max_weight, faults, hcl::number(0.001..=1e6));
    t.set("allow_loopback", &mut l.terms.loopback, faults, hcl::boolean);
    t.set("seals", &mut l.terms.sealed, faults, hcl::one_of(&[("required", true), ("optional", false)]));
    let on_empty = [("serve", OnEmpty::Serve), ("exit", OnEmpty::Exit)];
    t.set("on_empty", &mut l.on_empty, faults, hcl::one_of(&on_empty));
    l.last_good = t.get("last_good", faults, hcl::string).map(PathBuf::from);
    if let Some(n) = t.get("max_files", faults, hcl::whole(1..=4_096)) {
        l.max_files = n as usize;
    }
    if let Some(n) = t.get("max_motores", faults, hcl::whole(1..=100_000)) {
        l.terms.max_executors = n as usize;
    }
    if let Some(nets) = t.get("networks", faults, hcl::list(hcl::parsed("10.0.0.0/8"))) {
        if nets.is_empty() {
            faults.push(
                t.fault("networks", "an empty list allows no address; remove the setting to allow all"),
            );
        }
        l.terms.networks = Some(nets);
    }
    for (names, s) in t.blocks("source", 1, faults) {
        s.only(&["path", "accept"], &[], faults);
        let name = names[0].to_string();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name == FEED || name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
            let what = "1 to 64 letters, digits, '-', '_' or '.' are allowed; \"feed\" is reserved";
            faults.push(s.fault("", what));
        }
        if l.sources.iter().any(|o| o.name == name) {
            faults.push(s.fault("", "duplicate source name"));
        }
        let path = s.need("path", faults, hcl::string).map(PathBuf::from).unwrap_or_default();
        let accept = s.get("accept", faults, hcl::string).map(PathBuf::from);
        if l.sources.iter().any(|o| o.path == path) {
            faults.push(s.fault("path", "another source reads this path"));
        }
        l.sources.push(Source { name, accept: accept.unwrap_or_else(|| accept_path(&path)), path });
    }
    if l.sources.is_empty() {
        faults.push(t.fault("", "no source block; at least one is needed"));
    }
    let names = || l.sources.iter().map(|s| s.name.as_str());
    match t.get("precedence", faults, hcl::list(hcl::string)) {
        None => l.precedence = names().chain([FEED]).map(String::from).collect(),
        Some(given) => {
            let once: BTreeSet<&str> = given.iter().map(String::as_str).collect();
            let all: BTreeSet<&str> = names().collect();
            if once.len() != given.len() {
                faults.push(t.fault("precedence", "duplicate source name"));
            }
            if let Some(unknown) = once.iter().find(|n| **n != FEED && !all.contains(**n)) {
                let allowed: Vec<&str> = names().chain([FEED]).collect();
                let what = format!("unknown source {unknown:?}; allowed: {}", allowed.join(", "));
                faults.push(t.fault("precedence", what));
            }
            if let Some(missing) = all.iter().find(|n| !once.contains(**n)) {
                faults.push(t.fault("precedence", format!("source {missing:?} is missing")));
            }
            l.precedence = given;
        }
    }
    if let Some(g) = t.block("guard", faults) {
        g.only(&["max_loss", "window", "remind", "accepted_for"], &[], faults);
        g.set("max_loss", &mut l.guard.max_loss, faults, hcl::number(0.0..=1.0));
        g.set("window", &mut l.guard.window, faults, hcl::duration(MS(0)..=MS(86_400_000)));
        g.set("remind", &mut l.guard.remind, faults, hcl::duration(MS(1_000)..=MS(86_400_000)));
        g.set("accepted_for", &mut l.guard.accepted_for, faults, hcl::duration(MS(1_000)..=MS(86_400_000)));
    }
    if let Some(tests) = t.block("test_only", faults) {
        tests.only(&["without"], &[], faults);
        let without = tests.get("without", faults, hcl::list(hcl::one_of(&SAFEGUARDS)));
        l.without = without.into_iter().flatten().collect();
    }
    l
}

/// The default path of a list's acceptances, beside the list.
pub fn accept_path(list: &Path) -> PathBuf {
    let mut name = list.file_name().unwrap_or_default().to_os_string();
    name.push(".accepted");
    list.with_file_name(name)
}
