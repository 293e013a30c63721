//! KILL QUERY across the processes of one dispatcher: a client's connection and its KILL may reach different ones.

use super::message::Message;
use super::pending_kills::KillOutcome;
use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::Key;

impl DispatcherServer {
    /// Passes a KILL on to the other processes. Returns false if there is none; otherwise the client `from` is answered
    /// once they have answered, or after a time limit.
    pub(in crate::net) fn forward_kill(&mut self, from: Key, connection: u32, now: Micros) -> bool {
        let Some(siblings) = &mut self.siblings else { return false };
        // A process that has just started may have clients already, while its greeting is still in the pipe.
        siblings.receive();
        siblings.forward_kill(from, connection, now)
    }

    /// Reads and processes the messages of the other processes.
    pub(in crate::net) fn receive_from_siblings(&mut self, now: Micros) {
        if let Some(siblings) = &mut self.siblings {
            siblings.receive();
        }
        self.process_siblings(now);
    }

    /// Carries out what is due between the processes.
    pub(in crate::net) fn tick_siblings(&mut self, now: Micros) {
        if let Some(siblings) = &mut self.siblings {
            siblings.tick(now, &self.poll);
        }
        self.process_siblings(now);
    }

    fn process_siblings(&mut self, now: Micros) {
        while let Some(message) = self.siblings.as_mut().and_then(|siblings| siblings.next_message()) {
            self.process_sibling_message(message, now);
        }
        let outcomes = self.siblings.as_mut().map(|siblings| std::mem::take(&mut siblings.kill_outcomes));
        outcomes.into_iter().flatten().for_each(|outcome| self.answer_forwarded_kill(outcome, now));
    }

    fn process_sibling_message(&mut self, message: Message, now: Micros) {
        match message {
            // Processed when it was received.
            Message::Hello { .. } => {}
            Message::Kill { from, token, connection } => {
                let found = self.kill_connection(connection, now);
                tracing::debug!(process = %from, connection, found, "siblings: KILL from another process");
                if let Some(siblings) = &mut self.siblings {
                    let me = siblings.me;
                    siblings.send(from, Message::KillResult { from: me, token, found }, now);
                }
            }
            Message::KillResult { from, token, found } => {
                if let Some(siblings) = &mut self.siblings {
                    let outcome = siblings.kills.answered(token, from, found);
                    siblings.kill_outcomes.extend(outcome);
                }
            }
        }
    }

    fn answer_forwarded_kill(&mut self, outcome: KillOutcome, now: Micros) {
        let Some(session) = self.sessions.by_key.get_mut(&outcome.client) else { return };
        session.end_kill(outcome.connection, outcome.found);
        self.process_commands(outcome.client, now);
    }
}
