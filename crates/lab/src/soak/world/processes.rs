//! Processes of dispatchers: started, signalled, stopped as the platform does it, killed.

use super::*;
use crate::soak::records::{Exit, Incarnation};
use std::io::BufRead;
use std::sync::atomic::Ordering;

/// A process is looked at this often while its end is awaited.
const LOOK: Duration = Duration::from_millis(2);
/// The platform kills so long after SIGTERM, and the longest deadline.
const KILLED_AFTER: Duration = Duration::from_millis(700);

impl World {
    /// The configuration of a process that starts now: with the list as it is.
    fn config(&self, d: usize) -> String {
        let machines = lock(&self.machines);
        let listed = machines.iter().filter(|m| m.state != "removed");
        let known: Vec<String> =
            listed.map(|m| entry(&m.uid, m.executor.address, m.state, m.boot_ms)).collect();
        let config = self.launch.config_since(self.feed_link.address, self.feed.last(), &known);
        config.replace("127.0.0.1:0", &self.places[d].reserved.address.to_string())
    }

    /// Starts a dispatcher at its place.
    pub(super) fn run(&self, d: usize, running: &mut Option<Dispatcher>) {
        let place = &self.places[d];
        let begun = Instant::now();
        let mut dispatcher = self.launch.serving(&self.config(d));
        let process = Process { dispatcher: d, incarnation: place.incarnation.load(Ordering::SeqCst) };
        let log = Log::default();
        lock(&self.logs).push((process, log.clone()));
        if let Some(lines) = dispatcher.take_log() {
            let start = self.begun.0;
            thread::spawn(move || {
                lines.lines().map_while(Result::ok).for_each(|l| lock(&log).push((start.elapsed(), l)));
            });
        }
        place.pid.store(dispatcher.child.id(), Ordering::SeqCst);
        let incarnation = Incarnation {
            process,
            ready_after: begun.elapsed(),
            stopped: None,
            ended: None,
            descriptors: 0,
            memory_kb: 0,
        };
        lock(&self.records).incarnations.push(incarnation);
        *running = Some(dispatcher);
    }

    /// Sends a signal to whatever process a dispatcher has now, by its name.
    pub fn signal(&self, d: usize, name: &str) {
        let pid = self.places[d].pid.load(Ordering::SeqCst);
        if pid > 0 {
            // One that has ended needs no signal.
            let _ = std::process::Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
        }
    }

    /// Stops a dispatcher as the platform does: the signals in their order, SIGKILL at the earliest moment, and a new process.
    pub fn stop(&self, d: usize, signals: &[&str], apart: Duration, down: Duration) {
        let place = &self.places[d];
        let mut running = lock(&place.running);
        let (_, process) = self.dispatcher(d);
        let mut stopped = None;
        for (n, signal) in signals.iter().enumerate() {
            thread::sleep(apart * u32::from(n > 0));
            if *signal == "TERM" && stopped.is_none() {
                stopped = Some(Instant::now());
                self.with_incarnation(process, |l| l.stopped = Some(self.now()));
            }
            self.signal(d, signal);
        }
        let killed_at = stopped.unwrap_or_else(Instant::now) + self.plan.longest_deadline() + KILLED_AFTER;
        let mut exit = Exit::KilledAfterStop;
        if let Some(dispatcher) = running.as_mut() {
            while Instant::now() < killed_at {
                if let Ok(Some(status)) = dispatcher.child.try_wait() {
                    exit = Exit::Itself { well: status.success() };
                    break;
                }
                thread::sleep(LOOK);
            }
        }
        self.end_incarnation(d, process, &mut running, exit);
        thread::sleep(down);
        self.run_again(d, &mut running);
    }

    /// Kills a dispatcher without a word, and starts a new process.
    pub fn crash(&self, d: usize, down: Duration) {
        let mut running = lock(&self.places[d].running);
        let (_, process) = self.dispatcher(d);
        self.end_incarnation(d, process, &mut running, Exit::Crashed);
        thread::sleep(down);
        self.run_again(d, &mut running);
    }

    fn run_again(&self, d: usize, running: &mut Option<Dispatcher>) {
        if !self.over.load(Ordering::SeqCst) {
            self.places[d].incarnation.fetch_add(1, Ordering::SeqCst);
            self.run(d, running);
        }
    }

    fn end_incarnation(&self, d: usize, process: Process, running: &mut Option<Dispatcher>, exit: Exit) {
        self.places[d].pid.store(0, Ordering::SeqCst);
        let Some(mut dispatcher) = running.take() else { return };
        let ended = dispatcher.child.try_wait().ok().flatten();
        let exit = ended.map_or(exit, |status| Exit::Itself { well: status.success() });
        self.with_incarnation(process, |l| l.ended = Some((self.now(), exit)));
        drop(dispatcher);
    }

    /// The configuration file of a dispatcher's process gets this text, or its own again.
    pub fn write_config(&self, d: usize, text: Option<&str>) {
        let place = &self.places[d];
        if let Ok(running) = place.running.try_lock()
            && let Some(dispatcher) = running.as_ref()
        {
            let text = text.unwrap_or(&dispatcher.config);
            // A file that can't be written is as faulty as one that can't be read.
            let _ = std::fs::write(&dispatcher.file, text);
        }
    }

    /// Looks at descriptors and memory of each process.
    pub fn sample(&self) {
        for (d, place) in self.places.iter().enumerate() {
            let pid = place.pid.load(Ordering::SeqCst);
            let (_, process) = self.dispatcher(d);
            let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
            let memory = memory.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0);
            self.with_incarnation(process, |l| {
                l.descriptors = l.descriptors.max(descriptors);
                l.memory_kb = l.memory_kb.max(memory);
            });
        }
    }

    /// The processes that run now.
    pub fn pids(&self) -> Vec<u32> {
        self.places.iter().map(|p| p.pid.load(Ordering::SeqCst)).filter(|pid| *pid > 0).collect()
    }
}
