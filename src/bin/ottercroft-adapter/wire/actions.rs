//! Actions as they stand on the wire.

use ottercroft::api::{Action, Micros, RequestId};
use serde::Serialize;

fn seconds(t: Micros) -> f64 {
    t as f64 / 1e6
}

/// An action as it stands on the wire.
#[derive(Serialize)]
pub enum Out<'a> {
    #[serde(rename = "ASSIGN")]
    Assign {
        who: &'a str,
        call: String,
        node: u32,
        #[serde(skip_serializing_if = "Option::is_none")]
        timeout: Option<f64>,
    },
    #[serde(rename = "RECALL")]
    Recall { who: &'a str, call: String, go: u32 },
    #[serde(rename = "REFUSE")]
    Refuse {
        who: &'a str,
        call: String,
        #[serde(rename = "holdOff", skip_serializing_if = "Option::is_none")]
        hold_off: Option<f64>,
    },
    #[serde(rename = "SURRENDER")]
    Surrender { who: &'a str, call: String },
    #[serde(rename = "RESOURCES")]
    Resources {
        who: &'a str,
        call: String,
        #[serde(rename = "memMb")]
        mem_mb: f64,
        prio: u8,
    },
    #[serde(rename = "SOUND_OUT")]
    Probe { who: &'a str, node: u32 },
    #[serde(rename = "TRACK")]
    Track { who: &'a str, enable: bool },
    #[serde(rename = "READ_LIST")]
    ReadList { who: &'a str },
    #[serde(rename = "CLOSE_IDLE")]
    CloseIdle { who: &'a str, node: u32 },
    #[serde(rename = "TELL")]
    Tell { who: &'a str, dest: Option<u32>, content: &'a str },
    #[serde(rename = "WAKE_AT")]
    WakeAt { who: &'a str, ctx: u64, span: f64 },
    #[serde(rename = "DEBUG")]
    Debug { who: &'a str, what: &'a str },
    #[serde(rename = "EXCEPTION")]
    Exception { who: &'a str, what: &'a str },
    #[serde(rename = "ACK")]
    Ack {},
}

/// Translates one action of the instance `who`.
pub fn action<'a>(who: &'a str, action: &'a Action) -> Out<'a> {
    let hex = |q: &RequestId| format!("{q:016x}");
    match action {
        Action::SetTerms { request, memory_mb, priority } => {
            Out::Resources { who, call: hex(request), mem_mb: *memory_mb, prio: *priority }
        }
        Action::Send { request, executor, timeout } => {
            Out::Assign { who, call: hex(request), node: *executor, timeout: timeout.map(seconds) }
        }
        Action::Cancel { request, attempt } => Out::Recall { who, call: hex(request), go: *attempt },
        Action::Reject { request, retry_after, .. } => {
            Out::Refuse { who, call: hex(request), hold_off: retry_after.map(seconds) }
        }
        Action::Fail { request, .. } => Out::Surrender { who, call: hex(request) },
        Action::Probe { executor } => Out::Probe { who, node: *executor },
        Action::Watch => Out::Track { who, enable: true },
        Action::Unwatch => Out::Track { who, enable: false },
        Action::FetchEndpointList => Out::ReadList { who },
        Action::CloseIdle { executor } => Out::CloseIdle { who, node: *executor },
        Action::Gossip { to, content } => Out::Tell { who, dest: *to, content },
        Action::SetTimer { token, after } => Out::WakeAt { who, ctx: *token, span: seconds(*after) },
        Action::Log(what) => Out::Debug { who, what },
    }
}
