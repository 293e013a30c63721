//! The follower's part of a dispatcher's event loop.

use crate::api::Micros;
use crate::net::DispatcherServer;

impl DispatcherServer {
    /// Handles readiness of the connection to the member. Received messages take effect before anything more is admitted.
    pub(in crate::net) fn control_ready(&mut self, now: Micros) {
        if let Some(control) = &mut self.control {
            control.ready(now, &self.poll);
        }
        self.heed_control(now);
    }

    /// Advances the lease and the connection. Called first and last in each turn of the loop, so that a lease that expired
    /// while the process was stalled is dropped before anything is done under it.
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
            // Acknowledges a snapshot or lease that was applied just now without delay.
            control.tick(now);
            control.flush(now, &self.poll);
        }
    }

    /// At shutdown: tells the member not to wait for this follower.
    pub(in crate::net) fn leave_control(&mut self, now: Micros) {
        if let Some(control) = &mut self.control {
            control.leave(now, &self.poll);
        }
    }
}
