//! The dispatcher under measurement: its process, its log as events, its memory.

use serde_json::Value;
use standins::scripted::{Dispatcher, Launch};
use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// A log line.
#[derive(Debug, Clone)]
pub struct Event {
    /// When it was written.
    pub at: SystemTime,
    fields: Value,
}

impl Event {
    fn parse(line: &str) -> Option<Event> {
        let fields: Value = serde_json::from_str(line).ok()?;
        let at = humantime::parse_rfc3339(fields.get("timestamp")?.as_str()?).ok()?;
        Some(Event { at, fields })
    }

    /// Its message.
    pub fn message(&self) -> &str {
        self.text("message")
    }

    /// A field of text; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    /// Whether a field is true.
    pub fn yes(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    /// A number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }
}

/// A dispatcher that runs.
pub struct Daemon {
    /// Where clients connect.
    pub address: SocketAddr,
    process: Dispatcher,
    events: Receiver<Event>,
}

impl Daemon {
    /// Starts one, once it listens.
    pub fn start(launch: &Launch, config: &str) -> io::Result<Daemon> {
        let mut process = launch.clone().with(&["--log-format", "json"]).serving(config);
        let log = process.take_log().ok_or_else(|| io::Error::other("its log was taken"))?;
        let (tell, events) = channel();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if let Some(event) = Event::parse(&line)
                    && tell.send(event).is_err()
                {
                    break;
                }
            }
        });
        Ok(Daemon { address: process.address, process, events })
    }

    /// The next log line, if one comes within this time.
    pub fn event(&self, within: Duration) -> Option<Event> {
        self.events.recv_timeout(within).ok()
    }

    /// Log lines until one fits, the last one included; all that came in time if none does.
    pub fn until(&self, within: Duration, fits: impl Fn(&Event) -> bool) -> Vec<Event> {
        let end = Instant::now() + within;
        let mut all = Vec::new();
        while let Some(event) = self.event(end.saturating_duration_since(Instant::now())) {
            let last = fits(&event);
            all.push(event);
            if last {
                break;
            }
        }
        all
    }

    /// Resident memory, in kB.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.child.id()));
        let line =
            status.unwrap_or_default().lines().find_map(|l| l.strip_prefix("VmRSS:").map(String::from));
        line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// Processor time used so far, in seconds; clock ticks are hundredths on Linux.
    pub fn cpu_s(&self) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.process.child.id())).unwrap_or_default();
        let rest = stat.rsplit_once(')').map_or("", |(_, r)| r);
        let ticks =
            |n: usize| rest.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Sends it a signal by its name.
    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    /// Ends it at once, with all that it has in hand; tells the log lines that nobody had read.
    pub fn kill(self) -> Vec<Event> {
        let Daemon { process, events, .. } = self;
        drop(process);
        events.iter().collect()
    }

    /// Tells it to end, by SIGTERM.
    pub fn end(&self) {
        self.process.signal("TERM");
    }

    /// Ends it, unless it has ended; whether it ended well.
    pub fn stop(mut self) -> bool {
        if matches!(self.process.child.try_wait(), Ok(None)) {
            self.end();
        }
        let ended = self.process.child.wait();
        ended.is_ok_and(|s| s.success())
    }
}
