//! Submits, holds or rejects requests.

use super::client_request::{arrival, dispatch_time_budget};
use super::pending_request::PendingRequest;
use super::request_class::RequestClass;
use super::{Answer, BACKOFF_MS, Command, Dispatch, Request, settings_for_sockets};
use crate::api::{EndReason, Event, Micros, Settings, SettingsError};
use crate::check_invariant;
use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Priority of attempts for which the balancer has not set one.
const DEFAULT_PRIORITY: u8 = 1;

/// Why a request is invalid. This is an error of the client, which gets the text as its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The class is not configured.
    UnknownClass,
    /// The time budget is zero or longer than the class allows.
    InvalidBudget,
    /// The id was already used.
    ReusedId,
}

impl SubmitError {
    /// The error message for the client.
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
    /// Validates the class, the time budget and the id of a request.
    fn validate(&mut self, request: &Request) -> Result<RequestClass, SubmitError> {
        let class = *self.classes.get(request.class).ok_or(SubmitError::UnknownClass)?;
        if request.client_timeout == 0 || request.client_timeout > class.max_budget {
            return Err(SubmitError::InvalidBudget);
        }
        // Every request has a new id, including retries. Accepting an id again, pending or not, could run a request
        // twice that must not, and mix up the two answers.
        if self.recent_ids.put(request.id, ()).is_some() || self.pending.contains_key(&request.id) {
            return Err(SubmitError::ReusedId);
        }
        Ok(class)
    }

    /// Counts a request as rejected without consulting the balancer. It never ran, so a retry is harmless.
    ///
    /// # Errors
    /// The request is invalid.
    pub fn reject(&mut self, request: &Request, reason: EndReason) -> Result<(), SubmitError> {
        self.validate(request)?;
        self.counters.taken += 1;
        self.counters.refused += 1;
        self.counters.ends.add(reason);
        tracing::debug!(request = format_args!("{:016x}", request.id), %reason, "request refused on arrival");
        Ok(())
    }

    /// Submits a request. The commands returned here and later send, queue or answer it.
    ///
    /// # Errors
    /// The request is invalid.
    pub fn submit(&mut self, now: Micros, request: &Request) -> Result<Vec<Command<R>>, SubmitError> {
        self.adopt(now, request, 0, None)
    }

    /// Submits a request of a lost dispatcher, which had made `earlier_attempts` attempts and had admitted it under the
    /// settings `admitted_under`, if they differ from the current ones.
    ///
    /// # Errors
    /// The request is invalid.
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
            check_invariant!(restored.is_ok(), "the previous settings were rejected");
        }
        Ok(commands)
    }

    /// Replaces the settings. Classes, tenants and executor kinds must be the same. Pending requests complete under the
    /// settings that admitted them.
    ///
    /// # Errors
    /// The new settings are invalid; the previous ones stay in effect.
    pub fn update_settings(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let settings = settings_for_sockets(settings);
        let retry_start_window = settings.retry_budget.map(|budget| budget.send_delay);
        self.balancer.update_settings(settings).map(drop)?;
        self.retry_start_window = retry_start_window;
        Ok(())
    }

    /// Submits a request that is passed to the balancer later, once the peers agree. It is pending from now on: it
    /// counts as an open request, its id is used, and its deadline is that of a request submitted now. If too many
    /// requests are open, it is rejected at once and not held.
    ///
    /// The caller that holds a request should call [`Dispatch::admit`] or [`Dispatch::answer_held`] once; no other
    /// caller may do so for its id. The call may be made at any time, and is not required:
    ///
    /// - At its deadline, [`Dispatch::tick`] rejects the request with a backoff, which is harmless because it had no
    ///   attempt. [`Dispatch::release`] and [`Dispatch::end_all`] do the same before the deadline.
    /// - If its client disconnects, the request ends without an answer.
    ///
    /// After any of these events the request is no longer held, and either call does nothing.
    ///
    /// # Errors
    /// The request is invalid, as in [`Dispatch::submit`].
    pub fn hold(&mut self, now: Micros, request: &Request) -> Result<Vec<Command<R>>, SubmitError> {
        if !self.accept(now, request, 0)? {
            self.held_requests.insert(request.id, request.clone());
        }
        Ok(std::mem::take(&mut self.commands))
    }

    /// Passes a held request to the balancer with the time left until its deadline. To be called once, by the caller
    /// that holds it; does nothing for an id that is not held. From its deadline on, the request is not passed on, and
    /// [`Dispatch::tick`] rejects it.
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

    /// Answers a held request without consulting the balancer. To be called once, by the caller that holds it; does
    /// nothing for an id that is not held. The caller may reject the request only if it never ran or may run twice. An
    /// answer after the deadline still counts if [`Dispatch::tick`] has not rejected the request yet.
    pub fn answer_held(&mut self, now: Micros, id: u64, answer: Answer<R>) -> Vec<Command<R>> {
        let held = self.held_requests.remove(&id).is_some();
        if held && self.pending.get(&id).is_some_and(|pending| !pending.closed) {
            self.answer(now, id, answer, EndReason::DecidedOutside);
            self.remove_if_finished(id);
        }
        std::mem::take(&mut self.commands)
    }

    /// Makes a valid request pending. Returns whether it was rejected at once because too many requests are open.
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
            deadline: now + dispatch_time_budget(request),
            idempotent: class.idempotent,
            dedup_window: class.dedup_window,
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
            self.answer(now, request.id, Answer::Rejected(BACKOFF_MS), EndReason::TooManyOpen);
            self.remove_if_finished(request.id);
        }
        Ok(too_many)
    }
}
