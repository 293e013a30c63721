//! Converts the JSON settings, shared by the adapter and the dispatcher, and keeps the names defined in them.

pub use super::env::Env;
use crate::api::*;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;

/// A malformed message, described in one line.
#[derive(Debug)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// Parses the body of a message; an error names the message and the field.
pub fn body<T: DeserializeOwned>(name: &str, text: &str) -> Result<T, Malformed> {
    let mut de = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut de).map_err(|e| {
        let path = e.path().to_string();
        Malformed(if path == "." {
            format!("{name}: {}", e.inner())
        } else {
            format!("{name}: field {path}: {}", e.inner())
        })
    })
}

/// An error that names message and field.
pub fn bad(name: &str, field: &str, what: impl std::fmt::Display) -> Malformed {
    Malformed(format!("{name}: field {field}: {what}"))
}

/// Converts seconds to microseconds; negative or out-of-range values are malformed.
pub fn micros(name: &str, field: &str, s: f64) -> Result<Micros, Malformed> {
    if s.is_finite() && (0.0..1e12).contains(&s) {
        Ok((s * 1e6).round() as Micros)
    } else {
        Err(bad(name, field, format_args!("{s} is not a valid time in seconds")))
    }
}

/// The window of a retry budget that does not set one, in seconds.
const BUDGET_SPAN_S: f64 = 10.0;

/// Settings of the network layer; the balancer does not use them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transport {
    /// Maximum number of open requests; further ones are rejected without asking the balancer.
    pub max_open_requests: usize,
    /// Maximum number of concurrent attempts per executor connection.
    pub streams_per_conn: usize,
    /// Idle time after which executors close a connection.
    pub conn_idle: Micros,
    /// Connect timeout.
    pub dial_timeout: Micros,
    /// Whether executors may be probed.
    pub probes: bool,
    /// Interval of progress reports of an open attempt; `None` if executors send none.
    pub progress: Option<Micros>,
}

/// Tolerated delay of a progress report.
const PROGRESS_SLACK: Micros = 200_000;
const DEFAULT_PROGRESS_INTERVAL: Micros = 1_000_000;

impl Transport {
    /// How long a connection with an open attempt may stay silent.
    pub fn progress_timeout(&self) -> Micros {
        self.progress.unwrap_or(DEFAULT_PROGRESS_INTERVAL) + PROGRESS_SLACK
    }
}

/// The names defined by the settings; the balancer works with indices only.
pub struct Names {
    /// Request classes.
    pub classes: BTreeMap<String, ClassId>,
    /// Tenants.
    pub tenants: BTreeMap<String, TenantId>,
    /// Zones.
    pub zones: BTreeMap<String, ZoneId>,
    /// Kinds of executor.
    pub kinds: BTreeMap<String, KindId>,
}

/// Maps names to their indices; a duplicate name is an error.
fn indices<'a>(
    name: &str,
    field: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<BTreeMap<String, usize>, Malformed> {
    let mut all = BTreeMap::new();
    for (i, n) in names.enumerate() {
        if all.insert(n.clone(), i).is_some() {
            return Err(bad(name, field, format_args!("duplicate name {n:?}")));
        }
    }
    Ok(all)
}

/// The index of a name, or an error that names the field with the unknown name.
pub fn lookup(map: &BTreeMap<String, usize>, name: &str, field: &str, key: &str) -> Result<usize, Malformed> {
    map.get(key).copied().ok_or_else(|| bad(name, field, format_args!("unknown name {key:?}")))
}

impl Env {
    /// The network layer's settings; absent limits get permissive defaults.
    pub fn transport(&self) -> Result<Transport, Malformed> {
        let span = |field: &str, s: Option<f64>, default: f64| {
            micros("settings", &format!("permissions.{field}"), s.unwrap_or(default))
        };
        let p = &self.permissions;
        let pace = self.domain.progress_pace.unwrap_or(0.0);
        let pace = micros("settings", "domain.progressPace", pace)?;
        Ok(Transport {
            max_open_requests: p.most_held.unwrap_or(10_000),
            streams_per_conn: p.streams_per_conn.unwrap_or(100).max(1),
            conn_idle: span("connIdle", p.conn_idle, 30.0)?,
            dial_timeout: span("dialTimeout", p.dial_timeout, 0.25)?,
            probes: p.probes.unwrap_or(false),
            progress: Some(pace).filter(|p| *p > 0),
        })
    }

