//! A client's connection.

use super::buffers::{Block, Inbox, Outbox, Pool};
use super::poll::{Key, Poll};
use crate::api::Micros;
use crate::codec::mysql::{self, Command, Error, Server};
use crate::codec::statement;
use crate::dispatch::{Answer, Request};
use crate::settings::Names;
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// The largest number that is believed in a field: a budget of eleven days, a petabyte.
const LARGEST: f64 = 1e9;
/// A client has this long from its connect to bring a first request whole.
const FIRST: Micros = 2_000_000;
/// What came of a message in part has to be whole within this time.
const PART: Micros = 1_500_000;
/// A client that was told to go has this long to read the last bytes, and may send on so much meanwhile.
const LINGER: Micros = 1_000_000;
const WASTE: usize = 256 * 1024;
/// A client that takes nothing off its answer for this long is let go.
const STUCK: Micros = 30_000_000;
/// After an error of its own a client is not read for this long, twice as long after each further one; after
/// so many in a row it has to go.
const PAUSE: Micros = 10_000;
const ERRORS: u32 = 8;

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
    /// When it connected.
    opened: Micros,
    /// Since when its next message has been here in part.
    part_since: Option<Micros>,
    /// Whether it ever brought a request or command whole, beside its login.
    asked: bool,
    /// Errors of its own in a row, and until when it is not read for them.
    errors: u32,
    paused_until: Option<Micros>,
    /// Since when nothing more is taken from it; it closes once all is written and read.
    closing: Option<Micros>,
    waste: usize,
    finished: bool,
    /// Whether it is watched for reading and for writing.
    watched: (bool, bool),
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
            opened: now,
            part_since: None,
            asked: false,
            errors: 0,
            paused_until: None,
            closing: None,
            waste: 0,
            finished: false,
            watched: (true, false),
        })
    }

    /// Reads once. False once the client is gone.
    pub fn read(&mut self, now: Micros) -> bool {
        if self.closing.is_some() {
            let mut waste = [0; 4096];
            return match self.stream.read(&mut waste) {
                Ok(n) => {
                    self.waste += n;
                    n > 0 && self.waste < WASTE
                }
                Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            };
        }
        if self.paused_until.is_some() {
            return true;
        }
        self.touched = now;
        if self.inbox.full() {
            return false;
        }
        match self.inbox.fill(&mut self.stream) {
            Ok(n) => n > 0,
            Err(e) => matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// What a client may not do while its request is open: send another. A farewell is none.
    pub fn overruns(&self) -> bool {
        let bytes = self.inbox.bytes();
        bytes.len() > 5 || (bytes.len() == 5 && !matches!(bytes, [1, 0, 0, _, 1]))
    }

    /// Whether the client said farewell while its request is open.
    pub fn leaves(&self) -> bool {
        self.open.is_some() && matches!(self.inbox.bytes(), [1, 0, 0, _, 1])
    }

    /// Takes nothing more from the client; it goes once it has read what was answered.
    pub fn dismiss(&mut self, error: &Error, now: Micros) {
        self.put(|s, out| s.error(error, out));
        self.closing.get_or_insert(now);
    }

    /// What time does to it: pauses end, and what is owed for too long ends it. False if it has to be closed.
    pub fn tick(&mut self, now: Micros) -> bool {
        if let Some(since) = self.closing {
            return now < since + LINGER;
        }
        if self.paused_until.is_some_and(|t| t <= now) {
            self.paused_until = None;
        }
        if self.open.is_some() {
            return true;
        }
        let late = !self.asked && now > self.opened + FIRST;
        if late || self.part_since.is_some_and(|t| now > t + PART) {
            self.dismiss(&Error::new(1159, "08S01", "no whole request in time"), now);
        }
        self.flushed() || now < self.touched + STUCK
    }

    /// After `LEAVE`: whether it can be let go now. Nothing is open or here in part, and it asked something
    /// already, or had `patience` to.
    pub fn done_with(&self, now: Micros, patience: Micros) -> bool {
        let rests = self.open.is_none() && self.closing.is_none() && self.inbox.bytes().is_empty();
        rests && (self.asked || now > self.opened + patience)
    }

    /// Takes nothing more from the client, without a word: it closes once what was answered is written.
    pub fn finish(&mut self, now: Micros) {
        self.closing.get_or_insert(now);
    }

    /// Whether it was told to go.
    pub fn dismissed(&self) -> bool {
        self.closing.is_some()
    }

    /// Whether it is not read for a while.
    pub fn paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Whether it could be closed to make room, and how dear it is: first those told to go, then those that said
    /// nothing for `patience`, then those longest idle. Never one with anything open, unwritten or unread.
    pub fn spare(&self, now: Micros, patience: Micros) -> Option<(u8, Micros)> {
        let rests = self.open.is_none() && self.flushed();
        if let Some(since) = self.closing.filter(|t| rests && now > *t + patience) {
            return Some((0, since));
        }
        let quiet = rests && self.inbox.bytes().is_empty() && self.paused_until.is_none();
        let silent = !self.asked && now > self.opened + patience;
        let unread =
            || !matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        let spare = quiet && self.closing.is_none() && (self.asked || silent) && !unread();
        spare.then_some((1 + u8::from(self.asked), self.touched))
    }

    /// The next thing that the client wants; what the session can answer by itself, it answers.
    pub fn next(&mut self, names: &Names, now: Micros) -> Option<Asked> {
        while self.open.is_none() && self.closing.is_none() && self.paused_until.is_none() {
            let (n, login, asked) = match self.server.next(self.inbox.bytes()) {
                Ok(None) => {
                    let part = !self.inbox.bytes().is_empty();
                    self.part_since = part.then(|| self.part_since.unwrap_or(now));
                    return None;
                }
                Ok(Some((n, command))) => (n, command == Command::Login, understand(&command, names)),
                Err(e) => {
                    tracing::info!(client = self.id, error = %e, "client closed");
                    self.dismiss(&e, now);
                    return None;
                }
            };
            self.inbox.consume(n);
            self.part_since = None;
            self.asked |= !login;
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
                Err(e) => self.at_fault(&e, now),
            }
        }
        None
    }

    /// Answers a mistake of the client's at once, and reads on only after a pause: some repeat it for ever.
    pub fn at_fault(&mut self, error: &Error, now: Micros) {
        self.errors += 1;
        if self.errors >= ERRORS {
            return self.dismiss(error, now);
        }
        self.error(error);
        self.paused_until = Some(now + (PAUSE << self.errors));
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
        (self.open, self.errors) = (None, 0);
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
        if done && self.closing.is_some() && !std::mem::replace(&mut self.finished, true) {
            // The client still gets the last bytes if it was sending: the rest is read and dropped.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        let watched = (self.paused_until.is_none(), !done);
        let same = std::mem::replace(&mut self.watched, watched) == watched;
        same || poll.interest(self.key, &self.stream, watched.0, watched.1).is_ok()
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

/// Values of a SELECT that reads no table: the variables that drivers ask for, and nothing else. A number would
/// look like a result that no executor made.
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
            None => return None,
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
        // Ours, and optional: one that can't be read is none, as for a dispatcher that does not know it.
        ask: get("ask").and_then(|t| hex("ask", t).ok()),
        class,
        // A tenant the settings do not name is counted as none: its shares are not known.
        tenant: get("acct").and_then(|t| names.tenants.get(t).copied()),
        key: get("obj").map(|t| hex("obj", t)).transpose()?,
        told: (budget_ms * 1e3) as Micros,
        budget: (budget_ms * 1e3) as Micros,
        work_s: number("est")?.map(|ms| ms / 1e3),
        memory_mb: number("space")?,
        group: statement::table_group(s.text).unwrap_or(0),
        repeated: number("try")?.is_some_and(|n| n > 1.0),
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

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        let map = |n: &[&str]| n.iter().enumerate().map(|(i, s)| (s.to_string(), i)).collect();
        Names { classes: map(&["lookup"]), tenants: map(&["mart", "cafe"]), zones: map(&[]), kinds: map(&[]) }
    }

    fn tenant(fields: &str) -> Option<usize> {
        let sql = format!("/* method=lookup,rid=9b1f03aa5c7e2d41,budget=1500{fields} */ SELECT a FROM s_1.t");
        match query(&sql, &names()) {
            Ok(Meant::Asked(Asked::Request(r, ..))) => r.tenant,
            _ => panic!("not a request"),
        }
    }

    // Shares are per tenant, and the decisions can only keep them where the network passes `acct` on: it was
    // read nowhere, so a site with shares had every request counted as nobody's.
    #[test]
    fn the_tenant_a_request_names_is_passed_on() {
        assert_eq!(tenant(",acct=cafe"), Some(1));
        assert_eq!(tenant(",acct=mart"), Some(0));
        assert_eq!(tenant(",acct=nobody"), None);
        assert_eq!(tenant(""), None);
    }
}
