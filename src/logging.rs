//! The log on standard error.
//!
//! Lines pass through a bounded buffer to a thread that writes them, so that the event loop never waits for whoever reads the
//! log. If the buffer is full, lines are dropped and counted.

use crate::settings::options::LogFormat;
use nix::sys::signal::{SigSet, SigmaskHow};
use std::io;
use std::panic;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Number of lines buffered while nobody reads the log; with lines of some 250 bytes, 2 MB.
const MAX_BUFFERED_LINES: usize = 8_192;
/// Maximum time for writing the buffered lines at the end of the process.
const MAX_FLUSH_TIME: Duration = Duration::from_secs(1);
/// Minimum time for it; a pipe takes them at once unless it is full.
const MIN_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Number of log lines that were dropped because nobody read the log.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines {
    counter: Option<ErrorCounter>,
    reported: u64,
}

impl DroppedLines {
    /// The number since the start of the process.
    pub fn count(&self) -> u64 {
        self.counter.as_ref().map_or(0, |counter| counter.dropped_lines() as u64)
    }

    /// Logs the number if it has grown since it was last logged.
    pub fn report(&mut self) {
        let lines = self.count();
        if lines > self.reported {
            self.reported = lines;
            tracing::warn!(lines, "log lines dropped: nobody reads the log");
        }
    }
}

/// The log of this process, from [`Log::start`] until it is dropped, when the buffered lines are written.
pub struct Log {
    guard: Option<WorkerGuard>,
    dropped_lines: DroppedLines,
    flush_time: Duration,
}

impl Log {
    /// Starts the log, and logs panics from then on. `RUST_LOG` selects the lines; by default, those from `info` on.
    pub fn start(format: LogFormat) -> Log {
        let (writer, guard) = without_signals(start_writer);
        let dropped_lines = DroppedLines { counter: Some(writer.error_counter()), reported: 0 };
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let lines = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(writer);
        match format {
            LogFormat::Text => lines.init(),
            LogFormat::Json => lines.json().flatten_event(true).with_current_span(false).init(),
        }
        // The default hook writes to standard error, which waits for the reader.
        panic::set_hook(Box::new(|info| tracing::error!("{}", info.to_string().replace('\n', " "))));
        Log { guard: Some(guard), dropped_lines, flush_time: MAX_FLUSH_TIME }
    }

    /// The number of dropped lines.
    pub fn dropped_lines(&self) -> DroppedLines {
        self.dropped_lines.clone()
    }

    /// Limits the time for writing the buffered lines at the end.
    pub fn limit_flush_time(&mut self, limit: Duration) {
        self.flush_time = limit.clamp(MIN_FLUSH_TIME, MAX_FLUSH_TIME);
    }
}

/// Starts the thread that writes the lines.
fn start_writer() -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(io::stderr())
}

/// Runs `start` with all signals blocked, as threads that it starts inherit that. A signal that another thread handles does
/// not interrupt the event loop, which would notice it a turn later.
fn without_signals<T>(start: impl FnOnce() -> T) -> T {
    let previous = SigSet::all().thread_swap_mask(SigmaskHow::SIG_BLOCK);
    let started = start();
    let _ = previous.and_then(|mask| mask.thread_set_mask());
    started
}

impl Drop for Log {
    /// Writes the buffered lines, for as long as the flush time allows.
    fn drop(&mut self) {
        let guard = self.guard.take();
        let (sender, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(guard);
            // The receiver has gone if the flush time is over.
            let _ = sender.send(());
        });
        let _ = flushed.recv_timeout(self.flush_time);
    }
}
