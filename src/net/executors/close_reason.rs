//! Why a connection to an executor is closed, and what that says about the executor.

use crate::net::sockets::system_calls;
use std::fmt::{self, Display, Formatter};
use std::io;

/// Why a connection is closed.
#[derive(Debug)]
pub(super) enum CloseReason {
    /// A connect, read or write failed.
    Failed(io::Error),
    /// It was not established in time.
    ConnectTimeout,
    /// The executor closed it.
    ClosedByExecutor,
    /// The executor's process restarted after the connection was opened.
    ExecutorRestarted,
    /// The executor was removed from the list.
    ExecutorRemoved,
    /// Another executor has the address now.
    AddressReassigned,
    /// Another connection needs its place.
    MakeRoom,
    /// It was unused for too long.
    IdleTimeout,
    /// It sent nothing while its executor answered on other connections.
    Unresponsive,
    /// The rest of an answer did not arrive in time.
    PartialAnswerTimeout,
    /// A message could not be parsed; with the reason.
    Malformed(String),
}

impl CloseReason {
    /// Whether a connection that is closed for this reason before it is established failed on the executor's side.
    pub(super) fn is_connect_failure(&self) -> bool {
        match self {
            CloseReason::Failed(error) => !system_calls::is_local_failure(error),
            CloseReason::ConnectTimeout | CloseReason::ClosedByExecutor => true,
            _ => false,
        }
    }

    /// Whether this process is the cause: it lacks a resource, or gives the connection up.
    pub(super) fn is_local(&self) -> bool {
        match self {
            CloseReason::Failed(error) => system_calls::is_local_failure(error),
            CloseReason::MakeRoom | CloseReason::IdleTimeout => true,
            _ => false,
        }
    }
}

impl Display for CloseReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::Failed(error) => return error.fmt(formatter),
            CloseReason::Malformed(reason) => reason,
            CloseReason::ConnectTimeout => "connect timeout",
            CloseReason::ClosedByExecutor => "closed by the executor",
            CloseReason::ExecutorRestarted => "its executor restarted",
            CloseReason::ExecutorRemoved => "its executor was removed",
            CloseReason::AddressReassigned => "another executor has its address now",
            CloseReason::MakeRoom => "closed to make room for another connection",
            CloseReason::IdleTimeout => "idle timeout",
            CloseReason::Unresponsive => "unresponsive while its executor answers on other connections",
            CloseReason::PartialAnswerTimeout => "answer timed out before it was complete",
        })
    }
}
