//! A policy's file, in HCL.

use crate::settings::hcl::{self, Fault, Table, Text};
use std::time::Duration;

/// What a policy says of a class; what it does not name stays as the settings have it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the whole worth.
    pub latency_objective: Option<Duration>,
    /// It is given up after this time, where its client would wait longer.
    pub deadline: Option<Duration>,
    /// Worth of one answer.
    pub priority_weight: Option<f64>,
    /// Share of the worth that a late answer earns.
    pub late_priority_weight: Option<f64>,
    /// The only kinds of machine allowed.
    pub kinds: Option<Vec<String>>,
    /// The only zones allowed.
    pub zones: Option<Vec<String>>,
}

/// Attempts, and the ration of further ones.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Attempts {
    /// For a request, at most.
    pub most: Option<u32>,
    /// Further ones allowed in every span whatever the traffic.
    pub free: Option<f64>,
    /// Further ones for each request taken in the span.
    pub ratio: Option<f64>,
    /// The span.
    pub span: Option<Duration>,
}

/// A policy as its file has it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Its name, for people.
    pub name: String,
    /// Classes that it names.
    pub classes: Vec<Class>,
    /// Requests a second inside its share, by tenant.
    pub tenants: Vec<(String, f64)>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_quota_weight: Option<f64>,
    /// Attempts.
    pub attempts: Attempts,
}

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Longer than any class waits.
const LONGEST: Duration = Duration::from_secs(3_600);

impl Policy {
    /// Reads a text; all that is wrong with it is told. An empty one changes nothing of the settings.
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
