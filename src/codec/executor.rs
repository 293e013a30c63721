//! The line protocol that executors speak, sans-I/O. It knows neither loop nor decisions.

use std::io::Write;

/// The longest line an executor may send.
const LONGEST_LINE: usize = 1024;
/// The most bytes that may follow an answer: a page is 6,000 at most.
pub const LARGEST_BODY: usize = 8 * 1024;

/// What a request asks of an executor.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms<'a> {
    /// The class.
    pub kind: &'a str,
    /// How long the dispatcher will wait, in milliseconds.
    pub wait_ms: u64,
    /// Memory granted in MB; 0 leaves it to the executor.
    pub memory_mb: f64,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// The token by which repeats are known, if its client gave one.
    pub token: Option<&'a str>,
}

fn line(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    out.write_fmt(text).and_then(|()| out.write_all(b"\r\n")).expect("a Vec takes all that is written");
}

/// `PULL`: a request with its statement.
pub fn pull(out: &mut Vec<u8>, id: u64, terms: &Terms<'_>, statement: &str) {
    let Terms { kind, wait_ms, priority, .. } = terms;
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

/// `KILL`: gives a request up.
pub fn kill(out: &mut Vec<u8>, id: u64) {
    line(out, format_args!("KILL {id:016x}"));
}

/// `BOOST`: a new priority.
pub fn boost(out: &mut Vec<u8>, id: u64, priority: u8) {
    line(out, format_args!("BOOST {id:016x} {priority}"));
}

/// `SCROLL`: asks for a further page.
pub fn scroll(out: &mut Vec<u8>, id: u64, page: u32) {
    line(out, format_args!("SCROLL {id:016x} {page}"));
}

/// `DISCARD`: no more pages are wanted.
pub fn discard(out: &mut Vec<u8>, id: u64) {
    line(out, format_args!("DISCARD {id:016x}"));
}

/// `METER`: a probe that brings a load report.
pub fn meter(out: &mut Vec<u8>, tag: u64) {
    line(out, format_args!("METER p{tag:x}"));
}

/// A load report as executors word it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Queries held.
    pub inflight: Option<f64>,
    /// Share of the cores that is busy.
    pub util: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// First value of the site's own.
    pub x0: Option<f64>,
    /// Second value of the site's own.
    pub x1: Option<f64>,
}

/// Word on a request that is not over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// Share done.
    Done(f64),
    /// Megabytes missing.
    Spills(f64),
    /// It waits.
    Waits,
}

/// An answer under a request's id.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Word {
    /// Page 0 and the number of all pages, if it told a usable one.
    Ok {
        /// All pages.
        pages: Option<u32>,
    },
    /// A further page.
    Rows {
        /// Its number.
        page: Option<u32>,
    },
    /// It never ran.
    Busy,
    /// It may have run.
    Err,
    /// It was over already and never ran.
    Void,
    /// Not yet over.
    Note(Option<Note>),
}

/// What an executor says.
#[derive(Debug, PartialEq)]
pub enum Answer<'a> {
    /// Of a request.
    Request {
        /// The request.
        id: u64,
        /// The word.
        word: Word,
        /// The rows, or what an error says.
        body: &'a [u8],
        /// The executor's load report carried by the answer, where the settings name one (`gauges`).
        gauges: Option<Gauges>,
    },
    /// Of a probe.
    Probe {
        /// As it was sent.
        tag: u64,
        /// `UP`, not `DOWN`.
        up: bool,
        /// The report, if there was one.
        gauges: Option<Gauges>,
    },
}

/// A line that can't be used.
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

