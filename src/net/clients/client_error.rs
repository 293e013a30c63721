//! Errors sent to clients, each with its error number, SQL state and message.

use crate::codec::mysql;
use std::fmt;

/// An error response. Numbers, SQL states and messages are defined by the protocol: clients use them to tell
/// a rejection, which may be retried, from a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::net) enum ClientError {
    /// The connection is refused because too many are open; `backoff_ms` is the time to wait before
    /// connecting again, in milliseconds.
    TooManyConnections { backoff_ms: u64 },
    /// The request was rejected and never ran; `backoff_ms` is the time to wait before retrying, in
    /// milliseconds.
    Refused { backoff_ms: u64 },
    /// The request may have run, but no result is available.
    Failed,
    /// The request was killed.
    Interrupted,
    /// KILL names a connection that does not exist.
    UnknownThread(String),
    /// The client sent a second request while its first one is open.
    SecondRequest,
    /// A request with the same id is open on another connection.
    DuplicateRequestId,
    /// The dispatch logic does not accept the request, for this reason.
    NotAccepted(String),
    /// No complete command arrived in time.
    Timeout,
    /// The client sent a command that is not supported, with this command code.
    UnknownCommand(u8),
    /// The statement is neither a request nor one of the few statements that drivers send on their own.
    NoRequestComment,
    /// A field in the request's comment is invalid, for this reason.
    Field { field: &'static str, fault: &'static str },
}

impl ClientError {
    /// The MySQL error number and SQL state.
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
