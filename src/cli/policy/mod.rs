//! `ottercroft policy`: checks and compares policies locally, and changes the policy of a fleet through a dispatcher.

mod call;

use super::{Outcome, platform, report_faults};
use crate::api::{Micros, Settings};
use crate::policies::{Policy, applied};
use crate::settings::Names;
use crate::settings::hcl::{Fault, shown};
use call::{call, proposal};
use clap::{Args, Subcommand};
use fleet::policy::MAX_TEXT_BYTES;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Commands on policies.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a policy and report all of its faults
    Check {
        /// The policy
        file: PathBuf,
        /// The platform's JSON file whose settings the policy must match; without it only the text is checked
        #[arg(env = "ROUTER_CONFIG")]
        config: Option<PathBuf>,
        /// Write the findings as JSON
        #[arg(long)]
        json: bool,
    },
    /// Show what a policy changes relative to the platform's settings or to another policy
    #[command(allow_missing_positional = true)]
    Diff {
        /// The policy
        file: PathBuf,
        /// The policy to compare with; the settings themselves if absent
        other: Option<PathBuf>,
        /// The platform's JSON file
        config: PathBuf,
    },
    /// Propose a policy to the fleet
    Propose {
        /// The policy, at a path that the dispatcher can read
        file: PathBuf,
        /// The dispatcher to call
        #[command(flatten)]
        at: At,
    },
    /// Show the policy in force, the change in progress and the outcome of earlier changes
    Status(At),
    /// Abort the change in progress
    Abort(At),
    /// Propose the previous policy
    Back(At),
}

/// The dispatcher to call.
#[derive(Debug, Args)]
pub struct At {
    /// Its operators' address
    #[arg(long, value_name = "HOST:PORT")]
    at: String,
}

/// Runs one command. An error means that the input could not be read or the dispatcher could not be reached.
pub fn run(out: &mut dyn Write, command: Command) -> io::Result<Outcome> {
    match command {
        Command::Check { file, config, json } => check(out, &file, config.as_deref(), json),
        Command::Diff { file, other, config } => diff(out, &file, other.as_deref(), &config),
        Command::Propose { file, at } => call(out, &at.at, &proposal(&file)?),
        Command::Status(At { at }) => call(out, &at, "POLICY STATUS"),
        Command::Abort(At { at }) => call(out, &at, "POLICY ABORT"),
        Command::Back(At { at }) => call(out, &at, "POLICY BACK"),
    }
}

/// Reads a policy file. The outer error is an I/O error; the inner one holds all faults of the text.
fn read(path: &Path) -> io::Result<Result<Policy, Vec<Fault>>> {
    let name = path.display().to_string();
    let told = |e: io::Error| io::Error::other(format!("{name}: {e}"));
    let (mut text, most) = (String::new(), MAX_TEXT_BYTES as u64);
    std::fs::File::open(path).map_err(told)?.take(most + 1).read_to_string(&mut text).map_err(told)?;
    Ok(if text.len() > MAX_TEXT_BYTES {
        Err(vec![Fault::of_file(&name, format_args!("longer than {MAX_TEXT_BYTES} bytes"))])
    } else if text.trim().is_empty() {
        Err(vec![Fault::of_file(&name, "empty; `policy back` returns to the policy before")])
    } else {
        Policy::parse(&name, &text)
    })
}

fn settings(config: &Path) -> io::Result<(Settings, Names)> {
    platform(config).map_err(|f| io::Error::other(f.to_string()))
}

/// The settings with a policy applied; faults carry the name of the policy's file.
fn under(path: &Path, (base, names): &(Settings, Names)) -> io::Result<Result<Settings, Vec<Fault>>> {
    let file = path.display().to_string();
    let faults = |all: Vec<String>| all.iter().map(|f| Fault::of_file(&file, f)).collect::<Vec<_>>();
    Ok(read(path)?.and_then(|p| applied(&p, base, names).map_err(faults)))
}

fn check(out: &mut dyn Write, file: &Path, config: Option<&Path>, json: bool) -> io::Result<Outcome> {
    let faults = match config {
        Some(config) => under(file, &settings(config)?)?.err(),
        None => read(file)?.err(),
    };
    if config.is_none() && !json {
        writeln!(out, "not checked against settings: no configuration named")?;
    }
    report_faults(out, &faults.unwrap_or_default(), json, "in order")
}

/// All settings that a policy can change, by field name.
fn fields(s: &Settings, names: &Names) -> BTreeMap<String, String> {
    let span = |t: Micros| humantime::format_duration(Duration::from_micros(t)).to_string();
    let some = |those: &Option<Vec<usize>>, known: &BTreeMap<String, usize>| match those {
        None => "any".to_string(),
        Some(those) => {
            let named = known.iter().filter(|(_, i)| those.contains(i)).map(|(n, _)| shown(n));
            named.collect::<Vec<_>>().join(", ")
        }
    };
    let mut all = BTreeMap::new();
    for (name, i) in &names.classes {
        let Some(c) = s.classes.get(*i) else { continue };
        let of = [
            ("aim", span(c.latency_objective)),
            ("deadline", span(c.client_timeout)),
            ("worth", c.priority_weight.to_string()),
            ("late_worth", c.late_priority_weight.to_string()),
            ("kinds", some(&c.only_kinds, &names.kinds)),
            ("zones", some(&c.only_zones, &names.zones)),
        ];
        all.extend(of.map(|(field, value)| (format!("class \"{}\": {field}", shown(name)), value)));
    }
    for (name, i) in &names.tenants {
        let Some(t) = s.tenants.get(*i) else { continue };
        all.insert(format!("tenant \"{}\": quota_per_s", shown(name)), t.quota_per_s.to_string());
    }
    let ration =
        |of: fn(&crate::api::RetryBudget) -> String| s.retry_budget.as_ref().map_or("none".to_string(), of);
    all.insert("over_share_worth".into(), s.over_quota_weight.to_string());
    all.insert("attempts: most".into(), s.max_attempts.to_string());
    all.insert("attempts: free".into(), ration(|b| b.base_retries.to_string()));
    all.insert("attempts: ratio".into(), ration(|b| b.retries_per_request.to_string()));
    let spans = s.retry_budget.map_or("none".to_string(), |b| span(b.window));
    all.insert("attempts: span".into(), spans);
    all
}

fn diff(out: &mut dyn Write, file: &Path, other: Option<&Path>, config: &Path) -> io::Result<Outcome> {
    let platform = settings(config)?;
    let was = other.map_or(Ok(Ok(platform.0.clone())), |o| under(o, &platform))?;
    let (was, is) = match (was, under(file, &platform)?) {
        (Ok(was), Ok(is)) => (fields(&was, &platform.1), fields(&is, &platform.1)),
        (was, is) => {
            let faults: Vec<Fault> = [was.err(), is.err()].into_iter().flatten().flatten().collect();
            return report_faults(out, &faults, false, "");
        }
    };
    let changed: Vec<_> = is.iter().zip(was.values()).filter(|((_, new), old)| new != old).collect();
    changed.iter().try_for_each(|((field, new), old)| writeln!(out, "{field}: {old} -> {new}"))?;
    if changed.is_empty() {
        writeln!(out, "no difference")?;
        return Ok(Outcome::Success);
    }
    Ok(Outcome::FaultsFound)
}

#[cfg(test)]
mod tests;
