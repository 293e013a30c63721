//! What a dispatcher does with the member that it follows, in the turns of its loop.

use crate::api::Micros;
use crate::net::DispatcherServer;

impl DispatcherServer {
    /// The connection to the member is ready: what came is heeded before anything more is admitted.
    pub(in crate::net) fn control_ready(&mut self, now: Micros) {
        if let Some(control) = &mut self.control {
            control.ready(now, &self.poll);
        }
        self.heed_control(now);
    }

    /// Lets time pass on the lease and the connection. Called before anything else of a turn and after all: a lease
    /// that ran out while this process stood still is over before it is acted on.
    pub(in crate::net) fn tick_control(&mut self, now: Micros) {
        let Some(control) = self.control.as_mut().filter(|c| c.next_due() <= now) else { return };
        control.tick(now);
        self.heed_control(now);
    }

    fn heed_control(&mut self, now: Micros) {
        if self.control.is_none() {
            return;
        }
        self.tick_policy(now);
        if let Some(control) = &mut self.control {
            // A snapshot or a lease that was heeded just now is told of at once.
            control.tick(now);
            control.flush(now, &self.poll);
        }
    }

    /// At the end: the member waits for this follower no longer.
    pub(in crate::net) fn leave_control(&mut self, now: Micros) {
        if let Some(control) = &mut self.control {
            control.leave(now, &self.poll);
        }
    }
}
