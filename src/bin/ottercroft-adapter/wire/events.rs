//! Events of an instance, from their messages.

use super::*;
use ottercroft::api::*;
use ottercroft::settings::{Malformed, Names, bad, body, lookup, micros};

fn request(name: &str, call: &str) -> Result<RequestId, Malformed> {
    match call.len() {
        16 => u64::from_str_radix(call, 16).map_err(|e| bad(name, "call", e)),
        _ => Err(bad(name, "call", format_args!("{call:?} is not 16 hex digits"))),
    }
}

fn outcome(name: &str, code: u64) -> Result<Outcome, Malformed> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Rejected,
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotSent,
        other => return Err(bad(name, "ending", format_args!("unknown outcome code {other}"))),
    })
}

fn endpoints(names: &Names, hosts: &[HostIn]) -> Result<Vec<Endpoint>, Malformed> {
    const M: &str = "DEFINE_LIST";
    hosts
        .iter()
        .map(|h| {
            Ok(Endpoint {
                executor: h.node,
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
                "update" => EndpointListKind::Update,
                "replace" => EndpointListKind::Replace,
                "restored" => EndpointListKind::Restored,
                "unavailable" => EndpointListKind::Unavailable,
                other => return Err(bad(name, "form", format_args!("unknown value {other:?}"))),
            };
            let endpoints = match kind {
                EndpointListKind::Unavailable => Vec::new(),
                _ => {
                    let id = f.set_id.ok_or_else(|| bad(name, "setId", "missing"))?;
                    let hosts =
                        lists.get(&id).ok_or_else(|| bad(name, "setId", format_args!("no list {id}")))?;
                    endpoints(names, hosts)?
                }
            };
            Event::EndpointList { kind, endpoints }
        }
        "INBOUND" => {
            let m: Inbound = body(name, text)?;
            let bits = m.state_bits.unwrap_or(0);
            Event::Arrival(Arrival {
                request: request(name, &m.call)?,
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
                time_budget: micros(name, "grace", m.time_budget)?,
                estimated_thread_seconds: m.estimate.filter(|e| bits & 1 != 0 && e.is_finite() && *e > 0.0),
                estimated_memory_mb: m.est_memory_mb.filter(|e| e.is_finite() && *e > 0.0),
                table_group: m.tables.unwrap_or(0),
                is_repeat: bits & 2 != 0,
                held_by_client: false,
            })
        }
        "ACK_FIRST" => {
            let m: AckFirst = body(name, text)?;
            Event::FirstByte { request: request(name, &m.call)?, attempt: m.go }
        }
        "NOTICE" => {
            let m: NoticeIn = body(name, text)?;
            let progress_note = match m.topic {
                1 => AttemptProgress::Progress(m.amount),
                2 => AttemptProgress::Spill(m.amount),
                3 => AttemptProgress::Waits,
                _ => return Ok(None),
            };
            Event::AttemptProgressed {
                request: request(name, &m.call)?,
                attempt: m.go,
                executor: m.node,
                progress_note,
            }
        }
        "REPLY" => {
            let m: ReplyIn = body(name, text)?;
            Event::AttemptFinished(AttemptFinished {
                request: request(name, &m.call)?,
                attempt: m.go,
                executor: m.node,
                request_done: m.done_flag,
                outcome: outcome(name, m.ending)?,
                latency: micros(name, "waitTime", m.wait_time)?,
                reported_cost: m.reported_cost.filter(|b| *b > 0).map(|b| ReportedCost {
                    thread_seconds: (b / 4096) as f64 / 1e3,
                    memory_mb: (b % 4096) as f64 * 4.0,
                }),
                report: m.stats.map(Report::from),
            })
        }
        "INBOX" => {
            let m: Inbox = body(name, text)?;
            Event::Gossip { from: m.from, content: m.content }
        }
        "HANGUP" => {
            let m: Call = body(name, text)?;
            Event::ClientDisconnected { request: request(name, &m.call)? }
        }
        "WAKEUP" => Event::Timer { token: body::<Wakeup>(name, text)?.ctx },
        "CHECK_RESULT" => {
            let m: CheckResult = body(name, text)?;
            Event::ProbeFinished {
                executor: m.node,
                outcome: outcome(name, m.ending)?,
                latency: micros(name, "waitTime", m.wait_time)?,
                report: m.stats.map(Report::from),
            }
        }
        _ => return Ok(None),
    }))
}
