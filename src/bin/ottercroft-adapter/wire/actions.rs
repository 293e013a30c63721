//! Serialization of actions in the simulator's protocol.

use ottercroft::api::{Action, ExecutorId, Micros, RequestId};
use serde::Serialize;

const MICROS_PER_SECOND: f64 = 1e6;

fn seconds(span: Micros) -> f64 {
    span as f64 / MICROS_PER_SECOND
}

fn hex(request: &RequestId) -> String {
    format!("{request:016x}")
}

/// A reply on the wire; `dispatcher` names the sender.
#[derive(Serialize)]
pub enum Reply<'a> {
    #[serde(rename = "ASSIGN")]
    Send {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "node")]
        executor: ExecutorId,
        #[serde(rename = "timeout", skip_serializing_if = "Option::is_none")]
        timeout_s: Option<f64>,
    },
    #[serde(rename = "RECALL")]
    Cancel {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "go")]
        attempt: u32,
    },
    #[serde(rename = "REFUSE")]
    Reject {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "holdOff", skip_serializing_if = "Option::is_none")]
        retry_after_s: Option<f64>,
    },
    #[serde(rename = "SURRENDER")]
    Fail {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "call")]
        request: String,
    },
    #[serde(rename = "RESOURCES")]
    SetTerms {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "call")]
        request: String,
        #[serde(rename = "memMb")]
        memory_mb: f64,
        #[serde(rename = "prio")]
        priority: u8,
    },
    #[serde(rename = "SOUND_OUT")]
    Probe {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "node")]
        executor: ExecutorId,
    },
    #[serde(rename = "TRACK")]
    Watch {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        enable: bool,
    },
    #[serde(rename = "READ_LIST")]
    FetchEndpointList {
        #[serde(rename = "who")]
        dispatcher: &'a str,
    },
    #[serde(rename = "CLOSE_IDLE")]
    CloseIdle {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "node")]
        executor: ExecutorId,
    },
    #[serde(rename = "TELL")]
    Gossip {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "dest")]
        to: Option<u32>,
        content: &'a str,
    },
    #[serde(rename = "WAKE_AT")]
    SetTimer {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "ctx")]
        token: u64,
        #[serde(rename = "span")]
        after_s: f64,
    },
    #[serde(rename = "DEBUG")]
    Log {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "what")]
        line: &'a str,
    },
    #[serde(rename = "EXCEPTION")]
    Error {
        #[serde(rename = "who")]
        dispatcher: &'a str,
        #[serde(rename = "what")]
        error: &'a str,
    },
    #[serde(rename = "ACK")]
    BatchDone {},
}

/// Translates an action of a dispatcher into a reply.
pub fn reply<'a>(dispatcher: &'a str, action: &'a Action) -> Reply<'a> {
    match action {
        Action::SetTerms { request, memory_mb, priority } => {
            Reply::SetTerms { dispatcher, request: hex(request), memory_mb: *memory_mb, priority: *priority }
        }
        Action::Send { request, executor, timeout } => Reply::Send {
            dispatcher,
            request: hex(request),
            executor: *executor,
            timeout_s: timeout.map(seconds),
        },
        Action::Cancel { request, attempt } => {
            Reply::Cancel { dispatcher, request: hex(request), attempt: *attempt }
        }
        Action::Reject { request, retry_after, .. } => {
            Reply::Reject { dispatcher, request: hex(request), retry_after_s: retry_after.map(seconds) }
        }
        Action::Fail { request, .. } => Reply::Fail { dispatcher, request: hex(request) },
        Action::Probe { executor } => Reply::Probe { dispatcher, executor: *executor },
        Action::Watch => Reply::Watch { dispatcher, enable: true },
        Action::Unwatch => Reply::Watch { dispatcher, enable: false },
        Action::FetchEndpointList => Reply::FetchEndpointList { dispatcher },
        Action::CloseIdle { executor } => Reply::CloseIdle { dispatcher, executor: *executor },
        Action::Gossip { to, content } => Reply::Gossip { dispatcher, to: *to, content },
        Action::SetTimer { token, after } => {
            Reply::SetTimer { dispatcher, token: *token, after_s: seconds(*after) }
        }
        Action::Log(line) => Reply::Log { dispatcher, line },
    }
}
