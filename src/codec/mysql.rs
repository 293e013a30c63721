//! The server side of the MySQL client protocol 4.1, sans-I/O.
//!
//! No encryption, no compression, an empty password, EOF packets. Independent of the event loop and of dispatch
//! decisions.

mod answers;
mod packets;

use packets::{Reader, malformed, packet};
use std::fmt;

/// The largest packet body accepted from a client, in bytes.
pub const MAX_PACKET_BYTES: usize = 15 * 1024;
const USER: &str = "app";
const DATABASE: &str = "main";

/// An error sent to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// MySQL error code.
    pub code: u16,
    /// SQLSTATE, five characters.
    pub state: &'static str,
    /// Message text; may contain `backoff=`.
    pub text: String,
}

impl Error {
    /// Creates an error from its code, SQLSTATE and text.
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

/// A command from a client.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// The login succeeded.
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

/// The protocol state of one client connection.
#[derive(Debug, Default)]
pub struct Server {
    logged_in: bool,
    sequence: u8,
}

impl Server {
    /// The next command and its length in bytes; `None` while it is incomplete. After an error the input can't be
    /// decoded any further.
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
}

/// Checks that COM_INIT_DB or a login names the only database.
pub fn database_known(name: &[u8]) -> Result<(), Error> {
    match name {
        b"" => Ok(()),
        name if name == DATABASE.as_bytes() => Ok(()),
        name => {
            Err(Error::new(1049, "42000", format!("unknown database '{}'", String::from_utf8_lossy(name))))
        }
    }
}

#[cfg(test)]
mod tests;
