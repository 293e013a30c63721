//! The wire: messages as they stand on it, and their translation to and from the library's interface.

use ottercroft::api::*;
use ottercroft::settings::{Env, Malformed, Names, bad, body, lookup, micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

fn seconds(t: Micros) -> f64 {
    t as f64 / 1e6
}

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
    grace: f64,
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
    bill: Option<u64>,
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

fn query(name: &str, call: &str) -> Result<QueryId, Malformed> {
    match call.len() {
        16 => u64::from_str_radix(call, 16).map_err(|e| bad(name, "call", e)),
        _ => Err(bad(name, "call", format_args!("{call:?} is not 16 hex digits"))),
    }
}

fn outcome(name: &str, code: u64) -> Result<Outcome, Malformed> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Full,
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::Moot,
        other => return Err(bad(name, "ending", format_args!("unknown outcome code {other}"))),
    })
}

/// The lists of the process, by number.
pub type Lists = BTreeMap<u64, Vec<HostIn>>;

fn entries(names: &Names, hosts: &[HostIn]) -> Result<Vec<Entry>, Malformed> {
    const M: &str = "DEFINE_LIST";
    hosts
        .iter()
        .map(|h| {
            Ok(Entry {
                engine: h.node,
                zone: lookup(&names.zones, M, "az", &h.az)?,
                kind: lookup(&names.kinds, M, "shape", &h.shape)?,
                cell: h.unit_group.unwrap_or(0),
                readiness: match h.readiness.as_str() {
                    "active" => Readiness::Active,
                    "leaving" => Readiness::Leaving,
                    "left" => Readiness::Left,
                    other => return Err(bad(M, "readiness", format_args!("unknown value {other:?}"))),
                },
                rating: h.rating.unwrap_or(1.0),
                weight: None,
                started: match h.start_time {
                    None | Some(0.0) => None,
                    Some(s) => Some(micros(M, "startTime", s)?),
                },
            })
        })
        .collect()
}

