//! Dispatch of a socket event to the component that owns the socket.

use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::Key;

impl DispatcherServer {
    /// Whether the key belongs to the other processes of this dispatcher, the signal stream, the client listener
    /// or a client; these are processed before all others.
    pub(super) fn is_client_side(&self, key: Key) -> bool {
        let is_sibling = self.siblings.as_ref().is_some_and(|siblings| siblings.owns(key));
        is_sibling
            || self.listener.key() == Some(key)
            || key == self.signals.0
            || self.sessions.by_key.contains_key(&key)
    }

    /// Passes an event to the owner of its socket. An event whose socket was closed earlier in this turn is
    /// ignored.
    pub(super) fn dispatch_event(&mut self, event: polling::Event) {
        let now = self.clock.now();
        let key = event.key;
        if self.siblings.as_ref().is_some_and(|siblings| siblings.owns(key)) {
            self.receive_from_siblings(now);
        } else if self.listener.key() == Some(key) {
            self.accept_clients(now);
        } else if key == self.signals.0 {
            self.process_signals(now);
        } else if self.admin_listener.as_ref().is_some_and(|operators| operators.owns(key)) {
            self.process_operator_calls(key, now);
        } else if self.coordinator_watch.as_ref().is_some_and(|feed| feed.owns(key)) {
            let updates = self.coordinator_watch.as_mut().map(|feed| feed.ready(key, now, &self.poll));
            updates.into_iter().flatten().for_each(|update| self.apply_update(now, update));
        } else if self.endpoint_lists.as_ref().is_some_and(|lists| lists.owns(key)) {
            self.with_endpoint_lists(now, |lists, _| lists.ready(now));
        } else if self.in_flight.as_ref().is_some_and(|in_flight| in_flight.owns(key)) {
            if let Some(in_flight) = &mut self.in_flight {
                in_flight.peers.ready(key, now, &self.poll);
            }
            self.process_in_flight(now);
        } else if self.control.as_ref().is_some_and(|control| control.owns(key)) {
            self.control_ready(now);
        } else if self.executors.owns(key) {
            self.executors.ready(key, event.readable, event.writable, now, &self.poll);
            self.execute(Vec::new());
        } else if self.sessions.by_key.contains_key(&key) {
            if event.readable {
                self.read_client(key, now);
            }
            if event.writable {
                self.flush_client(key);
            }
        }
    }

    /// A reload is processed first: it may take long, and the arrival time of SIGTERM is derived from the
    /// poll times rather than from the current time.
    fn process_signals(&mut self, now: Micros) {
        let raised = self.signals.1.take();
        if raised.reload {
            self.reload_configuration(now);
        }
        if raised.terminate {
            self.begin_shutdown(self.poll_times.occurrence_noticed_at(now));
        }
    }

    fn process_operator_calls(&mut self, key: Key, now: Micros) {
        // A call made at another process before this one counts first.
        self.receive_from_siblings(now);
        let Some(operators) = &mut self.admin_listener else { return };
        for (caller, line) in operators.ready(key, now, &self.poll) {
            let asked = tracing::enabled!(tracing::Level::DEBUG).then(|| format!("{line:?}"));
            let answer = self.answer_call(caller, now, line);
            if let Some(asked) = asked {
                let answer = answer.as_ref().and_then(|a| a.lines().next());
                tracing::debug!(asked, answer, "operator call");
            }
            if let (Some(operators), Some(answer)) = (&mut self.admin_listener, answer) {
                operators.answer(caller, &answer, &self.poll);
            }
        }
    }
}
