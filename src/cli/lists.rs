//! `ottercroft lists`: works on executor lists without a running dispatcher.

mod diff;
mod show;

use super::{Common, Outcome, catalog, options, report_faults};
use crate::membership::check::Terms;
use crate::membership::files::ReadLimits;
use crate::membership::list::{self, Digest, Executor, List, ListFile};
use crate::membership::storage;
use crate::membership::watcher::{self, Rules};
use crate::settings::hcl::Fault;
use crate::settings::options::{Lists, accept_path};
use clap::{Args, Subcommand};
use diff::diff;
use show::show;
use std::collections::BTreeSet;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The largest list read when no settings give a limit.
const MAX_LIST_BYTES: u64 = 64 << 20;

/// Commands on executor lists.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a list and report all of its faults
    Check {
        /// The list
        #[command(flatten)]
        list: Named,
        /// Write the findings as JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the executors, generation, digest and seal of a list
    Show {
        /// The list
        #[command(flatten)]
        list: Named,
        /// Write it as JSON
        #[arg(long)]
        json: bool,
    },
    /// Compare two lists, and report whether the guard would hold back the second one after the first
    Diff {
        /// The list in force: a file, a directory, or a stored *.last-good copy
        old: PathBuf,
        /// The list that would replace it
        new: PathBuf,
        /// The platform's JSON file, for the cores of each kind
        #[arg(long, env = "ROUTER_CONFIG", value_name = "FILE")]
        config: Option<PathBuf>,
        /// Write it as JSON
        #[arg(long)]
        json: bool,
    },
    /// Renew the seal of a list file: its number of executors and its digest
    Seal {
        /// The file
        file: PathBuf,
        /// Add the confirmation seal, which confirms the removals in the list
        #[arg(long)]
        confirm: bool,
        /// Increment the generation
        #[arg(long)]
        next: bool,
    },
    /// Accept a list that a dispatcher holds back
    Accept {
        /// Its digest, or at least the first 12 digits of it, as shown in the log line
        digest: String,
        /// The path of the list as given in the settings
        #[arg(long, value_name = "PATH")]
        list: PathBuf,
        /// The file of its acceptances, if the settings name another one than the default beside the list
        #[arg(long, value_name = "FILE")]
        to: Option<PathBuf>,
    },
}

/// A list and the configuration that it is checked against.
#[derive(Debug, Args)]
pub struct Named {
    /// The list: a file, or a directory of files *.hcl
    path: PathBuf,
    /// The platform's JSON file with the known rooms and kinds; without it they are not checked
    #[arg(long, env = "ROUTER_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
}

/// Runs one command.
pub fn run(out: &mut dyn Write, command: Command, common: &Common) -> io::Result<Outcome> {
    let lists = options(common).map_err(|f| io::Error::other(join_faults(&f)))?.lists;
    match command {
        Command::Check { list, json } => check(out, &list, lists.as_ref(), json),
        Command::Show { list, json } => show(out, &list.path, json),
        Command::Diff { old, new, config, json } => diff(out, [&old, &new], config.as_deref(), lists, json),
        Command::Seal { file, confirm, next } => seal(out, &file, confirm, next),
        Command::Accept { digest, list, to } => accept(out, &digest, &list, to, lists.as_ref()),
    }
}

fn join_faults(faults: &[Fault]) -> String {
    faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("\n")
}

fn plain_rules() -> Rules {
    Rules {
        terms: Terms { loopback: true, ..Terms::default() },
        catalog: None,
        limits: ReadLimits { max_bytes: MAX_LIST_BYTES, max_files: 4_096 },
        settle: Duration::ZERO,
        poll: Duration::ZERO,
        last_good: None,
        without: BTreeSet::new(),
    }
}

fn check(out: &mut dyn Write, named: &Named, lists: Option<&Lists>, json: bool) -> io::Result<Outcome> {
    let catalog = match &named.config {
        Some(config) => Some(catalog(config).map_err(|f| io::Error::other(f.to_string()))?),
        None => None,
    };
    let unchecked = catalog.is_none();
    std::fs::metadata(&named.path).map_err(|e| io::Error::other(format!("{}: {e}", named.path.display())))?;
    let rules = match lists {
        Some(l) => Rules::new(l, catalog),
        None => Rules { catalog, ..plain_rules() },
    };
    let (told, faults) = match watcher::validate(&named.path, &rules) {
        Ok((list, faults)) => (format!("in order: {} motores, {}", list.len(), list.digest), faults),
        Err(faults) => (String::new(), faults),
    };
    if unchecked && !json {
        writeln!(out, "rooms and kinds are not checked: no --config")?;
    }
    report_faults(out, &faults, json, &told)
}

/// Reads a list or a stored last good copy, ignoring validation errors in its content.
fn read(path: &Path) -> io::Result<List> {
    let named = |e: String| io::Error::other(format!("{}: {e}", path.display()));
    if path.extension().is_some_and(|e| e == "last-good") {
        return storage::load(path, MAX_LIST_BYTES).map_err(named);
    }
    let (list, _) = watcher::validate(path, &plain_rules()).map_err(|f| io::Error::other(join_faults(&f)))?;
    Ok(list)
}

fn state(m: &Executor) -> &'static str {
    if m.accepts_requests() { "up" } else { "draining" }
}

fn seal(out: &mut dyn Write, file: &Path, confirm: bool, next: bool) -> io::Result<Outcome> {
    let name = file.display().to_string();
    let named = |e: io::Error| io::Error::other(format!("{name}: {e}"));
    let text = std::fs::read_to_string(file).map_err(named)?;
    match list::renew_seal(&name, &text, confirm, next) {
        Err(faults) => report_faults(out, &faults, false, ""),
        Ok(text) => {
            // Replaces the target of a symbolic link rather than the link.
            let real = std::fs::canonicalize(file).map_err(named)?;
            storage::write_atomically(&real, text.as_bytes(), storage::Durability::Machine).map_err(named)?;
            let (list, _) = ListFile::parse(&name, &name, &text);
            let digest = list.map(|l| l.digest.to_string()).unwrap_or_default();
            writeln!(out, "{name}: sealed, {digest}")?;
            Ok(Outcome::Success)
        }
    }
}

fn accept(
    out: &mut dyn Write,
    digest: &str,
    path: &Path,
    to: Option<PathBuf>,
    lists: Option<&Lists>,
) -> io::Result<Outcome> {
    let hex = digest.strip_prefix("sha256:").unwrap_or(digest).to_ascii_lowercase();
    if hex.len() < storage::MIN_DIGEST_DIGITS || hex.len() > 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit())
    {
        let (least, shown) = (storage::MIN_DIGEST_DIGITS, Digest::SHORT);
        return Err(io::Error::other(format!(
            "{digest:?} is not a digest: {least} to 64 hex digits are required, log lines show {shown}"
        )));
    }
    let set = lists.and_then(|l| l.sources.iter().find(|s| s.path == path)).map(|s| s.accept.clone());
    let at = to.or(set).unwrap_or_else(|| accept_path(path));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
    storage::add_acceptance(&at, &hex, now)
        .map_err(|e| io::Error::other(format!("{}: {e}", at.display())))?;
    writeln!(out, "accepted {hex} in {}", at.display())?;
    Ok(Outcome::Success)
}
