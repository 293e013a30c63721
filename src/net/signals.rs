//! Signal handling: SIGTERM shuts the process down, SIGHUP makes it reload its configuration.

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

/// Signals raised since the last call of [`Signals::take`]; several of a kind count as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Raised {
    /// SIGTERM: shut down.
    pub(super) terminate: bool,
    /// SIGHUP: reload the configuration.
    pub(super) reload: bool,
}

impl Signals {
    /// Installs the signal handlers; a signal that arrives before the event loop runs is kept.
    pub fn new() -> io::Result<Signals> {
        let (stream, write) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let signals = Signals { stream, terminate: Arc::default(), reload: Arc::default() };
        for (signal, raised) in [(SIGTERM, &signals.terminate), (SIGHUP, &signals.reload)] {
            // Handlers run in registration order, so the flag is set before the event loop wakes up.
            flag::register(signal, raised.clone())?;
            pipe::register(signal, write.try_clone()?)?;
        }
        Ok(signals)
    }

    /// Signals that a test raises without a real signal: the flag for SIGTERM, and the stream that wakes the
    /// event loop.
    #[cfg(test)]
    pub(super) fn for_test() -> io::Result<(Signals, Arc<AtomicBool>, UnixStream)> {
        let (stream, write) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let signals = Signals { stream, terminate: Arc::default(), reload: Arc::default() };
        let terminate = signals.terminate.clone();
        Ok((signals, terminate, write))
    }

    /// Drains the stream and returns the raised signals.
    pub(super) fn take(&mut self) -> Raised {
        let mut bytes = [0; 64];
        while matches!(self.stream.read(&mut bytes), Ok(n) if n == bytes.len()) {}
        let raised = |flag: &AtomicBool| flag.swap(false, Ordering::SeqCst);
        Raised { terminate: raised(&self.terminate), reload: raised(&self.reload) }
    }
}
