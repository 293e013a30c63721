//! The server's side of the MySQL client protocol 4.1, sans-I/O: bytes in, requests out, and the reverse.
//!
//! No encryption, no compression, an empty password, EOF packets. It knows neither loop nor decisions.

use std::fmt;

/// The most that the body of one packet from a client may hold.
pub const MOST: usize = 15 * 1024;
const VERSION: &str = "8.0.0-ottercroft";
const PLUGIN: &str = "mysql_native_password";
const USER: &str = "app";
const DATABASE: &str = "main";
/// Long password, long flag, connect with database, protocol 4.1, transactions, secure connection, plugin auth.
const CAPABILITIES: u32 = 0x1 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x8_0000;
const UTF8MB4: u8 = 45;
const AUTOCOMMIT: u16 = 2;

/// An error as a client gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// MySQL's number.
    pub code: u16,
    /// MySQL's state, five characters.
    pub state: &'static str,
    /// For people, and for `backoff=`.
    pub text: String,
}

impl Error {
    /// An error with its number and state.
    pub fn new(code: u16, state: &'static str, text: impl Into<String>) -> Error {
        Error { code, state, text: text.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.state, self.text)
    }
}

impl std::error::Error for Error {}

/// What a client asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// It logged in.
    Login,
    /// COM_QUERY.
    Query(&'a str),
    /// COM_PING.
    Ping,
    /// COM_INIT_DB.
    InitDb(&'a [u8]),
    /// COM_QUIT.
    Quit,
    /// Any other command.
    Other(u8),
}

/// One client's conversation.
#[derive(Debug, Default)]
pub struct Server {
    logged_in: bool,
    sequence: u8,
}

/// A packet's header with its body's place; `None` while bytes are missing.
fn packet(input: &[u8]) -> Result<Option<(u8, &[u8])>, Error> {
    let Some(head) = input.get(..4) else { return Ok(None) };
    let length = usize::from(head[0]) | usize::from(head[1]) << 8 | usize::from(head[2]) << 16;
    if length > MOST {
        return Err(Error::new(1153, "08S01", format!("packet of {length} bytes, {MOST} at most")));
    }
    Ok(input.get(4..4 + length).map(|body| (head[3], body)))
}

fn malformed(what: &str) -> Error {
    Error::new(1835, "HY000", format!("malformed packet: {what}"))
}

/// Reads from the front of a body.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], Error> {
        let (front, rest) = self.0.split_at_checked(n).ok_or_else(|| malformed(what))?;
        self.0 = rest;
        Ok(front)
    }

    fn until_nul(&mut self, what: &str) -> Result<&'a [u8], Error> {
        let n = self.0.iter().position(|b| *b == 0).ok_or_else(|| malformed(what))?;
        let text = self.take(n, what)?;
        self.take(1, what)?;
        Ok(text)
    }
}

impl Server {
    /// The greeting, with the connection's id; it is the first thing written.
    pub fn greet(&mut self, id: u32, scramble: &[u8; 20], out: &mut Vec<u8>) {
        self.sequence = 0;
        self.put(out, |b| {
            b.push(10);
            b.extend_from_slice(VERSION.as_bytes());
            b.push(0);
            b.extend_from_slice(&id.to_le_bytes());
            b.extend_from_slice(&scramble[..8]);
            b.push(0);
            b.extend_from_slice(&CAPABILITIES.to_le_bytes()[..2]);
            b.push(UTF8MB4);
            b.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
            b.extend_from_slice(&CAPABILITIES.to_le_bytes()[2..]);
            b.push(21);
            b.extend_from_slice(&[0; 10]);
            b.extend_from_slice(&scramble[8..]);
            b.push(0);
            b.extend_from_slice(PLUGIN.as_bytes());
            b.push(0);
        });
    }

