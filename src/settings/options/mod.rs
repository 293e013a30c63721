//! ottercroft's own settings, from an HCL file beside the platform's JSON: features that only some installations use.
//!
//! Every feature is off unless its block is present. All faults of the file are reported with their positions.
//!
//! - [`lists`]: executor lists from files; [`terms`]: limits on their content and when they are held back.
//! - [`storms`]: retry storms.
//! - [`peers`]: the other dispatchers; [`policy`]: how a shared admission policy is agreed on.
//! - [`control`]: a group of members that agrees on the policy for all dispatchers that follow it.

pub mod control;
pub mod lists;
pub mod peers;
pub mod policy;
pub mod storms;
pub mod terms;
#[cfg(test)]
mod tests;

pub use control::{Control, Role};
pub use lists::{Lists, OnEmpty, Safeguard, Source, accept_path};
pub use peers::Peers;
pub use policy::{PolicyTerms, WithoutLease};
pub use storms::Storms;
pub use terms::{FEED, Guard, Terms};

use crate::settings::hcl::{self, Fault, Table, Text};
use std::path::Path;
use std::time::Duration;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum LogFormat {
    /// Time, level, module, message, fields.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// All settings of the file.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Options {
    /// How log lines are written.
    pub log_format: Option<LogFormat>,
    /// Executor lists from files; `None` if the coordinator's feed is the only source.
    pub lists: Option<Lists>,
    /// Retry storm protection; `None` if only the balancer rejects requests.
    pub storms: Option<Storms>,
    /// Other dispatchers; `None` if the dispatcher works alone.
    pub peers: Option<Peers>,
    /// A control group; `None` if the policy comes from the dispatcher's own settings or its peers.
    pub control: Option<Control>,
}

const MS: fn(u64) -> Duration = Duration::from_millis;

impl Options {
    /// Reads a file and returns all of its faults on failure.
    pub fn load(path: &Path) -> Result<Options, Vec<Fault>> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| vec![Fault::of_file(&name, e)])?;
        Options::parse(&name, &text)
    }

    /// Parses a text.
    pub fn parse(name: &str, text: &str) -> Result<Options, Vec<Fault>> {
        let text = Text::new(name, text);
        let body = text.parse().map_err(|e| vec![e])?;
        let (root, mut faults) = (Table::root(&text, &body), Vec::new());
        root.only(&[], &["log", "motor_lists", "retry_storms", "peers", "control"], &mut faults);
        let mut options = Options::default();
        if let Some(log) = root.block("log", &mut faults) {
            log.only(&["format"], &[], &mut faults);
            let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
            options.log_format = log.get("format", &mut faults, hcl::one_of(&formats));
        }
        options.lists = root.block("motor_lists", &mut faults).map(|t| lists::read(&t, &mut faults));
        options.storms = root.block("retry_storms", &mut faults).map(|t| storms::read(&t, &mut faults));
        options.peers = root.block("peers", &mut faults).map(|t| peers::read(&t, &mut faults));
        options.control = root.block("control", &mut faults).map(|t| control::read(&t, &mut faults));
        let both = options.control.is_some() && options.peers.as_ref().is_some_and(|p| p.policy.is_some());
        if both {
            faults.push(root.fault("control", "peers.policy already configures the agreement on the policy"));
        }
        if faults.is_empty() { Ok(options) } else { Err(faults) }
    }
}
