//! The signals that the program heeds: SIGTERM for a planned stop, SIGHUP to read its configuration again.

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Caught signals; a byte on the stream wakes the loop.
pub struct Signals {
    pub(super) stream: UnixStream,
    stop: Arc<AtomicBool>,
    reread: Arc<AtomicBool>,
}

impl Signals {
    /// Catches them from here on: one that comes before the loop runs is kept until it does.
    pub fn new() -> io::Result<Signals> {
        let (stream, write) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let signals = Signals { stream, stop: Arc::default(), reread: Arc::default() };
        for (signal, raised) in [(SIGTERM, &signals.stop), (SIGHUP, &signals.reread)] {
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
        let signals = Signals { stream, stop: Arc::default(), reread: Arc::default() };
        let stop = signals.stop.clone();
        Ok((signals, stop, write))
    }

    /// Empties the stream; whether to stop, and whether to reread. Many of a kind come to one.
    pub(super) fn take(&mut self) -> (bool, bool) {
        let mut bytes = [0; 64];
        while matches!(self.stream.read(&mut bytes), Ok(n) if n == bytes.len()) {}
        let raised = |flag: &AtomicBool| flag.swap(false, Ordering::SeqCst);
        (raised(&self.stop), raised(&self.reread))
    }
}
