//! How a request is submitted, held or rejected.

use super::client_request::{arrival, time_budget};
use super::pending_request::PendingRequest;
use super::request_class::RequestClass;
use super::{Answer, BACKOFF_MS, Command, Dispatch, Request, settings_for_sockets};
use crate::api::{EndReason, Event, Micros, Settings, SettingsError};
use crate::must;
use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// The priority of attempts for which the decisions set no other.
const DEFAULT_PRIORITY: u8 = 1;

/// Why a request can't be accepted at all: its client's mistake, which is answered with this text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The settings have no such class.
    UnknownClass,
    /// The budget is zero, or longer than the class allows.
    InvalidBudget,
    /// The id was used before.
    ReusedId,
}

impl SubmitError {
    /// The text for the client.
    pub fn text(self) -> &'static str {
        match self {
            SubmitError::UnknownClass => "unknown class",
            SubmitError::InvalidBudget => "a budget that no client of this class has",
            SubmitError::ReusedId => "this id was used before",
        }
    }
}

impl Display for SubmitError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.text())
    }
}

impl Error for SubmitError {}

impl<R> Dispatch<R> {
    /// Checks whether a request can be accepted at all: its class, its budget, and an id that was not used.
    fn validate(&mut self, request: &Request) -> Result<RequestClass, SubmitError> {
        let class = *self.classes.get(request.class).ok_or(SubmitError::UnknownClass)?;
        if request.client_wait == 0 || request.client_wait > class.max_budget {
            return Err(SubmitError::InvalidBudget);
        }
        // Ids are new with every request, retries too. One that comes again, pending or not, would run what must not
        // run twice, and its answer would be taken for the other's: so it is an error.
        if self.recent_ids.put(request.id, ()).is_some() || self.pending.contains_key(&request.id) {
            return Err(SubmitError::ReusedId);
        }
        Ok(class)
    }

    /// Counts a request as refused before any decision: it never ran, so a retry is harmless. Errors if it is not
    /// valid.
    pub fn reject(&mut self, request: &Request, reason: EndReason) -> Result<(), SubmitError> {
        self.validate(request)?;
        self.counters.taken += 1;
        self.counters.refused += 1;
        self.counters.ends.add(reason);
        tracing::debug!(request = format_args!("{:016x}", request.id), %reason, "request refused on arrival");
        Ok(())
    }

    /// Submits a request: it is sent, queued or answered by the commands that this returns or that come later. Errors
    /// if it is not valid.
    pub fn submit(&mut self, now: Micros, request: &Request) -> Result<Vec<Command<R>>, SubmitError> {
        self.adopt(now, request, 0, None)
    }

    /// Submits a request that a lost dispatcher held, which made `earlier_attempts` of it and had admitted it under
    /// `admitted_under`, if those settings were others. Errors if it is not valid.
    pub fn adopt(
        &mut self,
        now: Micros,
        request: &Request,
        earlier_attempts: usize,
        admitted_under: Option<&Settings>,
    ) -> Result<Vec<Command<R>>, SubmitError> {
        if self.accept(now, request, earlier_attempts)? {
            return Ok(std::mem::take(&mut self.commands));
        }
        let own_settings = admitted_under
            .and_then(|settings| self.balancer.update_settings(settings_for_sockets(settings.clone())).ok());
        let commands = self.run(now, arrival(request));
        if let Some(settings) = own_settings {
            let restored = self.balancer.update_settings(settings);
            must!(restored.is_ok(), "own settings were in use");
        }
        Ok(commands)
    }

    /// Decides by other settings of the same classes, tenants and executor kinds from now on; what is pending ends as
    /// it was admitted. An error changes nothing.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let settings = settings_for_sockets(settings);
        let retry_start_window = settings.retry_budget.map(|budget| budget.send_delay);
        self.balancer.update_settings(settings).map(drop)?;
        self.retry_start_window = retry_start_window;
        Ok(())
    }

    /// Submits a request that the decisions get later, once the peers agree. It is pending from now on: it counts
    /// among the open requests, its id is used up, and its deadline is that of a request submitted now. Errors are
    /// those of [`Dispatch::submit`]. Where too many requests are open it is refused at once, and not held.
    ///
    /// Whoever holds a request owes it one call, of [`Dispatch::admit`] or of [`Dispatch::answer_held`]; nobody
    /// else may call either for its id. The call may come at once or later, and none has to come:
    ///
    /// - at its deadline, [`Dispatch::tick`] refuses it with a backoff, which is harmless, as no attempt of it was
    ///   made; so do [`Dispatch::release`] and [`Dispatch::end_all`] before that;
    /// - once its client has disconnected it is over, with no answer.
    ///
    /// After any of these it is held no more, and either call does nothing.
    pub fn hold(&mut self, now: Micros, request: &Request) -> Result<Vec<Command<R>>, SubmitError> {
        if !self.accept(now, request, 0)? {
            self.held_requests.insert(request.id, request.clone());
        }
        Ok(std::mem::take(&mut self.commands))
    }

    /// Submits a held request to the decisions, with what is left until its deadline. For whoever held it alone, and
    /// once: for an id that is not held it does nothing. At its deadline or later it is not submitted any more, and
    /// [`Dispatch::tick`] refuses it.
    pub fn admit(&mut self, now: Micros, id: u64) -> Vec<Command<R>> {
        let Some(request) = self.held_requests.remove(&id) else { return Vec::new() };
        let Some(pending) = self.pending.get(&id).filter(|pending| !pending.closed) else {
            return Vec::new();
        };
        let time_left = pending.deadline.saturating_sub(now);
        if time_left == 0 {
            return Vec::new();
        }
        let mut event = arrival(&request);
        if let Event::Arrival(arrival) = &mut event {
            arrival.time_budget = time_left;
        }
        self.run(now, event)
    }

    /// Answers a held request without the decisions. For whoever held it alone, and once: for an id that is not held
    /// it does nothing. The answer has to be true by itself: refused only where it never ran or may run twice. An
    /// answer past the deadline still counts if [`Dispatch::tick`] has not refused the request yet.
    pub fn answer_held(&mut self, now: Micros, id: u64, answer: Answer<R>) -> Vec<Command<R>> {
        let held = self.held_requests.remove(&id).is_some();
        if held && self.pending.get(&id).is_some_and(|pending| !pending.closed) {
            self.answer(now, id, answer, EndReason::DecidedOutside);
            self.forget(id);
        }
        std::mem::take(&mut self.commands)
    }

    /// Makes a valid request pending; whether it was refused at once, as too many are open.
    fn accept(
        &mut self,
        now: Micros,
        request: &Request,
        earlier_attempts: usize,
    ) -> Result<bool, SubmitError> {
        let class = self.validate(request)?;
        self.counters.taken += 1;
        let pending = PendingRequest {
            submitted_at: now,
            deadline: now + time_budget(request),
            idempotent: class.idempotent,
            repeat_window: class.repeat_window,
            closed: false,
            client_disconnected: false,
            late_result: None,
            earlier_attempts,
            memory_mb: 0.0,
            priority: DEFAULT_PRIORITY,
            attempts: Vec::new(),
        };
        let too_many = self.open_requests() >= self.max_open_requests;
        self.deadlines.insert((pending.deadline, request.id));
        self.pending.insert(request.id, pending);
        if too_many {
            self.answer(now, request.id, Answer::Refused(BACKOFF_MS), EndReason::TooManyOpen);
            self.forget(request.id);
        }
        Ok(too_many)
    }
}
