//! Applies a policy to one dispatcher's settings and validates it against them.

use super::Policy;
use crate::api::{self, Micros, Settings};
use crate::settings::Names;
use crate::settings::hcl::{Fault, shown};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::time::Duration;

/// The SHA-256 digest that identifies a policy's text.
pub fn digest(text: &str) -> [u8; 32] {
    Sha256::digest(text.as_bytes()).into()
}

fn micros(d: Duration) -> Micros {
    Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX)
}

struct Check<'a> {
    base: &'a Settings,
    names: &'a Names,
    faults: Vec<String>,
}

impl Check<'_> {
    fn fault(&mut self, place: &str, name: &str, what: impl std::fmt::Display) {
        self.faults.push(format!("{place} \"{}\": {what}", shown(name)));
    }

    fn index(&mut self, place: &str, name: &str, known: &BTreeMap<String, usize>) -> Option<usize> {
        let found = known.get(name).copied();
        if found.is_none() {
            let all: Vec<&str> = known.keys().take(8).map(String::as_str).collect();
            self.fault(place, name, format_args!("unknown; known here: {}", all.join(", ")));
        }
        found
    }

    fn indices(&mut self, place: &str, names: &[String], known: &BTreeMap<String, usize>) -> Vec<usize> {
        names.iter().filter_map(|n| self.index(place, n, known)).collect()
    }

    fn class(&mut self, s: &mut Settings, p: &super::Class) {
        let Some(i) = self.index("class", &p.name, &self.names.classes) else { return };
        let base = &self.base.classes[i];
        let to = &mut s.classes[i];
        to.latency_objective = p.latency_objective.map_or(to.latency_objective, micros);
        to.client_timeout = p.deadline.map_or(to.client_timeout, micros);
        to.priority_weight = p.priority_weight.unwrap_or(to.priority_weight);
        to.late_priority_weight = p.late_priority_weight.unwrap_or(to.late_priority_weight);
        if to.client_timeout > base.client_timeout {
            let most = humantime::format_duration(Duration::from_micros(base.client_timeout));
            self.fault("class", &p.name, format_args!("deadline: its clients wait {most} at most"));
        }
        if to.latency_objective > to.client_timeout {
            self.fault("class", &p.name, "aim: later than its deadline");
        }
        let places = [
            ("kind", &p.kinds, &self.names.kinds, &base.only_kinds),
            ("zone", &p.zones, &self.names.zones, &base.only_zones),
        ];
        let mut bound = Vec::new();
        for (place, wanted, known, platform) in places {
            let found = wanted.as_ref().map(|names| self.indices(place, names, known));
            // The platform's restrictions stay in force: a policy may only narrow them.
            if let (Some(found), Some(platform)) = (&found, platform)
                && !found.iter().all(|i| platform.contains(i))
            {
                self.fault("class", &p.name, format_args!("{place}s: more than the settings allow it"));
            }
            bound.push(found);
        }
        let to = &mut s.classes[i];
        to.only_zones = bound.pop().flatten().or(to.only_zones.take());
        to.only_kinds = bound.pop().flatten().or(to.only_kinds.take());
    }
}

/// The settings of a dispatcher under a policy, or all errors found.
pub fn applied(policy: &Policy, base: &Settings, names: &Names) -> Result<Settings, Vec<String>> {
    let mut s = base.clone();
    let mut check = Check { base, names, faults: Vec::new() };
    policy.classes.iter().for_each(|c| check.class(&mut s, c));
    for (name, quota) in &policy.tenants {
        if let Some(i) = check.index("tenant", name, &names.tenants) {
            s.tenants[i].quota_per_s = *quota;
        }
    }
    s.over_quota_weight = policy.over_quota_weight.unwrap_or(s.over_quota_weight);
    let a = &policy.attempts;
    if let Some(most) = a.most {
        s.max_attempts = most;
        if most > base.max_attempts {
            check.fault("attempts", "most", format_args!("the settings allow {}", base.max_attempts));
        }
    }
    if a.free.or(a.ratio).is_some() || a.span.is_some() {
        let own = base.retry_budget.unwrap_or(api::RetryBudget {
            base_retries: f64::MAX,
            retries_per_request: f64::MAX,
            window: 10_000_000,
            send_delay: 0,
        });
        let budget = api::RetryBudget {
            base_retries: a.free.unwrap_or(own.base_retries),
            retries_per_request: a.ratio.unwrap_or(own.retries_per_request),
            window: a.span.map_or(own.window, micros),
            send_delay: own.send_delay,
        };
        // A policy may only tighten the platform's retry budget; if there is none, it sets one.
        if base.retry_budget.is_some()
            && (budget.base_retries > own.base_retries
                || budget.retries_per_request > own.retries_per_request
                || budget.window < own.window)
        {
            check.fault("attempts", "ration", "wider than the settings allow");
        }
        if budget.base_retries == f64::MAX || budget.retries_per_request == f64::MAX {
            check.fault(
                "attempts",
                "ration",
                "free and ratio are both needed where the settings have no ration",
            );
        }
        s.retry_budget = Some(budget);
    }
    if let Err(e) = api::check(&s) {
        check.faults.push(e.to_string());
    }
    if check.faults.is_empty() { Ok(s) } else { Err(check.faults) }
}

/// Verifies the digest of a replicated policy, parses it and applies it. Returns the settings, or all errors found.
pub fn ready(
    policy: &fleet::policy::Policy,
    base: &Settings,
    names: &Names,
) -> Result<Settings, Vec<String>> {
    if policy.number > 0 && digest(&policy.text) != policy.digest {
        return Err(vec!["its text does not match its digest".into()]);
    }
    let told = |faults: Vec<Fault>| faults.iter().map(Fault::to_string).collect::<Vec<_>>();
    let read = Policy::parse(&format!("policy {}", policy.number), &policy.text).map_err(told)?;
    applied(&read, base, names)
}
