//! What the network's reports come to.

use super::{
    Answer, AttemptEnd, AttemptId, AttemptProgress, Command, Dispatch, LoadReport, NetworkEvent, ProbeOutcome,
};
use crate::api::{self, EndReason, Event, Micros, Outcome};
use crate::must;

impl<R> Dispatch<R> {
    /// What the network has to tell.
    pub fn handle(&mut self, now: Micros, report: NetworkEvent<R>) -> Vec<Command<R>> {
        match report {
            NetworkEvent::AttemptEnded(attempt_id, end, load) => self.ended(now, attempt_id, end, load),
            NetworkEvent::AttemptBegun(t) => {
                self.outstanding(t).into_iter().for_each(|a| a.begun = true);
                Vec::new()
            }
            NetworkEvent::AttemptProgressed(t, word) => {
                let Some(executor) = self.outstanding(t).map(|a| a.executor) else { return Vec::new() };
                let progress_note = match word {
                    AttemptProgress::Progress(x) => api::AttemptProgress::Progress(x),
                    AttemptProgress::Spill(x) => api::AttemptProgress::Spill(x),
                    AttemptProgress::Waits => api::AttemptProgress::Waits,
                };
                self.run(
                    now,
                    Event::AttemptProgressed {
                        request: t.request,
                        attempt: t.attempt,
                        executor,
                        progress_note,
                    },
                )
            }
            NetworkEvent::ProbeFinished(executor, echo, latency) => {
                let (outcome, load) = match echo {
                    ProbeOutcome::Up(load) => (Outcome::Ok, load),
                    ProbeOutcome::Down => (Outcome::Error, None),
                    ProbeOutcome::Unreachable => (Outcome::ConnectFailed, None),
                    ProbeOutcome::Unknown => (Outcome::Cancelled, None),
                    ProbeOutcome::TimedOut => (Outcome::Timeout, None),
                };
                self.run(now, Event::ProbeFinished { executor, outcome, latency, report: load })
            }
            NetworkEvent::ClientDisconnected(id) => match self.pending.get_mut(&id) {
                Some(o) if !o.closed => {
                    (o.closed, o.left) = (true, true);
                    self.held_requests.remove(&id);
                    self.counters.left += 1;
                    self.withdraw(id);
                    let mut commands = self.run(now, Event::ClientDisconnected { request: id });
                    self.forget(id);
                    commands.append(&mut self.commands);
                    commands
                }
                _ => Vec::new(),
            },
        }
    }
    fn ended(
        &mut self,
        now: Micros,
        t: AttemptId,
        end: AttemptEnd<R>,
        load: Option<LoadReport>,
    ) -> Vec<Command<R>> {
        // An attempt may end while the order to stop it is on its way: the stop was told, and once is enough.
        let Some(executor) = self.outstanding(t).map(|a| a.executor) else { return Vec::new() };
        let outcome = match end {
            AttemptEnd::Served(result) => {
                match self.pending.get_mut(&t.request) {
                    Some(o) if !o.closed => {
                        self.answer(now, t.request, Answer::Served(result), EndReason::Served);
                    }
                    Some(o) if o.left && self.reports_abandoned => o.late_result = Some(result),
                    _ => {}
                }
                Outcome::Ok
            }
            AttemptEnd::Rejected => Outcome::Rejected,
            AttemptEnd::NotRun => Outcome::NotSent,
            AttemptEnd::Error => Outcome::Error,
            AttemptEnd::NeverSent => {
                self.counters.never_sent += 1;
                Outcome::ConnectFailed
            }
            AttemptEnd::ConnectionLost | AttemptEnd::ConnectionUnusable => {
                self.counters.lost += 1;
                tracing::info!(
                    request = format_args!("{:016x}", t.request),
                    attempt = t.attempt,
                    "attempt lost with its connection"
                );
                // A time-out is what the decisions know that may have run and blames nobody.
                if matches!(end, AttemptEnd::ConnectionLost) { Outcome::Reset } else { Outcome::Timeout }
            }
        };
        let event = self.finish(now, t, outcome, load);
        let whole = matches!(&event, Some(Event::AttemptFinished(f)) if f.executor == executor);
        must!(whole, "an attempt that was outstanding has no end to tell");
        let mut commands = event.map_or_else(Vec::new, |e| self.run(now, e));
        self.forget(t.request);
        commands.append(&mut self.commands);
        commands
    }
}
