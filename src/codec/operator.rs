//! The line protocol of the operators' address.
//!
//! A connection carries one call line and one answer, which starts with `+OK` or `-ERR`; `DUMP` is answered with
//! `+OK`, the metrics and a line `.`. Sans-I/O.

pub mod policy;

use std::fmt;

/// The longest line accepted, in bytes, including the line end.
pub const MAX_LINE_BYTES: usize = 256;

/// A call from an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Returns whether this process is ready to serve.
    Health,
    /// Returns the metrics.
    Dump,
    /// Stops sending to the executor with this uid.
    Offline(String),
    /// Allows sending to this executor again.
    Online(String),
    /// Drains clients from this dispatcher.
    Leave,
    /// Accepts clients again.
    Join,
    /// Takes these executors, by uid, out of service for maintenance in an order that the fleet determines.
    Plan(Vec<String>),
    /// Returns the progress of the maintenance plan.
    PlanStatus,
    /// Aborts the plan: no further executor is taken out.
    PlanAbort,
    /// Marks an executor that is out of service or failed as repaired.
    PlanMend(String),
    /// A call on the admission policy of the fleet.
    Policy(policy::PolicyCall),
}

/// Why a line is not a valid call; sent after `-ERR`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// No such call.
    Unknown(String),
    /// A required argument is missing.
    Missing(&'static str),
    /// Too many arguments.
    Extra(&'static str),
    /// Longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// Bytes that are not printable text.
    NotText,
    /// Only white space.
    Empty,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unknown(word) => write!(f, "unknown call {word:?}"),
            Fault::Missing("DRAIN") => write!(f, "DRAIN takes PLAN ID,ID,..., STATUS, ABORT or MEND ID"),
            Fault::Missing("POLICY") => write!(f, "POLICY takes PROPOSE FILE, STATUS, ABORT or BACK"),
            Fault::Missing(call) => write!(f, "{call} takes an executor id"),
            Fault::Extra(call) => write!(f, "too many words for {call}"),
            Fault::TooLong => write!(f, "line longer than {MAX_LINE_BYTES} bytes"),
            Fault::NotText => write!(f, "not text"),
            Fault::Empty => write!(f, "empty line"),
        }
    }
}

/// Decodes one line from fragments of any size.
#[derive(Debug, Default)]
pub struct Decoder {
    pub(crate) line: Vec<u8>,
    done: bool,
}

impl Decoder {
    /// Adds received bytes. Returns the call or fault once the line is complete or too long and ignores all further
    /// input, as a connection carries only one line.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Call, Fault>> {
        if self.done {
            return None;
        }
        let end = bytes.iter().position(|&b| b == b'\n');
        let take = end.map_or(bytes.len(), |i| i + 1);
        if self.line.len() + take > MAX_LINE_BYTES {
            self.done = true;
            return Some(Err(Fault::TooLong));
        }
        self.line.extend_from_slice(&bytes[..take]);
        end.map(|_| {
            self.done = true;
            parse(&self.line)
        })
    }

    /// Whether part of a line has been received.
    pub fn begun(&self) -> bool {
        !self.line.is_empty()
    }
}

/// Parses one line with or without its end (`\n` or `\r\n`). Words are separated by spaces or tabs; call names are
/// case-insensitive.
pub fn parse(line: &[u8]) -> Result<Call, Fault> {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.len() >= MAX_LINE_BYTES {
        return Err(Fault::TooLong);
    }
    if line.iter().any(|&b| !(b == b' ' || b == b'\t' || b.is_ascii_graphic())) {
        return Err(Fault::NotText);
    }
    let text = std::str::from_utf8(line).map_err(|_| Fault::NotText)?;
    let mut words = text.split([' ', '\t']).filter(|w| !w.is_empty());
    let name = words.next().ok_or(Fault::Empty)?.to_ascii_uppercase();
    match name.as_str() {
        "DRAIN" => return drain(words),
        "POLICY" => return policy::parse(words).map(Call::Policy),
        _ => {}
    }
    let (id, more) = (words.next(), words.next().is_some());
    let bare = |call: Call, name: &'static str| match id {
        Some(_) => Err(Fault::Extra(name)),
        None => Ok(call),
    };
    let with_id = |make: fn(String) -> Call, name: &'static str| match (id, more) {
        (None, _) => Err(Fault::Missing(name)),
        (Some(_), true) => Err(Fault::Extra(name)),
        (Some(id), false) => Ok(make(id.to_string())),
    };
    match name.as_str() {
        "HEALTH" => bare(Call::Health, "HEALTH"),
        "DUMP" => bare(Call::Dump, "DUMP"),
        "LEAVE" => bare(Call::Leave, "LEAVE"),
        "JOIN" => bare(Call::Join, "JOIN"),
        "OFFLINE" => with_id(Call::Offline, "OFFLINE"),
        "ONLINE" => with_id(Call::Online, "ONLINE"),
        _ => Err(Fault::Unknown(name.chars().take(32).collect())),
    }
}

/// Parses the arguments of `DRAIN`.
fn drain<'a>(mut words: impl Iterator<Item = &'a str>) -> Result<Call, Fault> {
    let what = words.next().ok_or(Fault::Missing("DRAIN"))?.to_ascii_uppercase();
    let (id, more) = (words.next(), words.next().is_some());
    if more {
        return Err(Fault::Extra("DRAIN"));
    }
    match (what.as_str(), id) {
        ("PLAN", Some(ids)) => {
            let ids: Vec<String> = ids.split(',').map(String::from).collect();
            match ids.iter().any(String::is_empty) {
                true => Err(Fault::Missing("DRAIN PLAN")),
                false => Ok(Call::Plan(ids)),
            }
        }
        ("PLAN", None) => Err(Fault::Missing("DRAIN PLAN")),
        ("MEND", Some(id)) => Ok(Call::PlanMend(id.to_string())),
        ("MEND", None) => Err(Fault::Missing("DRAIN MEND")),
        ("STATUS", None) => Ok(Call::PlanStatus),
        ("ABORT", None) => Ok(Call::PlanAbort),
        ("STATUS" | "ABORT", Some(_)) => Err(Fault::Extra("DRAIN")),
        _ => Err(Fault::Missing("DRAIN")),
    }
}

/// The readiness reported by `HEALTH`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts clients.
    Ready,
    /// `LEAVE` was called without a subsequent `JOIN`.
    Leaving,
    /// SIGTERM was received.
    Stopping,
}

impl Readiness {
    /// The answer to `HEALTH`; positive only when ready.
    pub fn answer(self) -> String {
        match self {
            Readiness::Ready => "+OK ready".into(),
            Readiness::Leaving => "-ERR leaving: not ready".into(),
            Readiness::Stopping => "-ERR stopping: not ready".into(),
        }
    }
}

/// The answer to an invalid line.
pub fn refusal(fault: &Fault) -> String {
    format!("-ERR {fault}")
}
