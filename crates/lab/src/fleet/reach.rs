//! What is done to a fleet's world from outside, and read of it.

use super::world::{World, uid};
use super::{Failure, PATIENCE};
use crate::daemon::{Daemon, Event};
use standins::link::Weather;
use standins::scripted::target_of;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::{Duration, Instant, SystemTime};

/// One call at an operators' address; what was read in a few seconds, empty if nobody takes it.
pub fn call_at(at: SocketAddr, line: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

impl World {
    /// How many dispatchers there are.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    /// A dispatcher's own folder: what it is told is written there before each of its starts.
    pub fn own(&self, i: usize) -> PathBuf {
        self.folder.join(format!("d{i}"))
    }

    /// Gives a dispatcher platform settings of its own, from its next start on.
    pub fn tell_platform(&mut self, i: usize, settings: &str) {
        self.platform[i] = settings.into();
    }

    pub(super) fn door(&self, i: usize, at: Option<SocketAddr>) {
        self.doors.lock().unwrap_or_else(PoisonError::into_inner)[i] = at;
    }

    /// The operators' address of a dispatcher; none if it is down.
    pub fn operator(&self, i: usize) -> Option<SocketAddr> {
        self.operators[i].filter(|_| self.daemons[i].is_some())
    }

    /// One call at the operators' address of a dispatcher; empty if it is down.
    pub fn call(&self, i: usize, line: &str) -> String {
        self.operator(i).map(|at| call_at(at, line)).unwrap_or_default()
    }

    /// Tells all dispatchers what the list says of an executor, which they reach without a link from then on.
    pub fn list(&self, executor: usize, state: &str, boot_ms: u64) {
        let entry = target_of(&uid(executor), self.executors[executor].address, (self.kind)(executor), state);
        self.feed.tell(false, &[entry.replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#))]);
    }

    /// Waits until every dispatcher that runs has a lease, by its log.
    pub fn settled(&self, what: &mut dyn FnMut(usize, &Event)) -> bool {
        let end = Instant::now() + PATIENCE;
        let mut held = vec![!self.with_peers; self.len()];
        while Instant::now() < end {
            for (i, d) in self.daemons.iter().enumerate() {
                let Some(d) = d else { continue };
                while let Some(e) = d.event(Duration::from_millis(1)) {
                    held[i] |= e.message() == "fleet: lease held";
                    what(i, &e);
                }
            }
            if held.iter().all(|h| *h) {
                return true;
            }
        }
        false
    }

    /// Hands on what the logs say since they were last read.
    pub fn read_logs(&self, what: &mut dyn FnMut(usize, &Event)) {
        for (i, d) in self.daemons.iter().enumerate() {
            let Some(d) = d else { continue };
            while let Some(e) = d.event(Duration::ZERO) {
                what(i, &e);
            }
        }
    }

    /// Kills one at once; when that was.
    pub fn kill(&mut self, i: usize) -> SystemTime {
        self.door(i, None);
        let at = SystemTime::now();
        if let Some(d) = self.daemons[i].take() {
            self.last_words.extend(d.kill().into_iter().map(|e| (i, e)));
        }
        at
    }

    /// What those that were killed said that nobody had read before, since this was last asked.
    pub fn last_words(&mut self) -> Vec<(usize, Event)> {
        std::mem::take(&mut self.last_words)
    }

    /// Ends one in order, and starts it anew.
    pub fn roll(&mut self, i: usize) -> Result<(), Failure> {
        self.door(i, None);
        if let Some(d) = self.daemons[i].take() {
            d.stop();
        }
        self.restart(i)
    }

    /// Stops one, or lets it go on.
    pub fn pause(&self, i: usize, stop: bool) {
        if let Some(d) = &self.daemons[i] {
            d.signal(if stop { "STOP" } else { "CONT" });
        }
    }

    /// The weather on the links of one to its peers and back; `only_in` leaves the way from it clear.
    pub fn peers(&self, i: usize, weather: Weather, only_in: bool) {
        for ((from, to), link) in &self.peers {
            if *to == i || (*from == i && !only_in) {
                link.set(weather);
            }
        }
    }

    /// The weather on the links of one to every second executor.
    pub fn executors(&self, i: usize, weather: Weather) {
        self.executor_links[i].iter().step_by(2).for_each(|l| l.set(weather));
    }

    /// Processor time that the dispatchers have used so far, in seconds.
    pub fn cpu_s(&self) -> f64 {
        self.daemons.iter().flatten().map(Daemon::cpu_s).sum()
    }

    /// Ends all of them in order; whether all ended well.
    pub fn end(mut self) -> bool {
        self.daemons.drain(..).flatten().all(Daemon::stop)
    }
}
