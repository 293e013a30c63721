//! Signals: SIGTERM shuts the process down, SIGHUP has it read its configuration again.

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Caught signals. A byte on the stream wakes the event loop.
pub struct Signals {
    pub(super) stream: UnixStream,
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

/// Signals raised since they were last taken; several of a kind count as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Raised {
    /// SIGTERM: shut down.
    pub(super) terminate: bool,
    /// SIGHUP: read the configuration again.
    pub(super) reload: bool,
}

impl Signals {
    /// Catches signals from here on; one that comes before the event loop runs is kept until it does.
    pub fn new() -> io::Result<Signals> {
        let (stream, write) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let signals = Signals { stream, terminate: Arc::default(), reload: Arc::default() };
        for (signal, raised) in [(SIGTERM, &signals.terminate), (SIGHUP, &signals.reload)] {
            // Handlers run in this order: the flag stands before the loop wakes.
            flag::register(signal, raised.clone())?;
            pipe::register(signal, write.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Signals that a test raises, without a signal: the flag for SIGTERM, and the stream that wakes the loop.
    #[cfg(test)]
    pub(super) fn raised_by_hand() -> io::Result<(Signals, Arc<AtomicBool>, UnixStream)> {
        let (stream, write) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let signals = Signals { stream, terminate: Arc::default(), reload: Arc::default() };
        let terminate = signals.terminate.clone();
        Ok((signals, terminate, write))
    }

    /// Empties the stream and takes what was raised.
    pub(super) fn take(&mut self) -> Raised {
        let mut bytes = [0; 64];
        while matches!(self.stream.read(&mut bytes), Ok(n) if n == bytes.len()) {}
        let raised = |flag: &AtomicBool| flag.swap(false, Ordering::SeqCst);
        Raised { terminate: raised(&self.terminate), reload: raised(&self.reload) }
    }
}
