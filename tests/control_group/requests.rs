//! Clients of the dispatchers, and the executors that their requests reached.

use super::group::{Group, NEW, OLD};
use standins::asks::{Ask, PATIENCE, ask, table};
use standins::executor::Pull;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

impl Group {
    /// Starts a client that sends requests to a dispatcher until it is gone or [`Group::rest`] is called.
    pub fn client(&mut self, at: usize) {
        let (to, asks, stop) = (self.dispatchers[at].0.address, self.asks.clone(), self.stop.clone());
        self.clients.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) && ask(at, to, &asks).got.is_some() {
                thread::sleep(Duration::from_millis(4));
            }
        }));
    }

    /// Sends one request.
    pub fn ask(&self, at: usize) -> Ask {
        ask(at, self.dispatchers[at].0.address, &self.asks)
    }

    /// Stops the clients.
    pub fn rest(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|c| c.join().unwrap());
        self.stop.store(false, Ordering::SeqCst);
    }

    /// All requests so far.
    pub fn asks(&self) -> Vec<Ask> {
        self.asks.lock().unwrap().clone()
    }

    /// Requests matching `of` that reached these executors, with their times, in order of time.
    pub fn reached(&self, executors: [usize; 2], of: impl Fn(&Ask) -> bool) -> Vec<(SystemTime, Ask)> {
        let asks: Vec<Ask> = self.asks().into_iter().filter(|a| of(a)).collect();
        let pulls = executors.iter().flat_map(|m| self.executors[*m].pulls());
        let named = |p: &Pull| asks.iter().find(|a| p.statement.contains(&table(a.rid))).cloned();
        let mut all: Vec<_> = pulls.filter_map(|p| Some((p.at, named(&p)?))).collect();
        all.sort_by_key(|(at, _)| *at);
        all
    }

    /// Waits until a request sent after `since` reaches a new executor. Returns that time.
    pub fn first_new(&self, since: SystemTime) -> SystemTime {
        let begun = Instant::now();
        loop {
            if let Some((at, _)) = self.reached(NEW, |a| a.asked > since).first() {
                return *at;
            }
            assert!(begun.elapsed() < PATIENCE, "no request reached a new executor in time");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Requests that were sent after `since` and still reached an old executor.
    pub fn late_old(&self, since: SystemTime) -> Vec<u64> {
        self.reached(OLD, |a| a.asked > since).into_iter().map(|(_, a)| a.rid).collect()
    }
}
