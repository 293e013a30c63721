//! Dispatchers that get little processor time: each is stopped and continued over and over.

use rustix::process::{Pid, Signal, kill_process};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A process is stopped once in this time. The stop is shorter than half of what an attempt may begin after its client
/// left: one that falls between the last look at the clients and the write can't be seen by any process.
const PERIOD: Duration = Duration::from_millis(55);
/// Processes that one thread stops and continues.
const GROUP: usize = 20;

/// Processes under pauses; they go on for good when this is dropped.
pub struct Pauses {
    processes: Vec<Pid>,
    over: Arc<AtomicBool>,
    longest_us: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Pauses {
    /// Stops each process for so many in a hundred of the time.
    pub fn start(processes: Vec<u32>, percent: u32) -> Pauses {
        let pid = |id: u32| Pid::from_raw(i32::try_from(id).unwrap_or(0));
        let processes: Vec<Pid> = processes.into_iter().filter_map(pid).collect();
        let (over, longest_us) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let groups = processes.chunks(GROUP).filter(|_| percent > 0);
        let threads = groups.map(|group| {
            let (group, over, longest_us) = (group.to_vec(), over.clone(), longest_us.clone());
            thread::spawn(move || pause(&group, percent, &over, &longest_us))
        });
        let threads = threads.collect();
        Pauses { processes, over, longest_us, threads }
    }

    /// The longest that any process was stopped.
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.longest_us.load(Ordering::SeqCst))
    }
}

impl Drop for Pauses {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        for thread in std::mem::take(&mut self.threads) {
            let _ = thread.join();
        }
        signal(&self.processes, Signal::CONT);
    }
}

/// Sends a signal; a process that has ended needs none.
fn signal(processes: &[Pid], signal: Signal) {
    for process in processes {
        let _ = kill_process(*process, signal);
    }
}

fn pause(processes: &[Pid], percent: u32, over: &AtomicBool, longest_us: &AtomicU64) {
    let runs = PERIOD * (100 - percent.min(99)) / 100;
    while !over.load(Ordering::SeqCst) {
        let stopped = Instant::now();
        signal(processes, Signal::STOP);
        thread::sleep(PERIOD.saturating_sub(runs));
        signal(processes, Signal::CONT);
        longest_us.fetch_max(stopped.elapsed().as_micros() as u64, Ordering::SeqCst);
        thread::sleep(runs);
    }
}