    /// The next command and how many bytes it took; `None` while bytes are missing. After an error nothing
    /// more can be read.
    pub fn next<'a>(&mut self, input: &'a [u8]) -> Result<Option<(usize, Command<'a>)>, Error> {
        let Some((sequence, body)) =
            packet(input).inspect_err(|_| self.sequence = input[3].wrapping_add(1))?
        else {
            return Ok(None);
        };
        self.sequence = sequence.wrapping_add(1);
        let command = if self.logged_in { Self::command(body)? } else { self.login(body)? };
        Ok(Some((4 + body.len(), command)))
    }

    fn command(body: &[u8]) -> Result<Command<'_>, Error> {
        let (code, rest) = body.split_first().ok_or_else(|| malformed("no command"))?;
        Ok(match code {
            1 => Command::Quit,
            2 => Command::InitDb(rest),
            3 => Command::Query(std::str::from_utf8(rest).map_err(|_| malformed("statement is not UTF-8"))?),
            14 => Command::Ping,
            other => Command::Other(*other),
        })
    }

    fn login(&mut self, body: &[u8]) -> Result<Command<'static>, Error> {
        let mut r = Reader(body);
        let capabilities = r.take(4, "login capabilities")?;
        let capabilities =
            u32::from_le_bytes([capabilities[0], capabilities[1], capabilities[2], capabilities[3]]);
        let has = |bit: u32| capabilities & bit != 0;
        if !has(0x200) {
            return Err(Error::new(1043, "08S01", "this server speaks protocol 4.1"));
        }
        if has(0x800) {
            return Err(Error::new(1043, "08S01", "this server speaks no TLS"));
        }
        r.take(28, "login header")?;
        let user = r.until_nul("user name")?;
        let password = if has(0x20_0000) || has(0x8000) {
            let n = r.take(1, "length of the password")?[0];
            r.take(usize::from(n), "password")?
        } else {
            r.until_nul("password")?
        };
        if user != USER.as_bytes() || !password.is_empty() {
            let user = String::from_utf8_lossy(user);
            return Err(Error::new(1045, "28000", format!("access denied for user '{user}'")));
        }
        if has(0x8) {
            let database = match r.0.contains(&0) {
                true => r.until_nul("database")?,
                false => r.0, // some clients leave the last NUL out
            };
            database_known(database)?;
        }
        self.logged_in = true;
        Ok(Command::Login)
    }

    /// Writes one packet; sequence ids wrap.
    fn put(&mut self, out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
        let at = out.len();
        out.extend_from_slice(&[0, 0, 0, self.sequence]);
        body(out);
        let length = (out.len() - at - 4) as u32;
        out[at..at + 3].copy_from_slice(&length.to_le_bytes()[..3]);
        self.sequence = self.sequence.wrapping_add(1);
    }

    /// OK.
    pub fn ok(&mut self, out: &mut Vec<u8>) {
        self.put(out, |b| {
            b.extend_from_slice(&[0, 0, 0]);
            b.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
            b.extend_from_slice(&[0, 0]);
        });
    }

    /// An error.
    pub fn error(&mut self, error: &Error, out: &mut Vec<u8>) {
        self.put(out, |b| {
            b.push(0xff);
            b.extend_from_slice(&error.code.to_le_bytes());
            b.push(b'#');
            b.extend_from_slice(error.state.as_bytes());
            b.extend_from_slice(error.text.as_bytes());
        });
    }

    /// The head of a result set: its columns, all of text.
    pub fn columns(&mut self, names: &[&str], out: &mut Vec<u8>) {
        self.put(out, |b| b.push(names.len() as u8));
        for name in names {
            self.put(out, |b| {
                for part in ["def", DATABASE, "", "", name, ""] {
                    text(b, part.as_bytes());
                }
                b.push(12);
                b.extend_from_slice(&[UTF8MB4, 0]);
                b.extend_from_slice(&0xffff_u32.to_le_bytes());
                b.extend_from_slice(&[0xfd, 0, 0, 0, 0, 0]);
            });
        }
        self.end_of_part(out);
    }

    /// One row.
    pub fn row<'a>(&mut self, cells: impl Iterator<Item = &'a [u8]>, out: &mut Vec<u8>) {
        self.put(out, |b| cells.for_each(|c| text(b, c)));
    }

    /// EOF: after the columns, and after the last row.
    pub fn end_of_part(&mut self, out: &mut Vec<u8>) {
        self.put(out, |b| {
            b.extend_from_slice(&[0xfe, 0, 0]);
            b.extend_from_slice(&AUTOCOMMIT.to_le_bytes());
        });
    }
}

/// Whether COM_INIT_DB or a login names the one database there is.
pub fn database_known(name: &[u8]) -> Result<(), Error> {
    match name {
        b"" => Ok(()),
        name if name == DATABASE.as_bytes() => Ok(()),
        name => {
            Err(Error::new(1049, "42000", format!("unknown database '{}'", String::from_utf8_lossy(name))))
        }
    }
}

/// A length-encoded string.
fn text(out: &mut Vec<u8>, bytes: &[u8]) {
    match bytes.len() {
        n @ 0..=250 => out.push(n as u8),
        n @ 251..=0xffff => {
            out.push(0xfc);
            out.extend_from_slice(&(n as u16).to_le_bytes());
        }
        n => {
            out.push(0xfd);
            out.extend_from_slice(&(n as u32).to_le_bytes()[..3]);
        }
    }
    out.extend_from_slice(bytes);
}

#[cfg(test)]
mod tests {
    use super::*;

    fn login(user: &str) -> Vec<u8> {
        let mut body = (0x200u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
        body.extend_from_slice(&[0; 28]);
        body.extend_from_slice(format!("{user}\0\0main\0").as_bytes());
        let mut bytes = vec![body.len() as u8, 0, 0, 1];
        bytes.extend(body);
        bytes
    }

    // Clients may write login and first query in one go, and the bytes may come one at a time.
    #[test]
    fn login_and_query_are_read_from_bytes_in_pieces() {
        let mut bytes = login("app");
        bytes.extend_from_slice(b"\x09\0\0\0\x03SELECT 1");
        let (mut server, mut seen, mut from) = (Server::default(), Vec::new(), 0);
        for to in 0..=bytes.len() {
            while let Some((n, command)) = server.next(&bytes[from..to]).unwrap() {
                seen.push(format!("{command:?}"));
                from += n;
            }
        }
        assert_eq!(seen, ["Login", "Query(\"SELECT 1\")"]);
    }

    // Nothing from outside may panic or be taken for something else.
    #[test]
    fn what_is_malformed_or_too_large_is_an_error() {
        assert_eq!(Server::default().next(&login("root")).unwrap_err().code, 1045);
        assert_eq!(Server::default().next(&[3, 0, 0, 1, 0, 2, 0]).unwrap_err().code, 1835);
        let mut server = Server { logged_in: true, sequence: 0 };
        assert_eq!(server.next(&[0, 0, 0, 0]).unwrap_err().code, 1835);
        assert_eq!(server.next(&[0, 0, 1, 0, 3]).unwrap_err().code, 1153);
        assert_eq!(server.next(&[1, 0, 0, 0, 22]).unwrap(), Some((5, Command::Other(22))));
    }

    // A result of more than 256 packets goes round the one byte that numbers them.
    #[test]
    fn sequence_ids_wrap_in_a_long_result() {
        let (mut server, mut out) = (Server::default(), Vec::new());
        (0..300).for_each(|_| server.row([&b"a"[..]].into_iter(), &mut out));
        let ids: Vec<u8> = out.chunks(6).map(|p| p[3]).collect();
        assert_eq!((ids[255], ids[256], ids[299]), (255, 0, 43));
    }
}
