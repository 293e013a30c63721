//! How a request is taken in, held or turned away.

use super::open::Open;
use super::request::{arrival, time_budget};
use super::{Answer, BACKOFF_MS, Class, Dispatch, Order, Request, on_sockets};
use crate::api::{EndReason, Event, Micros, Settings, SettingsError};
use crate::must;

impl<R> Dispatch<R> {
    /// Whether a request can be taken at all: its class, its budget, and an id that was not used.
    fn acceptable(&mut self, request: &Request) -> Result<Class, &'static str> {
        let class = *self.classes.get(request.class).ok_or("unknown class")?;
        if request.told == 0 || request.told > class.most_budget {
            return Err("a budget that no client of this class has");
        }
        // Ids are new with every request. One that comes again, open or not, is nobody's retry: it could run
        // what must not run twice, and its answer could be taken for the other's.
        if self.recent.put(request.id, ()).is_some() || self.open.contains_key(&request.id) {
            return Err("this id was used before");
        }
        Ok(class)
    }

    /// Takes a request in and refuses it in the same breath, before any decision: it never ran, so that refusing
    /// is harmless. Errors are those of [`Dispatch::pick`].
    pub fn turn_away(&mut self, request: &Request, reason: EndReason) -> Result<(), &'static str> {
        self.acceptable(request)?;
        self.tally.taken += 1;
        self.tally.refused += 1;
        self.tally.ends.add(reason);
        tracing::debug!(request = format_args!("{:016x}", request.id), %reason, "request refused on arrival");
        Ok(())
    }

    /// Takes a request in: it is sent, held or answered by what is returned here or later. An id that is
    /// still open is an error, as its answer could not be told from the other's.
    pub fn pick(&mut self, now: Micros, request: &Request) -> Result<Vec<Order<R>>, &'static str> {
        self.adopt(now, request, 0, None)
    }

    /// The same for a request that a lost dispatcher had in hand and tried so often already, and had admitted under
    /// these settings, if they were others.
    pub fn adopt(
        &mut self,
        now: Micros,
        request: &Request,
        before: usize,
        under: Option<&Settings>,
    ) -> Result<Vec<Order<R>>, &'static str> {
        if self.take(now, request, before)? {
            return Ok(std::mem::take(&mut self.orders));
        }
        let own = under.and_then(|s| self.dispatcher.update_settings(on_sockets(s.clone())).ok());
        let orders = self.run(now, arrival(request));
        if let Some(own) = own {
            let back = self.dispatcher.update_settings(own);
            must!(back.is_ok(), "own settings were in use");
        }
        Ok(orders)
    }

    /// Admits by other settings of the same classes, tenants and machines from now on; what is open ends as it was
    /// admitted. An error changes nothing.
    pub fn take_on(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let settings = on_sockets(settings);
        let slack = settings.retry_budget.map(|b| b.send_delay);
        self.dispatcher.update_settings(settings).map(drop)?;
        self.budget_slack = slack;
        Ok(())
    }

    /// Takes a request in that the decisions get later, once there is word of the fleet. It is open from now on:
    /// it counts among those that wait, its id is used up, and its deadline is that of a request picked now. Errors
    /// are those of [`Dispatch::pick`], and too many open requests refuse it at once, so that it is not held.
    ///
    /// Whoever holds a request owes it one call, of [`Dispatch::admit`] or of [`Dispatch::answer_held`]; nobody
    /// else may call either for its id. The call may come in the same breath or later, and none has to come:
    ///
    /// - at its deadline, [`Dispatch::tick`] refuses it with a time to come back, which is harmless, as no
    ///   attempt of it was made; so do [`Dispatch::let_go`] and [`Dispatch::give_up`] before that;
    /// - once its client has left ([`Report::Left`](super::Report::Left)) it is over, with no answer.
    ///
    /// After any of these it is held no more, and either call does nothing.
    pub fn hold(&mut self, now: Micros, request: &Request) -> Result<Vec<Order<R>>, &'static str> {
        if !self.take(now, request, 0)? {
            self.held.insert(request.id, request.clone());
        }
        Ok(std::mem::take(&mut self.orders))
    }

    /// A request that is held goes to the decisions, with what is left until its deadline; from here on it is as
    /// one that was picked. For whoever held it alone, and once: for an id that is not held it does nothing. At
    /// its deadline or later it does not go there any more, and [`Dispatch::tick`] refuses it.
    pub fn admit(&mut self, now: Micros, id: u64) -> Vec<Order<R>> {
        let Some(request) = self.held.remove(&id) else { return Vec::new() };
        match self.open.get(&id).filter(|o| !o.closed).map(|o| o.deadline) {
            Some(deadline) if now < deadline => {
                let mut event = arrival(&request);
                if let Event::Arrival(a) = &mut event {
                    a.time_budget = deadline - now;
                }
                self.run(now, event)
            }
            _ => Vec::new(),
        }
    }

    /// A request that is held has its answer, which the decisions neither gave nor hear of. For whoever held it
    /// alone, and once: for an id that is not held it does nothing. The answer has to be true by itself: refused
    /// only where it never ran or may run twice. What is given to a request past its deadline still counts if
    /// [`Dispatch::tick`] has not refused it yet.
    pub fn answer_held(&mut self, now: Micros, id: u64, answer: Answer<R>) -> Vec<Order<R>> {
        if self.held.remove(&id).is_some() && self.open.get(&id).is_some_and(|o| !o.closed) {
            self.answer(now, id, answer, EndReason::Elsewhere);
            self.forget(id);
        }
        std::mem::take(&mut self.orders)
    }

    /// Takes a request in; whether it was refused at once, as too many are open.
    fn take(&mut self, now: Micros, request: &Request, before: usize) -> Result<bool, &'static str> {
        let Class { safe, window, .. } = self.acceptable(request)?;
        self.tally.taken += 1;
        let open = Open {
            arrived: now,
            deadline: now + time_budget(request),
            safe,
            window,
            closed: false,
            left: false,
            late: None,
            before,
            memory_mb: 0.0,
            priority: 1,
            attempts: Vec::new(),
        };
        let full = self.waiting() >= self.most_held;
        self.deadlines.insert((open.deadline, request.id));
        self.open.insert(request.id, open);
        if full {
            self.answer(now, request.id, Answer::Refused(BACKOFF_MS), EndReason::TooManyOpen);
            self.forget(request.id);
        }
        Ok(full)
    }
}
