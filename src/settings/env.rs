//! The JSON form of the platform's settings, before conversion.

use serde::{Deserialize, Deserializer};

/// Treats null as absent, as the platform writes both.
pub(super) fn absent<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(d: D) -> Result<T, D::Error> {
    Option::deserialize(d).map(Option::unwrap_or_default)
}

/// The settings as written in JSON; unknown keys are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Env {
    #[serde(default, deserialize_with = "absent")]
    pub(super) areas: Vec<String>,
    pub(super) balancers: u32,
    #[serde(default, deserialize_with = "absent")]
    pub(super) costs: CostsIn,
    #[serde(default)]
    pub(super) discovery: Option<String>,
    #[serde(default, deserialize_with = "absent")]
    pub(super) domain: DomainIn,
    #[serde(default, deserialize_with = "absent")]
    pub(super) kinds: Vec<String>,
    #[serde(default)]
    pub(super) over_share_worth: Option<f64>,
    #[serde(default)]
    pub(super) parties: Option<Vec<PartyIn>>,
    #[serde(default, deserialize_with = "absent")]
    pub(super) permissions: PermissionsIn,
    #[serde(default, deserialize_with = "absent")]
    pub(super) report: ReportIn,
    pub(super) request_classes: Vec<ClassIn>,
    pub(super) rules: RulesIn,
    #[serde(default, deserialize_with = "absent")]
    pub(super) step: f64,
    #[serde(default)]
    pub(super) zone: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct CostsIn {
    pub(super) cross_zone: Option<f64>,
    pub(super) handshake: Option<f64>,
    pub(super) probe: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct DomainIn {
    #[serde(deserialize_with = "absent")]
    pub(super) class_load: Vec<bool>,
    #[serde(deserialize_with = "absent")]
    pub(super) yields_to_loads: Vec<bool>,
    pub(super) grant_cap: Option<f64>,
    #[serde(deserialize_with = "absent")]
    pub(super) kind_cores: Vec<f64>,
    #[serde(deserialize_with = "absent")]
    pub(super) memory_by_kind_mb: Vec<f64>,
    pub(super) memory_heeded: Option<bool>,
    pub(super) on_shortage: Option<String>,
    #[serde(deserialize_with = "absent")]
    pub(super) parallelism: Vec<u32>,
    pub(super) progress_pace: Option<f64>,
    pub(super) takes_priority: Option<bool>,
    pub(super) tells_cost: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct PartyIn {
    pub(super) name: String,
    #[serde(default)]
    pub(super) quota_per_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(super) struct PermissionsIn {
    pub(super) cancel: Option<bool>,
    pub(super) conn_idle: Option<f64>,
    pub(super) dial_timeout: Option<f64>,
    pub(super) max_attempts: Option<u32>,
    pub(super) max_retry_after: Option<f64>,
    pub(super) may_duplicate: Option<bool>,
    pub(super) most_held: Option<usize>,
    pub(super) probes: Option<bool>,
    pub(super) retry_after: Option<bool>,
    pub(super) streams_per_conn: Option<usize>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct ReportIn {
    pub(super) how: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ClassIn {
    pub(super) name: String,
    pub(super) promise: f64,
    pub(super) hard_limit: f64,
    pub(super) effect: String,
    #[serde(default)]
    pub(super) aim_stretch: Option<f64>,
    #[serde(default)]
    pub(super) group: Option<String>,
    #[serde(default)]
    pub(super) keep_order: Option<bool>,
    #[serde(default)]
    pub(super) late_worth: Option<f64>,
    #[serde(default)]
    pub(super) bound_to: Option<Vec<String>>,
    #[serde(default)]
    pub(super) areas_only: Option<Vec<String>>,
    #[serde(default)]
    pub(super) dedup_window: Option<f64>,
    #[serde(default)]
    pub(super) credit: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RulesIn {
    pub(super) stop_sending_within: f64,
    pub(super) cold_from: f64,
    pub(super) ramp_time: f64,
    pub(super) fall: f64,
    pub(super) fall_multiple: f64,
    #[serde(default)]
    pub(super) free_resends: Option<f64>,
    #[serde(default)]
    pub(super) further_ratio: Option<f64>,
    #[serde(default)]
    pub(super) ratio_span: Option<f64>,
    #[serde(default)]
    pub(super) key_quiet: Option<f64>,
}
