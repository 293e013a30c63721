//! Encodes the commands sent to an executor.

use std::io::Write;

/// The parameters of a request sent to an executor.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestParameters<'a> {
    /// The class.
    pub kind: &'a str,
    /// How long the dispatcher will wait, in milliseconds.
    pub wait_ms: u64,
    /// Memory granted, in MB; 0 leaves the amount to the executor.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// The idempotency key, if the client sent one.
    pub token: Option<&'a str>,
}

fn line(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    out.write_fmt(text).and_then(|()| out.write_all(b"\r\n")).expect("a Vec takes all that is written");
}

/// `PULL`: a request with its statement.
pub fn pull(out: &mut Vec<u8>, id: u64, terms: &RequestParameters<'_>, statement: &str) {
    let RequestParameters { kind, wait_ms, priority, .. } = terms;
    let _ = write!(out, "PULL {id:016x} kind={kind},ms={wait_ms},");
    if let Some(token) = terms.token {
        let _ = write!(out, "token={token},");
    }
    if terms.memory_mb >= 1.0 {
        let _ = write!(out, "mem={:.0},", terms.memory_mb.ceil());
    }
    line(out, format_args!("prio={priority} {}", statement.len()));
    line(out, format_args!("{statement}"));
}

/// `KILL`: cancels a request.
pub fn kill(out: &mut Vec<u8>, id: u64) {
    line(out, format_args!("KILL {id:016x}"));
}

/// `BOOST`: changes the priority of a request.
pub fn boost(out: &mut Vec<u8>, id: u64, priority: u8) {
    line(out, format_args!("BOOST {id:016x} {priority}"));
}

/// `SCROLL`: requests another page.
pub fn scroll(out: &mut Vec<u8>, id: u64, page: u32) {
    line(out, format_args!("SCROLL {id:016x} {page}"));
}

/// `DISCARD`: releases the remaining pages.
pub fn discard(out: &mut Vec<u8>, id: u64) {
    line(out, format_args!("DISCARD {id:016x}"));
}

/// `METER`: a probe, answered with a load report.
pub fn meter(out: &mut Vec<u8>, tag: u64) {
    line(out, format_args!("METER p{tag:x}"));
}
