//! Parses policy files (HCL).

use crate::settings::hcl::{self, Fault, Table, Text};
use std::time::Duration;

/// A policy's settings for a class; `None` leaves a setting unchanged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Option<Duration>,
    /// Requests fail after this time, even if the client would wait longer.
    pub deadline: Option<Duration>,
    /// Priority weight of one answer.
    pub priority_weight: Option<f64>,
    /// Fraction of the priority weight that a late answer earns.
    pub late_priority_weight: Option<f64>,
    /// The only kinds of executor allowed.
    pub kinds: Option<Vec<String>>,
    /// The only zones allowed.
    pub zones: Option<Vec<String>>,
}

/// The attempt limit and the retry budget.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Attempts {
    /// Maximum number of attempts for a request.
    pub most: Option<u32>,
    /// Retries allowed in each window regardless of traffic.
    pub free: Option<f64>,
    /// Additional retries for each request accepted in the window.
    pub ratio: Option<f64>,
    /// Length of the window.
    pub span: Option<Duration>,
}

/// A parsed policy file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Its name, for operators only.
    pub name: String,
    /// Per-class settings.
    pub classes: Vec<Class>,
    /// Quota by tenant, in requests per second.
    pub tenants: Vec<(String, f64)>,
    /// Weight of a request over its tenant's quota, as a fraction of its normal weight.
    pub over_quota_weight: Option<f64>,
    /// Attempt limit and retry budget.
    pub attempts: Attempts,
}

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Upper bound for durations, above any class's timeout.
const LONGEST: Duration = Duration::from_secs(3_600);

impl Policy {
    /// Parses a policy and reports all errors. An empty text changes no settings.
    pub fn parse(file: &str, text: &str) -> Result<Policy, Vec<Fault>> {
        if text.trim().is_empty() {
            return Ok(Policy::default());
        }
        let text = Text::new(file, text);
        let body = text.parse().map_err(|e| vec![e])?;
        let (root, mut faults) = (Table::root(&text, &body), Vec::new());
        root.only(&[], &["policy"], &mut faults);
        let mut all = root.blocks("policy", 1, &mut faults).into_iter();
        let read = all.next().map(|(names, t)| {
            let mut p = policy(&t, &mut faults);
            p.name = names.concat();
            p
        });
        faults.extend(all.map(|(_, t)| t.fault("", "stands here a second time; once is allowed")));
        match read {
            Some(p) if faults.is_empty() => Ok(p),
            None if faults.is_empty() => Err(vec![Fault::of_file(file, "no policy block; one is needed")]),
            _ => Err(faults),
        }
    }
}

fn policy(t: &Table<'_>, faults: &mut Vec<Fault>) -> Policy {
    t.only(&["over_share_worth"], &["class", "tenant", "attempts"], faults);
    let mut p = Policy {
        over_quota_weight: t.get("over_share_worth", faults, hcl::number(0.0..=1.0)),
        ..Policy::default()
    };
    for (names, c) in t.blocks("class", 1, faults) {
        c.only(&["aim", "deadline", "worth", "late_worth", "kinds", "zones"], &[], faults);
        let class = Class {
            name: names.concat(),
            latency_objective: c.get("aim", faults, hcl::duration(MS(1)..=LONGEST)),
            deadline: c.get("deadline", faults, hcl::duration(MS(1)..=LONGEST)),
            priority_weight: c.get("worth", faults, hcl::number(0.0..=1e6)),
            late_priority_weight: c.get("late_worth", faults, hcl::number(0.0..=1.0)),
            kinds: names_of(&c, "kinds", faults),
            zones: names_of(&c, "zones", faults),
        };
        if p.classes.iter().any(|o| o.name == class.name) {
            faults.push(c.fault("", "a second class of this name"));
        }
        p.classes.push(class);
    }
    for (names, c) in t.blocks("tenant", 1, faults) {
        c.only(&["quota_per_s"], &[], faults);
        let quota = c.need("quota_per_s", faults, hcl::number(0.0..=1e9)).unwrap_or_default();
        if p.tenants.iter().any(|(o, _)| *o == names.concat()) {
            faults.push(c.fault("", "a second tenant of this name"));
        }
        p.tenants.push((names.concat(), quota));
    }
    if let Some(a) = t.block("attempts", faults) {
        a.only(&["most", "free", "ratio", "span"], &[], faults);
        p.attempts = Attempts {
            most: a.get("most", faults, hcl::whole(1..=100)).and_then(|n| u32::try_from(n).ok()),
            free: a.get("free", faults, hcl::number(0.0..=1e6)),
            ratio: a.get("ratio", faults, hcl::number(0.0..=100.0)),
            span: a.get("span", faults, hcl::duration(MS(100)..=LONGEST)),
        };
    }
    p
}

fn names_of(t: &Table<'_>, key: &str, faults: &mut Vec<Fault>) -> Option<Vec<String>> {
    let names = t.get(key, faults, hcl::list(hcl::string))?;
    if names.is_empty() {
        faults.push(t.fault(key, "an empty list allows nothing; leave it out to change nothing"));
    }
    Some(names)
}