/// Translates one event of an instance. `None`: an event that this wire has and the library does not need,
/// or one that is not known.
pub fn event(name: &str, text: &str, names: &Names, lists: &Lists) -> Result<Option<Event>, Malformed> {
    Ok(Some(match name {
        "FLEET" => {
            let f: FleetIn = body(name, text)?;
            let kind = match f.form.as_str() {
                "update" => ListKind::Update,
                "replace" => ListKind::Replace,
                "restored" => ListKind::Restored,
                "unavailable" => ListKind::Unavailable,
                other => return Err(bad(name, "form", format_args!("unknown value {other:?}"))),
            };
            let entries = match kind {
                ListKind::Unavailable => Vec::new(),
                _ => {
                    let id = f.set_id.ok_or_else(|| bad(name, "setId", "missing"))?;
                    let hosts =
                        lists.get(&id).ok_or_else(|| bad(name, "setId", format_args!("no list {id}")))?;
                    entries(names, hosts)?
                }
            };
            Event::List { kind, entries }
        }
        "INBOUND" => {
            let m: Inbound = body(name, text)?;
            let bits = m.state_bits.unwrap_or(0);
            Event::Arrival(Arrival {
                query: query(name, &m.call)?,
                class: lookup(&names.classes, name, "profile", &m.profile)?,
                tenant: match &m.customer {
                    None => None,
                    Some(Customer::Name(n)) => Some(lookup(&names.tenants, name, "customer", n)?),
                    Some(Customer::Number(0)) => None,
                    Some(Customer::Number(n)) => {
                        return Err(bad(name, "customer", format_args!("unknown name {n}")));
                    }
                },
                key: m.order_key,
                grace: micros(name, "grace", m.grace)?,
                estimate_s: m.estimate.filter(|e| bits & 1 != 0 && e.is_finite() && *e > 0.0),
                memory_mb: m.est_memory_mb.filter(|e| e.is_finite() && *e > 0.0),
                group: m.tables.unwrap_or(0),
                repeated: bits & 2 != 0,
            })
        }
        "ACK_FIRST" => {
            let m: AckFirst = body(name, text)?;
            Event::FirstByte { query: query(name, &m.call)?, attempt: m.go }
        }
        "NOTICE" => {
            let m: NoticeIn = body(name, text)?;
            let note = match m.topic {
                1 => Note::Progress(m.amount),
                2 => Note::Spill(m.amount),
                3 => Note::Waits,
                _ => return Ok(None),
            };
            Event::Noted { query: query(name, &m.call)?, attempt: m.go, engine: m.node, note }
        }
        "REPLY" => {
            let m: ReplyIn = body(name, text)?;
            Event::Finished(Finished {
                query: query(name, &m.call)?,
                attempt: m.go,
                engine: m.node,
                done: m.done_flag,
                outcome: outcome(name, m.ending)?,
                latency: micros(name, "waitTime", m.wait_time)?,
                bill: m
                    .bill
                    .filter(|b| *b > 0)
                    .map(|b| Bill { work_s: (b / 4096) as f64 / 1e3, memory_mb: (b % 4096) as f64 * 4.0 }),
                report: m.stats.map(Report::from),
            })
        }
        "INBOX" => {
            let m: Inbox = body(name, text)?;
            Event::Told { from: m.from, content: m.content }
        }
        "HANGUP" => {
            let m: Call = body(name, text)?;
            Event::HungUp { query: query(name, &m.call)? }
        }
        "WAKEUP" => Event::Timer { token: body::<Wakeup>(name, text)?.ctx },
        "CHECK_RESULT" => {
            let m: CheckResult = body(name, text)?;
            Event::Probed {
                engine: m.node,
                outcome: outcome(name, m.ending)?,
                latency: micros(name, "waitTime", m.wait_time)?,
                report: m.stats.map(Report::from),
            }
        }
        _ => return Ok(None),
    }))
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
    let hex = |q: &QueryId| format!("{q:016x}");
    match action {
        Action::Terms { query, memory_mb, priority } => {
            Out::Resources { who, call: hex(query), mem_mb: *memory_mb, prio: *priority }
        }
        Action::Send { query, engine, timeout } => {
            Out::Assign { who, call: hex(query), node: *engine, timeout: timeout.map(seconds) }
        }
        Action::Cancel { query, attempt } => Out::Recall { who, call: hex(query), go: *attempt },
        Action::Refuse { query, retry_after } => {
            Out::Refuse { who, call: hex(query), hold_off: retry_after.map(seconds) }
        }
        Action::Fail { query } => Out::Surrender { who, call: hex(query) },
        Action::Probe { engine } => Out::Probe { who, node: *engine },
        Action::Watch => Out::Track { who, enable: true },
        Action::Unwatch => Out::Track { who, enable: false },
        Action::ReadList => Out::ReadList { who },
        Action::CloseIdle { engine } => Out::CloseIdle { who, node: *engine },
        Action::Tell { to, content } => Out::Tell { who, dest: *to, content },
        Action::Wake { token, after } => Out::WakeAt { who, ctx: *token, span: seconds(*after) },
        Action::Log(what) => Out::Debug { who, what },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn actions_that_no_decision_uses_yet_stand_on_the_wire_as_it_has_them() {
        let text = |a: Action| serde_json::to_string(&action("gateway/1", &a)).unwrap();
        assert_eq!(text(Action::ReadList), r#"{"READ_LIST":{"who":"gateway/1"}}"#);
        assert_eq!(text(Action::Unwatch), r#"{"TRACK":{"who":"gateway/1","enable":false}}"#);
        let close = Action::CloseIdle { engine: 7 };
        assert_eq!(text(close), r#"{"CLOSE_IDLE":{"who":"gateway/1","node":7}}"#);
        let tell = Action::Tell { to: None, content: "hi".into() };
        assert_eq!(text(tell), r#"{"TELL":{"who":"gateway/1","dest":null,"content":"hi"}}"#);
    }
}
