//! Executors and what the list says of them.

use super::*;
use crate::soak::records::Drain;
use standins::link::Weather;
use std::sync::atomic::Ordering;

/// What the coordinator tells while dispatchers can't hear it counts as told by then.
const TOLD_WITHIN: Duration = Duration::from_secs(7);

impl World {
    /// How many executors there were so far.
    pub fn machines(&self) -> usize {
        lock(&self.machines).len()
    }

    /// An executor hangs, or goes on with what comes from then on.
    pub fn hang(&self, n: usize, hangs: bool) {
        lock(&self.machines)[n].hangs.store(hangs, Ordering::SeqCst);
    }

    /// Tells of an executor's state.
    pub fn list(&self, n: usize, state: &'static str, boot_ms: u64) {
        let mut machines = lock(&self.machines);
        let machine = &mut machines[n];
        (machine.state, machine.boot_ms) = (state, boot_ms);
        let entry = entry(&machine.uid, machine.executor.address, state, boot_ms);
        let deaf = self.now() < *lock(&self.deaf_until);
        if state != "up" {
            let at = self.now() + if deaf { TOLD_WITHIN } else { Duration::ZERO };
            lock(&self.records).drains.push(Drain { executor: n, at });
        }
        self.feed.tell(false, &[entry]);
    }

    /// An executor's process dies, and another has its address after a while, cold; `None` if the address is not to be had.
    pub fn replace(&self, n: usize, after: Duration) -> Option<usize> {
        let (executor, uid) = {
            let machines = lock(&self.machines);
            (machines[n].executor.clone(), machines[n].uid.clone())
        };
        executor.die();
        thread::sleep(after);
        self.list(n, "removed", 0);
        let new = self.new_machine(format!("{uid}n"), &executor.address.to_string()).ok()?;
        self.list(new, "up", unix_ms());
        Some(new)
    }

    /// What the coordinator says does not come for a while.
    pub fn deafen(&self, weather: Weather, span: Duration) {
        *lock(&self.deaf_until) = self.now() + span;
        self.feed_link.set(weather);
        thread::sleep(span);
        self.feed_link.set(Weather::Clear);
    }
}
