//! Parsing of events from the simulator's messages.

use super::{
    ArrivalMessage, AttemptFinishedMessage, EndpointListMessage, EndpointLists, EndpointMessage,
    FirstByteMessage, GossipMessage, MessageName, ProbeFinishedMessage, ProgressMessage, RequestMessage,
    Tenant, TimerMessage,
};
use ottercroft::api::{
    Arrival, AttemptFinished, AttemptProgress, Endpoint, EndpointListKind, Event, Outcome, Readiness, Report,
    ReportedCost, RequestId,
};
use ottercroft::settings::{Malformed, Names, bad, body, lookup, micros};

/// Bits of the flags field of an arrival.
const ESTIMATE_IS_VALID: u64 = 1;
const IS_RETRY: u64 = 2;
/// A cost is packed as thread-milliseconds times this, plus memory in units of 4 MB.
const COST_RADIX: u64 = 4096;
const COST_MEMORY_UNIT_MB: f64 = 4.0;
const MILLIS_PER_SECOND: f64 = 1e3;

fn request_id(name: &str, text: &str) -> Result<RequestId, Malformed> {
    match text.len() {
        16 => u64::from_str_radix(text, 16).map_err(|e| bad(name, "call", e)),
        _ => Err(bad(name, "call", format_args!("{text:?} is not 16 hex digits"))),
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

/// Whether an estimate is valid.
fn positive(estimate: &f64) -> bool {
    estimate.is_finite() && *estimate > 0.0
}

fn reported_cost(packed: u64) -> ReportedCost {
    ReportedCost {
        thread_seconds: (packed / COST_RADIX) as f64 / MILLIS_PER_SECOND,
        memory_mb: (packed % COST_RADIX) as f64 * COST_MEMORY_UNIT_MB,
    }
}

fn endpoint(names: &Names, message: &EndpointMessage) -> Result<Endpoint, Malformed> {
    const NAME: &str = "DEFINE_LIST";
    Ok(Endpoint {
        executor: message.executor,
        zone: lookup(&names.zones, NAME, "az", &message.zone)?,
        kind: lookup(&names.kinds, NAME, "shape", &message.kind)?,
        cell: message.cell.unwrap_or(0),
        readiness: match message.readiness.as_str() {
            "active" => Readiness::Active,
            "leaving" => Readiness::Draining,
            "left" => Readiness::Removed,
            other => return Err(bad(NAME, "readiness", format_args!("unknown value {other:?}"))),
        },
        rating: message.rating.unwrap_or(1.0),
        weight: None,
        started: match message.started_s {
            None | Some(0.0) => None,
            Some(started_s) => Some(micros(NAME, "startTime", started_s)?),
        },
    })
}

fn endpoint_list(name: &str, text: &str, names: &Names, lists: &EndpointLists) -> Result<Event, Malformed> {
    let message: EndpointListMessage = body(name, text)?;
    let kind = match message.kind.as_str() {
        "update" => EndpointListKind::Update,
        "replace" => EndpointListKind::Replace,
        "restored" => EndpointListKind::Restored,
        "unavailable" => EndpointListKind::Unavailable,
        other => return Err(bad(name, "form", format_args!("unknown value {other:?}"))),
    };
    if kind == EndpointListKind::Unavailable {
        return Ok(Event::EndpointList { kind, endpoints: Vec::new() });
    }
    let id = message.list.ok_or_else(|| bad(name, "setId", "missing"))?;
    let list = lists.get(&id).ok_or_else(|| bad(name, "setId", format_args!("no list {id}")))?;
    let endpoints = list.iter().map(|message| endpoint(names, message)).collect::<Result<_, _>>()?;
    Ok(Event::EndpointList { kind, endpoints })
}

fn arrival(name: &str, text: &str, names: &Names) -> Result<Event, Malformed> {
    let message: ArrivalMessage = body(name, text)?;
    let flags = message.flags.unwrap_or(0);
    let tenant = match &message.tenant {
        None | Some(Tenant::Number(0)) => None,
        Some(Tenant::Name(tenant)) => Some(lookup(&names.tenants, name, "customer", tenant)?),
        Some(Tenant::Number(number)) => {
            return Err(bad(name, "customer", format_args!("unknown name {number}")));
        }
    };
    Ok(Event::Arrival(Arrival {
        request: request_id(name, &message.request)?,
        class: lookup(&names.classes, name, "profile", &message.class)?,
        tenant,
        key: message.key,
        time_budget: micros(name, "grace", message.time_budget_s)?,
        estimated_thread_seconds: message
            .estimate_s
            .filter(|estimate| flags & ESTIMATE_IS_VALID != 0 && positive(estimate)),
        estimated_memory_mb: message.memory_mb.filter(positive),
        table_group: message.group.unwrap_or(0),
        is_client_retry: flags & IS_RETRY != 0,
        held_by_client: false,
    }))
}

fn attempt_progressed(name: &str, text: &str) -> Result<Option<Event>, Malformed> {
    let message: ProgressMessage = body(name, text)?;
    let progress = match message.kind {
        1 => AttemptProgress::Progress(message.amount),
        2 => AttemptProgress::Spill(message.amount),
        3 => AttemptProgress::Waits,
        _ => return Ok(None),
    };
    Ok(Some(Event::AttemptProgressed {
        request: request_id(name, &message.request)?,
        attempt: message.attempt,
        executor: message.executor,
        progress,
    }))
}

fn attempt_finished(name: &str, text: &str) -> Result<Event, Malformed> {
    let message: AttemptFinishedMessage = body(name, text)?;
    Ok(Event::AttemptFinished(AttemptFinished {
        request: request_id(name, &message.request)?,
        attempt: message.attempt,
        executor: message.executor,
        request_done: message.done,
        outcome: outcome(name, message.outcome)?,
        latency: micros(name, "waitTime", message.latency_s)?,
        reported_cost: message.packed_cost.filter(|packed| *packed > 0).map(reported_cost),
        report: message.report.map(Report::from),
    }))
}

fn probe_finished(name: &str, text: &str) -> Result<Event, Malformed> {
    let message: ProbeFinishedMessage = body(name, text)?;
    Ok(Event::ProbeFinished {
        executor: message.executor,
        outcome: outcome(name, message.outcome)?,
        latency: micros(name, "waitTime", message.latency_s)?,
        report: message.report.map(Report::from),
    })
}

/// Translates a message into an event; `name` is the message's name on the wire. Returns `None` for messages that the
/// library does not use.
pub fn event(
    message: MessageName,
    name: &str,
    text: &str,
    names: &Names,
    lists: &EndpointLists,
) -> Result<Option<Event>, Malformed> {
    Ok(Some(match message {
        MessageName::EndpointList => endpoint_list(name, text, names, lists)?,
        MessageName::Arrival => arrival(name, text, names)?,
        MessageName::FirstByte => {
            let message: FirstByteMessage = body(name, text)?;
            Event::FirstByte { request: request_id(name, &message.request)?, attempt: message.attempt }
        }
        MessageName::AttemptProgressed => return attempt_progressed(name, text),
        MessageName::AttemptFinished => attempt_finished(name, text)?,
        MessageName::Gossip => {
            let message: GossipMessage = body(name, text)?;
            Event::Gossip { from: message.from, content: message.content }
        }
        MessageName::ClientDisconnected => {
            let message: RequestMessage = body(name, text)?;
            Event::ClientDisconnected { request: request_id(name, &message.request)? }
        }
        MessageName::Timer => Event::Timer { token: body::<TimerMessage>(name, text)?.token },
        MessageName::ProbeFinished => probe_finished(name, text)?,
        _ => return Ok(None),
    }))
}
