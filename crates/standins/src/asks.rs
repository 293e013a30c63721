//! Clients that remember what they asked and what they got, and an operator's line.

use crate::scripted::{Client, Got};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

/// No test waits longer than this unless something hangs.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// One request of a client, and what it got; nothing as long as it waits.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its id.
    pub rid: u64,
    /// Which dispatcher was asked.
    pub at: usize,
    /// When.
    pub asked: SystemTime,
    /// What it got.
    pub got: Option<Answer>,
}

/// What a client got, as far as tests look at it.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Rows.
    Rows,
    /// Refused, with this text.
    Refused(String),
    /// Something else.
    Other(String),
}

/// The table that only this request names.
pub fn table(rid: u64) -> String {
    format!("sales_{}.t{rid}x", rid % 7)
}

/// Asks once: the request, with what it got.
pub fn ask(at: usize, to: SocketAddr, asks: &Mutex<Vec<Ask>>) -> Ask {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let rid = NEXT.fetch_add(1, Ordering::SeqCst);
    let sql = format!(
        "/* method=read,rid={rid:016x},budget=15000,est=20.0,space=9 */ SELECT a FROM {}",
        table(rid)
    );
    let place = {
        let mut asks = asks.lock().unwrap();
        asks.push(Ask { rid, at, asked: SystemTime::now(), got: None });
        asks.len() - 1
    };
    let got = Client::dials(to, &sql, Duration::from_secs(1), PATIENCE).and_then(|mut c| match c.got() {
        Got::Closed => None,
        Got::Rows(_) => Some(Answer::Rows),
        Got::Error(1203, text) => Some(Answer::Refused(text)),
        other => Some(Answer::Other(format!("{other:?}"))),
    });
    let mut asks = asks.lock().unwrap();
    asks[place].got = got;
    asks[place].clone()
}

/// One line at an operators' address; its answer, empty if the connection ended without one.
pub fn call(at: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    let mut from = BufReader::new(stream);
    let _ = from.read_line(&mut answer);
    let _ = from.read_to_string(&mut answer);
    answer
}
