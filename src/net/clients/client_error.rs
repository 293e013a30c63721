//! What a client is told besides results: every error with its number, its SQL state and its text.

use crate::codec::mysql;
use std::fmt;

/// An answer to a client that is no result. Numbers, states and texts are the protocol's: clients tell a refusal,
/// which they may repeat, from a failure by them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::net) enum ClientError {
    /// The connection is refused, as too many are open; `backoff_ms` is how long to wait before the next, in
    /// milliseconds.
    TooManyConnections { backoff_ms: u64 },
    /// The request was refused and never ran; `backoff_ms` is how long to wait before the next attempt, in
    /// milliseconds.
    Refused { backoff_ms: u64 },
    /// The request may have run, and no result of it will come.
    Failed,
    /// The request was killed.
    Interrupted,
    /// KILL names a connection that is not there.
    UnknownThread(String),
    /// A second request came on a connection whose request is open.
    SecondRequest,
    /// A request of the same id is open on another connection.
    DuplicateRequestId,
    /// The decisions accept no such request, and why.
    NotAccepted(String),
    /// No whole command came in time.
    Timeout,
    /// The code of a command that this server does not have.
    UnknownCommand(u8),
    /// A statement that is no request and none of the few that drivers send by themselves.
    NoRequestComment,
    /// A field of a request's comment can't be used, and why.
    Field { field: &'static str, fault: &'static str },
}

impl ClientError {
    /// The error number and the SQL state.
    fn code(&self) -> (u16, &'static str) {
        match self {
            ClientError::TooManyConnections { .. } => (1040, "08004"),
            ClientError::UnknownCommand(_) => (1047, "08S01"),
            ClientError::NoRequestComment | ClientError::Field { .. } => (1064, "42000"),
            ClientError::UnknownThread(_) => (1094, "HY000"),
            ClientError::Failed
            | ClientError::SecondRequest
            | ClientError::DuplicateRequestId
            | ClientError::NotAccepted(_) => (1105, "HY000"),
            ClientError::Timeout => (1159, "08S01"),
            ClientError::Refused { .. } => (1203, "42000"),
            ClientError::Interrupted => (1317, "70100"),
        }
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::TooManyConnections { backoff_ms } => {
                write!(f, "too many connections: backoff={backoff_ms}")
            }
            ClientError::Refused { backoff_ms } => {
                write!(f, "refused, try again later: backoff={backoff_ms}")
            }
            ClientError::Failed => write!(f, "failed; whether it ran is not known"),
            ClientError::Interrupted => write!(f, "query execution was interrupted"),
            ClientError::UnknownThread(id) => write!(f, "unknown thread id: {id}"),
            ClientError::SecondRequest => write!(f, "one request at a time on a connection"),
            ClientError::DuplicateRequestId => write!(f, "a request with this rid is open"),
            ClientError::NotAccepted(why) => write!(f, "{why}"),
            ClientError::Timeout => write!(f, "no whole request in time"),
            ClientError::UnknownCommand(code) => write!(f, "command {code} is not known"),
            ClientError::NoRequestComment => {
                write!(f, "the comment ahead of the statement lacks method and rid")
            }
            ClientError::Field { field, fault } => write!(f, "field {field}: {fault}"),
        }
    }
}

impl std::error::Error for ClientError {}

impl From<ClientError> for mysql::Error {
    fn from(error: ClientError) -> mysql::Error {
        let (number, state) = error.code();
        mysql::Error::new(number, state, error.to_string())
    }
}