    /// Converts the settings and returns them with the names.
    pub fn settings(self) -> Result<(Settings, Names), Malformed> {
        const M: &str = "ENLIST";
        let parties = self.parties.unwrap_or_default();
        let names = Names {
            classes: indices(M, "env.requestClasses", self.request_classes.iter().map(|c| &c.name))?,
            tenants: indices(M, "env.parties", parties.iter().map(|p| &p.name))?,
            zones: indices(M, "env.areas", self.areas.iter())?,
            kinds: indices(M, "env.kinds", self.kinds.iter())?,
        };
        let mut classes = Vec::new();
        for (i, c) in self.request_classes.iter().enumerate() {
            let f = |field: &str| format!("env.requestClasses[{i}].{field}");
            let scope = match c.group.as_deref() {
                None | Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                Some("cell") => KeyScope::Cell,
                Some(other) => return Err(bad(M, &f("group"), format_args!("unknown value {other:?}"))),
            };
            let window = micros(M, &f("dedupWindow"), c.dedup_window.unwrap_or(0.0))?;
            let idempotency = match c.effect.as_str() {
                "read_like" => Idempotency::Idempotent,
                "idempotency_key" => Idempotency::IdempotencyKey { scope, window },
                "non_idempotent" => Idempotency::NotIdempotent,
                other => return Err(bad(M, &f("effect"), format_args!("unknown value {other:?}"))),
            };
            let set = |map: &BTreeMap<String, usize>, field: &str, list: &Option<Vec<String>>| {
                list.as_ref()
                    .map(|l| l.iter().map(|n| lookup(map, M, &f(field), n)).collect::<Result<Vec<_>, _>>())
                    .transpose()
            };
            classes.push(Class {
                latency_objective: micros(M, &f("promise"), c.promise)?,
                latency_objective_stretch: c.aim_stretch.unwrap_or(0.0),
                client_timeout: micros(M, &f("hardLimit"), c.hard_limit)?,
                priority_weight: c.credit.unwrap_or(1.0),
                late_priority_weight: c.late_worth.unwrap_or(0.0),
                threads: self.domain.parallelism.get(i).copied().unwrap_or(1),
                idempotency,
                keep_order: c.keep_order.unwrap_or(false),
                loads: self.domain.class_load.get(i).copied().unwrap_or(false),
                yields_to_loads: self.domain.yields_to_loads.get(i).copied().unwrap_or(false),
                only_zones: set(&names.zones, "areasOnly", &c.areas_only)?,
                only_kinds: set(&names.kinds, "boundTo", &c.bound_to)?,
            });
        }
        let kind = |i: usize| Kind {
            cores: self.domain.kind_cores.get(i).copied().unwrap_or(1.0),
            memory_mb: self.domain.memory_by_kind_mb.get(i).copied().unwrap_or(0.0),
        };
        let p = self.permissions;
        let r = self.rules;
        let d = &self.domain;
        let retry_after = micros(M, "env.permissions.maxRetryAfter", p.max_retry_after.unwrap_or(0.0))?;
        let progress = micros(M, "env.domain.progressPace", d.progress_pace.unwrap_or(0.0))?;
        // Any one of the keys enables the retry budget; the values of absent keys allow no retries.
        let stated = r.free_resends.or(r.further_ratio).or(r.ratio_span).is_some();
        let span = micros(M, "env.rules.ratioSpan", r.ratio_span.unwrap_or(BUDGET_SPAN_S))?;
        let (free, ratio) = (r.free_resends.unwrap_or(0.0), r.further_ratio.unwrap_or(0.0));
        let budget = stated.then_some(RetryBudget {
            base_retries: free,
            retries_per_request: ratio,
            window: span,
            send_delay: 0,
        });
        let settings = Settings {
            dispatchers: self.balancers,
            kinds: (0..self.kinds.len().max(1)).map(kind).collect(),
            tenants: parties
                .iter()
                .map(|p| Tenant { quota_per_s: p.quota_per_s.unwrap_or(f64::MAX) })
                .collect(),
            zones: self.areas.len().max(1),
            zone: match &self.zone {
                Some(z) => lookup(&names.zones, M, "env.zone", z)?,
                None => 0,
            },
            over_quota_weight: self.over_share_worth.unwrap_or(1.0),
            cross_zone_price: self.costs.cross_zone.unwrap_or(0.0),
            probe_price: self.costs.probe.unwrap_or(0.0),
            handshake_price: self.costs.handshake.unwrap_or(0.0),
            reports: match self.report.how.as_deref() {
                Some("inline") => Reports::Inline,
                Some("on_probe") => Reports::OnProbe,
                None | Some("off") => Reports::Off,
                Some(other) => return Err(bad(M, "env.report.how", format_args!("unknown value {other:?}"))),
            },
            list_must_be_polled: self.discovery.as_deref() == Some("ask"),
            probes: p.probes.unwrap_or(false),
            cancellation: p.cancel.unwrap_or(false),
            hedging: p.may_duplicate.unwrap_or(false),
            max_attempts: p.max_attempts.unwrap_or(1),
            max_retry_after: (p.retry_after.unwrap_or(false) && retry_after > 0).then_some(retry_after),
            memory_grants: d.memory_heeded.unwrap_or(false),
            priorities: d.takes_priority.unwrap_or(false),
            max_grant_fraction: d.grant_cap.unwrap_or(1.0),
            memory_shortage: match d.on_shortage.as_deref() {
                None | Some("queue") => MemoryShortage::Queue,
                Some("trim") => MemoryShortage::Trim,
                Some("swap") => MemoryShortage::Swap,
                Some(other) => {
                    return Err(bad(M, "env.domain.onShortage", format_args!("unknown value {other:?}")));
                }
            },
            progress_interval: (progress > 0).then_some(progress),
            reports_cost: d.tells_cost.unwrap_or(false),
            retry_budget: budget,
            slow_start: SlowStart {
                initial_fraction: r.cold_from,
                ramp: micros(M, "env.rules.rampTime", r.ramp_time)?,
                overload_factor: r.fall_multiple,
                overload_window: micros(M, "env.rules.fall", r.fall)?,
            },
            drain_grace: micros(M, "env.rules.stopSendingWithin", r.stop_sending_within)?,
            key_quiet_period: r.key_quiet.map(|q| micros(M, "env.rules.keyQuiet", q)).transpose()?,
            min_batch_interval: micros(M, "env.step", self.step)?,
            classes,
        };
        Ok((settings, names))
    }
}
