//! The wire: messages as they stand on it, and their translation to and from the library's interface.

mod actions;
mod events;

pub use actions::{Out, action};
pub use events::event;
use ottercroft::api::Report;
use ottercroft::settings::Env;
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Deserialize)]
pub struct Round {
    pub moment: f64,
}

#[derive(Deserialize)]
pub struct Who {
    pub who: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DefineList {
    pub set_id: u64,
    pub hosts: Vec<HostIn>,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "camelCase")]
pub struct HostIn {
    node: u32,
    az: String,
    shape: String,
    #[serde(default)]
    unit_group: Option<u64>,
    readiness: String,
    #[serde(default)]
    rating: Option<f64>,
    #[serde(default)]
    start_time: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FleetIn {
    form: String,
    #[serde(default)]
    set_id: Option<u64>,
}

#[derive(Deserialize)]
pub struct Enlist {
    pub who: String,
    pub entropy: u64,
    pub env: Env,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Customer {
    Name(String),
    Number(u64),
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Inbound {
    call: String,
    profile: String,
    #[serde(default)]
    customer: Option<Customer>,
    #[serde(default)]
    order_key: Option<u64>,
    #[serde(rename = "grace")]
    time_budget: f64,
    #[serde(default)]
    estimate: Option<f64>,
    #[serde(default)]
    est_memory_mb: Option<f64>,
    #[serde(default)]
    tables: Option<u64>,
    #[serde(default)]
    state_bits: Option<u64>,
}

#[derive(Deserialize)]
struct AckFirst {
    call: String,
    go: u32,
}

#[derive(Deserialize)]
struct NoticeIn {
    call: String,
    topic: u64,
    node: u32,
    go: u32,
    amount: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ReplyIn {
    call: String,
    node: u32,
    go: u32,
    done_flag: bool,
    ending: u64,
    wait_time: f64,
    #[serde(default)]
    #[serde(rename = "bill")]
    reported_cost: Option<u64>,
    #[serde(default)]
    stats: Option<StatsIn>,
}

#[derive(Deserialize)]
struct Call {
    call: String,
}

#[derive(Deserialize)]
struct Inbox {
    from: u32,
    content: String,
}

#[derive(Deserialize)]
struct Wakeup {
    ctx: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CheckResult {
    node: u32,
    wait_time: f64,
    ending: u64,
    #[serde(default)]
    stats: Option<StatsIn>,
}

#[derive(Deserialize)]
struct StatsIn {
    #[serde(default)]
    load_share: Option<f64>,
    #[serde(default)]
    concurrent: Option<f64>,
    #[serde(default)]
    depth: Option<f64>,
    #[serde(default)]
    x0: Option<f64>,
    #[serde(default)]
    x1: Option<f64>,
}

impl From<StatsIn> for Report {
    fn from(s: StatsIn) -> Report {
        Report { util: s.load_share, inflight: s.concurrent, queue: s.depth, memory: s.x0, disks: s.x1 }
    }
}

/// The lists of the process, by number.
pub type Lists = BTreeMap<u64, Vec<HostIn>>;

#[cfg(test)]
mod tests;
