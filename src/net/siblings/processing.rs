//! Processing of what the other processes of this dispatcher send.

use super::StartList;
use super::message::Message;
use crate::api::Micros;
use crate::net::DispatcherServer;
use crate::net::event_loop::event_source::EventSource;

impl DispatcherServer {
    /// Reads and processes the messages of the other processes.
    pub(in crate::net) fn receive_from_siblings(&mut self, now: Micros) {
        if let Some(siblings) = &mut self.siblings {
            siblings.receive();
        }
        self.process_siblings(now);
    }

    /// Carries out what is due between the processes.
    pub(in crate::net) fn tick_siblings(&mut self, now: Micros) {
        let Some(siblings) = &mut self.siblings else { return };
        let is_scan_due = siblings.next_scan <= now;
        siblings.tick(now, &self.poll);
        if is_scan_due {
            self.request_missing_list(now);
        }
        self.process_siblings(now);
    }

    fn process_siblings(&mut self, now: Micros) {
        while let Some(message) = self.siblings.as_mut().and_then(|siblings| siblings.received.pop_front()) {
            self.process_sibling_message(message, now);
        }
        self.share_bans_with_newcomers(now);
        self.save_merged_bans();
        self.answer_forwarded_kills(now);
    }

    fn process_sibling_message(&mut self, message: Message, now: Micros) {
        match message {
            // Took effect when it was received.
            Message::Hello { .. } => {}
            Message::Kill { from, token, connection } => self.kill_for_sibling(from, token, connection, now),
            Message::KillResult { from, token, found } => {
                if let Some(siblings) = &mut self.siblings {
                    siblings.kill_answered(token, from, found);
                }
            }
            Message::ListRequest { from, started_from: digest, last_event } => {
                self.send_list_to_sibling(from, StartList { digest, last_event }, now);
            }
            Message::List { from, last_event, executors } => {
                if let Some(siblings) = &mut self.siblings {
                    siblings.list_begins(from, last_event, executors);
                }
            }
            Message::ListEntry { from, target } => self.receive_list_entry(from, target, now),
            Message::Ban { executor, call } => self.merge_ban(&executor, call, now),
        }
    }
}
