//! A client's connection.

use super::buffers::{Block, Inbox, Outbox, Pool};
use super::poll::{Key, Poll};
use crate::api::Micros;
use crate::dispatch::{Answer, Request};
use crate::mysql::{self, Command, Error, Server};
use crate::settings::Names;
use crate::statement;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// The largest number that is believed in a field: a budget of eleven days, a petabyte.
const LARGEST: f64 = 1e9;

/// What a client wants that the session can't answer by itself.
#[derive(Debug)]
pub enum Asked {
    /// A request, the name of its class and its statement.
    Request(Request, Rc<str>, Rc<str>),
    /// The request of the connection with this id is to be given up.
    Kill(u32),
    /// It wants to go, or has to.
    Close,
}

/// A client's connection.
pub struct Session {
    stream: TcpStream,
    key: Key,
    /// The connection id that the greeting told.
    pub id: u32,
    server: Server,
    inbox: Inbox,
    outbox: Outbox,
    /// The request that is open.
    pub open: Option<u64>,
    /// When anything last happened on it.
    pub touched: Micros,
    /// Nothing more is read; it closes once all is written.
    pub closing: bool,
    finished: bool,
}

impl Session {
    /// Takes a connection in and greets.
    pub fn new(
        stream: TcpStream,
        poll: &Poll,
        pool: &Pool,
        id: u32,
        scramble: &[u8; 20],
        now: Micros,
    ) -> io::Result<Session> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let key = poll.add(&stream, false)?;
        let (mut server, mut greeting) = (Server::default(), Vec::new());
        server.greet(id, scramble, &mut greeting);
        let mut outbox = Outbox::new(pool);
        outbox.append(&greeting);
        let inbox = Inbox::new(pool);
        Ok(Session {
            stream,
            key,
            id,
            server,
            inbox,
            outbox,
            open: None,
            touched: now,
            closing: false,
            finished: false,
        })
    }

    /// Reads once. False once the client is gone.
    pub fn read(&mut self, now: Micros) -> bool {
        self.touched = now;
        if self.closing {
            let mut waste = [0; 4096];
            return match self.stream.read(&mut waste) {
                Ok(n) => n > 0,
                Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            };
        }
        if self.inbox.full() {
            log::warn!("client {}: sends on without waiting for its answer", self.id);
            return false;
        }
        match self.inbox.fill(&mut self.stream) {
            Ok(n) => n > 0,
            Err(e) => matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// The next thing that the client wants; what the session can answer by itself, it answers.
    pub fn next(&mut self, names: &Names) -> Option<Asked> {
        while self.open.is_none() && !self.closing {
            let (n, asked) = match self.server.next(self.inbox.bytes()) {
                Ok(None) => return None,
                Ok(Some((n, command))) => (n, understand(&command, names)),
                Err(e) => {
                    log::warn!("client {}: {e}", self.id);
                    self.error(&e);
                    self.closing = true;
                    return None;
                }
            };
            self.inbox.consume(n);
            match asked {
                Ok(Meant::Ok) => self.put(|s, out| s.ok(out)),
                Ok(Meant::Values(values)) => {
                    let names: Vec<&str> = values.iter().map(|(n, _)| n.as_str()).collect();
                    self.put(|s, out| {
                        s.columns(&names, out);
                        s.row(values.iter().map(|(_, v)| v.as_bytes()), out);
                        s.end_of_part(out);
                    });
                }
                Ok(Meant::Asked(asked)) => return Some(asked),
                Err(e) => self.error(&e),
            }
        }
        None
    }

    fn put(&mut self, write: impl FnOnce(&mut Server, &mut Vec<u8>)) {
        let mut bytes = Vec::new();
        write(&mut self.server, &mut bytes);
        self.outbox.append(&bytes);
    }

    /// Answers with OK.
    pub fn ok(&mut self) {
        self.put(|s, out| s.ok(out));
    }

    /// Answers with an error.
    pub fn error(&mut self, error: &Error) {
        self.put(|s, out| s.error(error, out));
    }

    /// Gives the open request its final answer.
    pub fn answer(&mut self, answer: &Answer<Vec<Block>>) {
        self.open = None;
        match answer {
            Answer::Refused(ms) => {
                self.error(&Error::new(1203, "42000", format!("refused, try again later: backoff={ms}")));
            }
            Answer::Failed => self.error(&Error::new(1105, "HY000", "failed; whether it ran is not known")),
            Answer::Served(pages) => {
                self.put(|s, out| s.columns(&["c1", "c2", "c3"], out));
                for page in pages {
                    let rows = page.bytes().strip_suffix(b"\n").map(|p| p.split(|b| *b == b'\n'));
                    self.put(|s, out| {
                        rows.into_iter().flatten().for_each(|r| s.row(r.split(|b| *b == b'\t'), out));
                    });
                }
                self.put(|s, out| s.end_of_part(out));
            }
        }
    }

    /// Whether all that was answered is written.
    pub fn flushed(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Writes what can be written. False once the connection is gone.
    pub fn flush(&mut self, poll: &Poll) -> bool {
        let Ok(done) = self.outbox.flush(&mut self.stream) else { return false };
        if done && self.closing && !std::mem::replace(&mut self.finished, true) {
            // The client still gets the last bytes if it was sending: the rest is read and dropped.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        poll.writable(self.key, &self.stream, !done).is_ok()
    }

    /// Closes it.
    pub fn close(self, poll: &Poll) {
        poll.remove(&self.stream);
    }
}

enum Meant {
    Ok,
    Values(Vec<(String, String)>),
    Asked(Asked),
}

fn understand(command: &Command<'_>, names: &Names) -> Result<Meant, Error> {
    match command {
        Command::Login | Command::Ping => Ok(Meant::Ok),
        Command::Quit => Ok(Meant::Asked(Asked::Close)),
        Command::InitDb(name) => mysql::database_known(name).map(|()| Meant::Ok),
        Command::Other(code) => Err(Error::new(1047, "08S01", format!("command {code} is not known"))),
        Command::Query(sql) => query(sql, names),
    }
}

/// A statement: a request if its comment says so, else one of the few that drivers send by themselves.
fn query(sql: &str, names: &Names) -> Result<Meant, Error> {
    let s = statement::split(sql);
    if s.fields.contains_key("method") || s.fields.contains_key("rid") {
        return request(&s, names);
    }
    let text = s.text.trim().trim_end_matches(';').trim_end();
    let words: Vec<&str> = text.split_whitespace().collect();
    let first = words.first().map_or(String::new(), |w| w.to_ascii_lowercase());
    match (first.as_str(), &words[..]) {
        ("kill", [_, rest @ .., id]) if rest.iter().all(|w| w.eq_ignore_ascii_case("query")) => {
            let id = id.parse().map_err(|_| Error::new(1094, "HY000", format!("unknown thread id: {id}")))?;
            Ok(Meant::Asked(Asked::Kill(id)))
        }
        ("set" | "use" | "commit" | "rollback" | "begin" | "start", _) => Ok(Meant::Ok),
        ("select", [_, ..]) if constants(&text[6..]).is_some() => {
            Ok(Meant::Values(constants(&text[6..]).unwrap_or_default()))
        }
        _ => Err(Error::new(1064, "42000", "the comment ahead of the statement lacks method and rid")),
    }
}

/// Values of a SELECT that reads no table: numbers and the variables that drivers ask for.
fn constants(list: &str) -> Option<Vec<(String, String)>> {
    let value = |item: &str| {
        let words: Vec<&str> = item.split_whitespace().collect();
        let (name, shown) = match words[..] {
            [name] => (name, name),
            [name, word, shown] if word.eq_ignore_ascii_case("as") => (name, shown),
            _ => return None,
        };
        let variable =
            name.strip_prefix("@@").map(|v| v.rsplit('.').next().unwrap_or(v).to_ascii_lowercase());
        let value = match variable.as_deref() {
            None => name.parse::<u32>().ok()?.to_string(),
            Some("version_comment") => "ottercroft".into(),
            Some("max_allowed_packet") => mysql::MOST.to_string(),
            Some("autocommit" | "auto_increment_increment") => "1".into(),
            Some("wait_timeout" | "interactive_timeout") => "28800".into(),
            Some("tx_isolation" | "transaction_isolation") => "READ-COMMITTED".into(),
            Some(v) if v.starts_with("character_set") => "utf8mb4".into(),
            Some(v) if v.starts_with("collation") => "utf8mb4_general_ci".into(),
            Some(_) => String::new(),
        };
        Some((shown.to_string(), value))
    };
    let limit = list.to_ascii_lowercase().find(" limit ");
    let list = limit.map_or(list, |n| &list[..n]);
    list.split(',').map(|item| value(item.trim())).collect()
}

fn request(s: &statement::Statement<'_>, names: &Names) -> Result<Meant, Error> {
    let wrong = |field: &str, what: &str| Error::new(1064, "42000", format!("field {field}: {what}"));
    let get = |field: &str| s.fields.get(field).copied();
    let need = |field: &str| get(field).ok_or_else(|| wrong(field, "missing"));
    let hex = |field: &str, text: &str| match text.len() {
        16 if text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)) => {
            u64::from_str_radix(text, 16).map_err(|_| wrong(field, "not 16 hex digits"))
        }
        _ => Err(wrong(field, "not 16 hex digits")),
    };
    let number = |field: &str| {
        let parsed = get(field).map(|t| t.parse::<f64>().ok().filter(|x| (0.0..=LARGEST).contains(x)));
        parsed.map(|x| x.ok_or_else(|| wrong(field, "not a number"))).transpose()
    };
    let method = need("method")?;
    let class = *names.classes.get(method).ok_or_else(|| wrong("method", "unknown class"))?;
    let budget_ms = number("budget")?.ok_or_else(|| wrong("budget", "missing"))?;
    let request = Request {
        id: hex("rid", need("rid")?)?,
        class,
        key: get("obj").map(|t| hex("obj", t)).transpose()?,
        told: (budget_ms * 1e3) as Micros,
        budget: (budget_ms * 1e3) as Micros,
        work_s: number("est")?.map(|ms| ms / 1e3),
        memory_mb: number("space")?,
        group: statement::table_group(s.text).unwrap_or(0),
    };
    Ok(Meant::Asked(Asked::Request(request, method.into(), s.text.into())))
}

/// The clients' connections, by key and by the id that greetings tell.
#[derive(Default)]
pub struct Sessions {
    /// By key at the poller.
    pub by_key: BTreeMap<Key, Session>,
    /// Keys by connection id.
    pub by_id: BTreeMap<u32, Key>,
}

impl Sessions {
    /// Takes one in.
    pub fn insert(&mut self, s: Session) -> Key {
        let key = s.key;
        self.by_id.insert(s.id, key);
        self.by_key.insert(key, s);
        key
    }

    /// Takes one out.
    pub fn remove(&mut self, key: Key) -> Option<Session> {
        let s = self.by_key.remove(&key)?;
        self.by_id.remove(&s.id);
        Some(s)
    }
}
