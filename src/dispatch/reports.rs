//! What the network's reports come to.

use super::{Answer, Dispatch, Echo, End, Load, Order, Report, Ticket, Word};
use crate::api::{self, EndReason, Event, Micros, Outcome};
use crate::must;

impl<R> Dispatch<R> {
    /// What the network has to tell.
    pub fn report(&mut self, now: Micros, report: Report<R>) -> Vec<Order<R>> {
        match report {
            Report::Ended(ticket, end, load) => self.ended(now, ticket, end, load),
            Report::Begun(t) => {
                self.out(t).into_iter().for_each(|a| a.begun = true);
                Vec::new()
            }
            Report::AttemptProgressed(t, word) => {
                let Some(executor) = self.out(t).map(|a| a.executor) else { return Vec::new() };
                let progress_note = match word {
                    Word::Progress(x) => api::AttemptProgress::Progress(x),
                    Word::Spills(x) => api::AttemptProgress::Spill(x),
                    Word::Waits => api::AttemptProgress::Waits,
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
            Report::ProbeFinished(executor, echo, latency) => {
                let (outcome, load) = match echo {
                    Echo::Up(load) => (Outcome::Ok, load),
                    Echo::Down => (Outcome::Error, None),
                    Echo::Unreachable => (Outcome::ConnectFailed, None),
                    Echo::Unknown => (Outcome::Cancelled, None),
                    Echo::Silent => (Outcome::Timeout, None),
                };
                let report = load.map(Load::report);
                self.run(now, Event::ProbeFinished { executor, outcome, latency, report })
            }
            Report::Left(id) => match self.open.get_mut(&id) {
                Some(o) if !o.closed => {
                    (o.closed, o.left) = (true, true);
                    self.held.remove(&id);
                    self.tally.left += 1;
                    self.withdraw(id);
                    let mut orders = self.run(now, Event::ClientDisconnected { request: id });
                    self.forget(id);
                    orders.append(&mut self.orders);
                    orders
                }
                _ => Vec::new(),
            },
        }
    }
    fn ended(&mut self, now: Micros, t: Ticket, end: End<R>, load: Option<Load>) -> Vec<Order<R>> {
        // An attempt may end while the order to stop it is on its way: the stop was told, and once is enough.
        let Some(executor) = self.out(t).map(|a| a.executor) else { return Vec::new() };
        let outcome = match end {
            End::Served(result) => {
                match self.open.get_mut(&t.request) {
                    Some(o) if !o.closed => {
                        self.answer(now, t.request, Answer::Served(result), EndReason::Served);
                    }
                    Some(o) if o.left && self.follows => o.late = Some(result),
                    _ => {}
                }
                Outcome::Ok
            }
            End::Full => Outcome::Rejected,
            End::Void => Outcome::NotSent,
            End::Error => Outcome::Error,
            End::NeverSent => {
                self.tally.never_sent += 1;
                Outcome::ConnectFailed
            }
            End::Lost | End::Spoilt => {
                self.tally.lost += 1;
                tracing::info!(
                    request = format_args!("{:016x}", t.request),
                    attempt = t.attempt,
                    "attempt lost with its connection"
                );
                // A time-out is what the decisions know that may have run and blames nobody.
                if matches!(end, End::Lost) { Outcome::Reset } else { Outcome::Timeout }
            }
        };
        let event = self.finish(now, t, outcome, load);
        let whole = matches!(&event, Some(Event::AttemptFinished(f)) if f.executor == executor);
        must!(whole, "an attempt that was out has no end to tell");
        let mut orders = event.map_or_else(Vec::new, |e| self.run(now, e));
        self.forget(t.request);
        orders.append(&mut self.orders);
        orders
    }
}
