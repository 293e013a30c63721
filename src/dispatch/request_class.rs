//! The properties of request classes that the facade needs.

use crate::api::{Class, Idempotency, KeyScope, Micros};

/// Tolerance for rounding by which a time budget may exceed the class's client timeout, in microseconds.
const BUDGET_TOLERANCE: Micros = 1_000_000;

/// The properties of a request class that the facade needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestClass {
    /// Whether a retry by the client is harmless even if an attempt ran.
    pub(super) idempotent: bool,
    /// Time for which executors recognise a duplicate, in microseconds, in classes with idempotency keys.
    pub(super) dedup_window: Option<Micros>,
    /// The longest valid time budget, in microseconds.
    pub(super) max_budget: Micros,
    /// Whether requests with the same key run in order, and clients space them.
    pub(super) keeps_order: bool,
}

impl RequestClass {
    /// Derives the properties from the settings of a class.
    pub(super) fn new(class: &Class) -> RequestClass {
        let (idempotent, dedup_window) = match class.idempotency {
            Idempotency::Idempotent => (true, None),
            Idempotency::IdempotencyKey { scope, window } => (scope == KeyScope::All, Some(window)),
            Idempotency::NotIdempotent => (false, None),
        };
        RequestClass {
            idempotent,
            dedup_window,
            max_budget: class.client_timeout + BUDGET_TOLERANCE,
            keeps_order: class.keep_order,
        }
    }
}
