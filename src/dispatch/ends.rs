//! Time that passes, the one final answer of a request, and what is forgotten after it.

use super::open::Open;
use super::{Answer, BACKOFF_MS, Dispatch, Load, Order, Ticket};
use crate::api::{AttemptFinished, EndReason, Event, Micros, Outcome};
use crate::must;
use std::cmp::Reverse;

impl<R> Dispatch<R> {
    /// Lets time pass: timers, and requests whose time is over.
    pub fn tick(&mut self, now: Micros) -> Vec<Order<R>> {
        let mut orders = Vec::new();
        while let Some((_, token)) = self.wakes.peek().map(|Reverse(w)| *w).filter(|(t, _)| *t <= now) {
            self.wakes.pop();
            orders.append(&mut self.run(now, Event::Timer { token }));
        }
        orders.append(&mut self.expire_due(now));
        orders
    }

    /// Answers the requests whose time is over; all else that is due waits for [`Dispatch::tick`].
    pub fn expire_due(&mut self, now: Micros) -> Vec<Order<R>> {
        let mut orders = Vec::new();
        while let Some((at, id)) = self.deadlines.first().copied().filter(|(t, _)| *t <= now) {
            self.deadlines.remove(&(at, id));
            orders.append(&mut self.expire(now, id, EndReason::Deadline));
        }
        orders
    }

    /// This dispatcher gives up at this time: what takes longer is not begun, but refused at once.
    pub fn ends_at(&mut self, at: Micros) {
        self.dispatcher.set_shutdown_deadline(at);
    }

    /// Gives every request that is open its answer now: refused where that is harmless, else failed.
    pub fn give_up(&mut self, now: Micros) -> Vec<Order<R>> {
        let waiting: Vec<u64> = self.open.iter().filter(|(_, o)| !o.closed).map(|(id, _)| *id).collect();
        waiting.into_iter().flat_map(|id| self.close(now, id, EndReason::Stopping)).collect()
    }

    /// The right to act on a request is lost: what is out of it is called off, and its client told.
    pub fn let_go(&mut self, now: Micros, id: u64) -> Vec<Order<R>> {
        self.expire(now, id, EndReason::LeaseLost)
    }

    /// What is out of a request is given up and has timed out. Where its own time is over, nothing of it begins again.
    fn expire(&mut self, now: Micros, id: u64, reason: EndReason) -> Vec<Order<R>> {
        let over = reason == EndReason::Deadline;
        let Some(open) = self.open.get(&id) else { return Vec::new() };
        let out: Vec<u32> = open.all_out().collect();
        let mut orders = Vec::new();
        for attempt in out {
            let ticket = Ticket { request: id, attempt };
            self.tally.expired += 1;
            self.orders.push(Order::Stop(ticket));
            // What was stopped before its first byte never ran.
            let never = over && self.out(ticket).is_some_and(|a| !a.begun);
            let outcome = if never { Outcome::ConnectFailed } else { Outcome::Timeout };
            if let Some(event) = self.finish(now, ticket, outcome, None) {
                orders.append(&mut self.run(now, event));
            }
        }
        orders.append(&mut self.close(now, id, reason));
        self.forget(id);
        orders.append(&mut self.orders);
        orders
    }

    /// Ends a request whose answer the decisions did not give.
    fn close(&mut self, now: Micros, id: u64, reason: EndReason) -> Vec<Order<R>> {
        let Some(open) = self.open.get(&id).filter(|o| !o.closed) else { return Vec::new() };
        let harmless = open.safe || open.never_ran();
        self.held.remove(&id);
        let answer = if harmless { Answer::Refused(BACKOFF_MS) } else { Answer::Failed };
        self.answer(now, id, answer, reason);
        let orders = self.run(now, Event::ClientDisconnected { request: id });
        self.forget(id);
        orders
    }

    /// A request is over, answered or left: of what waits to be written for it nothing may begin any more. Called
    /// wherever a request is closed, whatever the decisions call off besides.
    pub(super) fn withdraw(&mut self, id: u64) {
        let out = self.open.get(&id).into_iter().flat_map(Open::all_out);
        let tickets = out.map(|attempt| Order::Withdraw(Ticket { request: id, attempt }));
        self.orders.extend(tickets);
    }

    /// Notes an attempt's end; the event that tells of it.
    pub(super) fn finish(
        &mut self,
        now: Micros,
        t: Ticket,
        outcome: Outcome,
        load: Option<Load>,
    ) -> Option<Event> {
        let done = self.open.get(&t.request)?.closed;
        let attempt = self.out(t)?;
        attempt.outcome = Some(outcome);
        let latency = now.saturating_sub(attempt.sent);
        let (request, attempt, executor) = (t.request, t.attempt, attempt.executor);
        let report = load.map(Load::report);
        let finished = AttemptFinished {
            request,
            attempt,
            executor,
            request_done: done,
            outcome,
            latency,
            reported_cost: None,
            report,
        };
        Some(Event::AttemptFinished(finished))
    }

    /// The one place that gives a final answer.
    pub(super) fn answer(&mut self, now: Micros, id: u64, answer: Answer<R>, reason: EndReason) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !must!(!open.closed, "a second answer") {
            return;
        }
        open.closed = true;
        open.log_end(now, id, &answer, reason);
        self.tally.ends.add(reason);
        match &answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused(_) => self.tally.refused += 1,
            Answer::Failed => self.tally.failed += 1,
        }
        self.withdraw(id);
        self.orders.push(Order::Answer(id, answer));
    }

    pub(super) fn forget(&mut self, id: u64) {
        if self.open.get(&id).is_some_and(Open::over)
            && let Some(open) = self.open.remove(&id)
        {
            self.deadlines.remove(&(open.deadline, id));
            if open.left && self.follows {
                let never_ran = open.never_ran();
                self.orders.push(Order::Past(id, open.late, never_ran));
            }
        }
    }
}
