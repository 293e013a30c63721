//! Decodes the answers of an executor.

use super::{MAX_BODY_BYTES, MAX_LINE_BYTES};

/// A load report in the executors' own fields.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Requests held.
    pub inflight: Option<f64>,
    /// Share of the cores that is busy.
    pub util: Option<f64>,
    /// Requests waiting for memory.
    pub queue: Option<f64>,
    /// First site-specific value.
    pub x0: Option<f64>,
    /// Second site-specific value.
    pub x1: Option<f64>,
}

/// Progress of a request that is still open.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Progress {
    /// Completed share, 0 to 1.
    Done(f64),
    /// Memory missing, in MB; the request spills to disk.
    Spills(f64),
    /// The request is waiting.
    Waits,
}

/// The kind of an answer to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerKind {
    /// Page 0 with the total number of pages, if that was valid.
    Ok {
        /// Total number of pages.
        pages: Option<u32>,
    },
    /// A further page.
    Rows {
        /// Its number.
        page: Option<u32>,
    },
    /// Rejected before execution.
    Busy,
    /// Failed; it may have been executed.
    Err,
    /// The request was already over and never ran.
    Void,
    /// A progress report.
    Progress(Option<Progress>),
}

/// An answer from an executor.
#[derive(Debug, PartialEq)]
pub enum Answer<'a> {
    /// An answer to a request.
    Request {
        /// The request.
        id: u64,
        /// Kind of answer.
        kind: AnswerKind,
        /// The rows or the error text.
        body: &'a [u8],
        /// The executor's load report, if the answer carries one (`gauges`).
        gauges: Option<Gauges>,
    },
    /// An answer to a probe.
    Probe {
        /// The tag sent with the probe.
        tag: u64,
        /// `UP`, not `DOWN`.
        up: bool,
        /// The load report, if any.
        gauges: Option<Gauges>,
    },
}

/// A line that violates the protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

fn bad(line: &[u8], what: &str) -> Malformed {
    let shown = String::from_utf8_lossy(&line[..line.len().min(120)]).into_owned();
    Malformed(format!("{what} in {shown:?}"))
}

fn gauges(text: &str) -> Gauges {
    let mut g = Gauges::default();
    for (name, value) in text.split(';').filter_map(|p| p.split_once(':')) {
        let value = value.parse().ok();
        match name {
            "inflight" | "concurrent" => g.inflight = value,
            "util" | "load_share" => g.util = value,
            "queue" | "depth" => g.queue = value,
            "x0" => g.x0 = value,
            "x1" => g.x1 = value,
            _ => {}
        }
    }
    g
}

/// The next answer and its length in bytes; `None` while it is incomplete.
pub fn next(input: &[u8]) -> Result<Option<(usize, Answer<'_>)>, Malformed> {
    let Some(end) = input.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
        return if input.len() < MAX_LINE_BYTES { Ok(None) } else { Err(bad(input, "no line end")) };
    };
    let line = &input[..end];
    let text = line.strip_suffix(b"\r").and_then(|l| std::str::from_utf8(l).ok());
    let words: Vec<&str> = text.ok_or_else(|| bad(line, "no text line"))?.split(' ').collect();
    let (id, word, fields, length) = match words[..] {
        [id, word, fields] => (id, word, fields, None),
        [id, word, fields, length] => {
            let length: usize = length.parse().map_err(|_| bad(line, "length"))?;
            (
                id,
                word,
                fields,
                Some(length).filter(|n| *n <= MAX_BODY_BYTES).ok_or_else(|| bad(line, "length"))?.into(),
            )
        }
        _ => return Err(bad(line, "number of words")),
    };
    let (from, to) = (end + 1, end + 1 + length.unwrap_or(0));
    let all = if length.is_some() { to + 2 } else { to };
    if input.len() < all {
        return Ok(None);
    }
    if length.is_some() && &input[to..all] != b"\r\n" {
        return Err(bad(line, "no line end after the body"));
    }
    let body = &input[from..to];
    let field = |name: &str| fields.split(',').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name);
    let field = |name: &str| field(name).map(|(_, v)| v);
    let number = |name: &str| field(name).and_then(|v| v.parse::<u32>().ok());
    if let "UP" | "DOWN" = word {
        let tag = id.strip_prefix('p').and_then(|t| u64::from_str_radix(t, 16).ok());
        // This dispatcher sends no tag of another form and never 0.
        let answer =
            Answer::Probe { tag: tag.unwrap_or(0), up: word == "UP", gauges: field("gauges").map(gauges) };
        return Ok(Some((all, answer)));
    }
    let kind = match word {
        // Page numbers are validated by the caller, which knows whether the id is open; answers to unknown ids are not
        // validated.
        "OK" => AnswerKind::Ok { pages: number("pages").filter(|n| *n > 0) },
        "ROWS" => AnswerKind::Rows { page: number("page") },
        "BUSY" => AnswerKind::Busy,
        "ERR" => AnswerKind::Err,
        "VOID" => AnswerKind::Void,
        "NOTE" => {
            let value = field("v").and_then(|v| v.parse::<f64>().ok());
            AnswerKind::Progress(match (field("res"), value) {
                (Some("done"), Some(v)) => Some(Progress::Done(v)),
                (Some("spills"), Some(v)) => Some(Progress::Spills(v)),
                (Some("waits"), _) => Some(Progress::Waits),
                _ => None,
            })
        }
        _ => return Err(bad(line, "word")),
    };
    let id = u64::from_str_radix(id, 16).map_err(|_| bad(line, "id"))?;
    Ok(Some((all, Answer::Request { id, kind, body, gauges: field("gauges").map(gauges) })))
}

/// Whether a page consists of complete rows of three text columns each.
pub fn is_complete_page(page: &[u8]) -> bool {
    let text =
        std::str::from_utf8(page).is_ok_and(|t| !t.contains(|c: char| c < ' ' && c != '\t' && c != '\n'));
    let mut rows = page.split(|b| *b == b'\n');
    text && rows.next_back() == Some(&[]) && rows.all(|r| r.iter().filter(|b| **b == b'\t').count() == 2)
}