/// The next answer and how many bytes it took; `None` while bytes are missing.
pub fn next(input: &[u8]) -> Result<Option<(usize, Answer<'_>)>, Malformed> {
    let Some(end) = input.iter().take(LONGEST_LINE).position(|b| *b == b'\n') else {
        return if input.len() < LONGEST_LINE { Ok(None) } else { Err(bad(input, "no line end")) };
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
                Some(length).filter(|n| *n <= LARGEST_BODY).ok_or_else(|| bad(line, "length"))?.into(),
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
        // A tag of another form is of no probe of ours, as is 0.
        let answer =
            Answer::Probe { tag: tag.unwrap_or(0), up: word == "UP", gauges: field("gauges").map(gauges) };
        return Ok(Some((all, answer)));
    }
    let word = match word {
        // Whether these do is for whoever knows if the id is open: an answer to an unknown one is not judged.
        "OK" => Word::Ok { pages: number("pages").filter(|n| *n > 0) },
        "ROWS" => Word::Rows { page: number("page") },
        "BUSY" => Word::Busy,
        "ERR" => Word::Err,
        "VOID" => Word::Void,
        "NOTE" => {
            let value = field("v").and_then(|v| v.parse::<f64>().ok());
            Word::Note(match (field("res"), value) {
                (Some("done"), Some(v)) => Some(Note::Done(v)),
                (Some("spills"), Some(v)) => Some(Note::Spills(v)),
                (Some("waits"), _) => Some(Note::Waits),
                _ => None,
            })
        }
        _ => return Err(bad(line, "word")),
    };
    let id = u64::from_str_radix(id, 16).map_err(|_| bad(line, "id"))?;
    Ok(Some((all, Answer::Request { id, word, body, gauges: field("gauges").map(gauges) })))
}

/// Whole rows of three columns of text each.
pub fn whole_rows(page: &[u8]) -> bool {
    let text =
        std::str::from_utf8(page).is_ok_and(|t| !t.contains(|c: char| c < ' ' && c != '\t' && c != '\n'));
    let mut rows = page.split(|b| *b == b'\n');
    text && rows.next_back() == Some(&[]) && rows.all(|r| r.iter().filter(|b| **b == b'\t').count() == 2)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn commands_stand_as_the_protocol_has_them() {
        let mut out = Vec::new();
        let terms = Terms { kind: "reporte", wait_ms: 1500, memory_mb: 95.2, priority: 2, token: None };
        pull(&mut out, 0xab, &terms, "SELECT 1");
        pull(&mut out, 0xab, &Terms { memory_mb: 0.0, ..terms }, "");
        kill(&mut out, 1);
        scroll(&mut out, 1, 3);
        let text = String::from_utf8(out).unwrap();
        let expected = "PULL 00000000000000ab kind=reporte,ms=1500,mem=96,prio=2 8\r\nSELECT 1\r\n\
                        PULL 00000000000000ab kind=reporte,ms=1500,prio=2 0\r\n\r\n\
                        KILL 0000000000000001\r\nSCROLL 0000000000000001 3\r\n";
        assert_eq!(text, expected);
    }

    // Bytes come in pieces; a body may hold what looks like a line.
    #[test]
    fn answers_are_read_whole_or_not_at_all() {
        let input = b"00ab OK pages=2 6\r\na\tb\tc\n\r\np1f UP gauges=inflight:7;x1:0.5;new:1 0\r\n\r\n";
        let (n, first) = next(input).unwrap().unwrap();
        assert!((0..n).all(|to| next(&input[..to]).unwrap().is_none()));
        assert_eq!(
            first,
            Answer::Request { id: 0xab, word: Word::Ok { pages: Some(2) }, body: b"a\tb\tc\n", gauges: None }
        );
        let (_, second) = next(&input[n..]).unwrap().unwrap();
        let gauges = Gauges { inflight: Some(7.0), x1: Some(0.5), ..Gauges::default() };
        assert_eq!(second, Answer::Probe { tag: 0x1f, up: true, gauges: Some(gauges) });
        let (_, note) = next(b"1 NOTE res=done,v=0.4 0\r\n\r\n").unwrap().unwrap();
        assert_eq!(
            note,
            Answer::Request { id: 1, word: Word::Note(Some(Note::Done(0.4))), body: b"", gauges: None }
        );
        // Where answers carry load, each one of a request has it as a probe's would.
        let (_, told) = next(b"1 OK pages=1,gauges=inflight:7;util:0.61 0\r\n\r\n").unwrap().unwrap();
        let gauges = Gauges { inflight: Some(7.0), util: Some(0.61), ..Gauges::default() };
        assert!(matches!(told, Answer::Request { gauges: Some(g), .. } if g == gauges));
    }

    // A bad line costs the connection, so each of these has to be told from a line that is not there yet.
    #[test]
    fn bad_lines_are_told_from_short_ones() {
        let long = [b'x'; LONGEST_LINE];
        for line in ["\r\n", "1 WHAT - 0\r\n\r\n", "1 ERR - 999999\r\n", "1 ERR - 1\r\nabc", "1 ERR - 0\n"] {
            assert!(next(line.as_bytes()).is_err(), "{line:?}");
        }
        assert!(next(&long).is_err());
    }
}
