//! Messages of the simulator's protocol. The protocol's own names appear only in `serde` attributes here, in
//! `wire/message_name.rs` and in `wire/actions.rs`; the code uses this project's terms.

mod actions;
mod events;
mod message_name;

pub use actions::{Reply, reply};
pub use events::event;
pub use message_name::MessageName;
use ottercroft::api::{Micros, Report};
use ottercroft::settings::{Env, Malformed, micros};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Sets the simulated time.
#[derive(Deserialize)]
pub struct SetClock {
    #[serde(rename = "moment")]
    now_s: f64,
}

impl SetClock {
    /// The time in microseconds.
    pub fn now(&self, message: &str) -> Result<Micros, Malformed> {
        micros(message, "moment", self.now_s)
    }
}

/// The part of a message that names the receiving dispatcher.
#[derive(Deserialize)]
pub struct Recipient {
    #[serde(rename = "who")]
    pub dispatcher: String,
}

/// Defines an endpoint list, shared by all dispatchers of the process.
#[derive(Deserialize)]
pub struct DefineList {
    #[serde(rename = "setId")]
    pub list: u64,
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointMessage>,
}

/// An entry of an endpoint list.
#[derive(Deserialize, Clone)]
pub struct EndpointMessage {
    #[serde(rename = "node")]
    executor: u32,
    #[serde(rename = "az")]
    zone: String,
    #[serde(rename = "shape")]
    kind: String,
    #[serde(rename = "unitGroup", default)]
    cell: Option<u64>,
    readiness: String,
    #[serde(default)]
    rating: Option<f64>,
    #[serde(rename = "startTime", default)]
    started_s: Option<f64>,
}

/// Gives a dispatcher an endpoint list, by the list's number.
#[derive(Deserialize)]
struct EndpointListMessage {
    #[serde(rename = "form")]
    kind: String,
    #[serde(rename = "setId", default)]
    list: Option<u64>,
}

/// Starts a dispatcher.
#[derive(Deserialize)]
pub struct StartDispatcher {
    #[serde(rename = "who")]
    pub dispatcher: String,
    #[serde(rename = "entropy")]
    pub seed: u64,
    #[serde(rename = "env")]
    pub settings: Env,
}

/// A tenant's name; the number 0 means no tenant.
#[derive(Deserialize)]
#[serde(untagged)]
enum Tenant {
    Name(String),
    Number(u64),
}

#[derive(Deserialize)]
struct ArrivalMessage {
    #[serde(rename = "call")]
    request: String,
    #[serde(rename = "profile")]
    class: String,
    #[serde(rename = "customer", default)]
    tenant: Option<Tenant>,
    #[serde(rename = "orderKey", default)]
    key: Option<u64>,
    #[serde(rename = "grace")]
    time_budget_s: f64,
    #[serde(rename = "estimate", default)]
    estimate_s: Option<f64>,
    #[serde(rename = "estMemoryMb", default)]
    memory_mb: Option<f64>,
    #[serde(rename = "tables", default)]
    group: Option<u64>,
    #[serde(rename = "stateBits", default)]
    flags: Option<u64>,
}

#[derive(Deserialize)]
struct FirstByteMessage {
    #[serde(rename = "call")]
    request: String,
    #[serde(rename = "go")]
    attempt: u32,
}

#[derive(Deserialize)]
struct ProgressMessage {
    #[serde(rename = "call")]
    request: String,
    #[serde(rename = "topic")]
    kind: u64,
    #[serde(rename = "node")]
    executor: u32,
    #[serde(rename = "go")]
    attempt: u32,
    amount: f64,
}

#[derive(Deserialize)]
struct AttemptFinishedMessage {
    #[serde(rename = "call")]
    request: String,
    #[serde(rename = "node")]
    executor: u32,
    #[serde(rename = "go")]
    attempt: u32,
    #[serde(rename = "doneFlag")]
    done: bool,
    #[serde(rename = "ending")]
    outcome: u64,
    #[serde(rename = "waitTime")]
    latency_s: f64,
    #[serde(rename = "bill", default)]
    packed_cost: Option<u64>,
    #[serde(rename = "stats", default)]
    report: Option<LoadReportMessage>,
}

#[derive(Deserialize)]
struct RequestMessage {
    #[serde(rename = "call")]
    request: String,
}

#[derive(Deserialize)]
struct GossipMessage {
    from: u32,
    content: String,
}

#[derive(Deserialize)]
struct TimerMessage {
    #[serde(rename = "ctx")]
    token: u64,
}

#[derive(Deserialize)]
struct ProbeFinishedMessage {
    #[serde(rename = "node")]
    executor: u32,
    #[serde(rename = "waitTime")]
    latency_s: f64,
    #[serde(rename = "ending")]
    outcome: u64,
    #[serde(rename = "stats", default)]
    report: Option<LoadReportMessage>,
}

#[derive(Deserialize)]
struct LoadReportMessage {
    #[serde(rename = "load_share", default)]
    util: Option<f64>,
    #[serde(rename = "concurrent", default)]
    inflight: Option<f64>,
    #[serde(rename = "depth", default)]
    queue: Option<f64>,
    #[serde(rename = "x0", default)]
    memory: Option<f64>,
    #[serde(rename = "x1", default)]
    disks: Option<f64>,
}

impl From<LoadReportMessage> for Report {
    fn from(message: LoadReportMessage) -> Report {
        let LoadReportMessage { util, inflight, queue, memory, disks } = message;
        Report { util, inflight, queue, memory, disks }
    }
}

/// All defined endpoint lists, by number.
pub type EndpointLists = BTreeMap<u64, Vec<EndpointMessage>>;

#[cfg(test)]
mod tests;
