//! What has to be known of a request's class here.

use crate::api::{Class, Idempotency, KeyScope, Micros};

/// A budget may be this much above the class's whole deadline, in microseconds, for rounding; more is no valid budget.
const BUDGET_TOLERANCE: Micros = 1_000_000;

/// What has to be known of a request's class here.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestClass {
    /// Whether refusing a request is harmless whatever ran.
    pub(super) idempotent: bool,
    /// The span for which executors recognise a repeat, in microseconds, where an idempotency key makes repeats
    /// harmless.
    pub(super) repeat_window: Option<Micros>,
    /// The longest valid budget, in microseconds.
    pub(super) max_budget: Micros,
    /// Whether requests of a key run in order, and their clients space them.
    pub(super) keeps_order: bool,
}

impl RequestClass {
    /// What the settings say of a class.
    pub(super) fn of(class: &Class) -> RequestClass {
        let (idempotent, repeat_window) = match class.idempotency {
            Idempotency::Idempotent => (true, None),
            Idempotency::IdempotencyKey { scope, window } => (scope == KeyScope::All, Some(window)),
            Idempotency::NotIdempotent => (false, None),
        };
        RequestClass {
            idempotent,
            repeat_window,
            max_budget: class.client_timeout + BUDGET_TOLERANCE,
            keeps_order: class.keep_order,
        }
    }
}
