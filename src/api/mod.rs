//! The interface of the balancer: its settings, the events that its host hands to it, and the actions that
//! come back. It decides nothing.
//!
//! Classes, tenants, zones and kinds of machine are indices into the lists of [`Settings`]; their names
//! stay with the host. All points in time and spans are whole microseconds.

mod action;
mod end_reason;
mod event;
mod executors;
mod settings;
mod validation;

pub use action::Action;
pub use end_reason::{EndCounts, EndReason};
pub use event::{Arrival, AttemptFinished, AttemptProgress, Event, Outcome, ReportedCost};
pub use executors::{Endpoint, EndpointListKind, Readiness, Report};
pub use settings::{
    Class, Idempotency, KeyScope, Kind, MemoryShortage, Reports, RetryBudget, Settings, SlowStart, Tenant,
};
pub use validation::{ClassError, SettingsError, check};

/// A point in time or a span, in microseconds. [`TimestampUs`] and [`DurationUs`] say which of the two.
pub type Micros = u64;
/// A point in time, in microseconds of the host's monotonic clock.
pub type TimestampUs = Micros;
/// A span of time, in microseconds.
pub type DurationUs = Micros;
/// Index into [`Settings::classes`].
pub type ClassId = usize;
/// Index into [`Settings::tenants`].
pub type TenantId = usize;
/// Index of a zone, below [`Settings::zones`].
pub type ZoneId = usize;
/// Index into [`Settings::kinds`].
pub type KindId = usize;
/// An executor, by the id that the endpoint list gives it. The id says nothing of its zone, kind or age.
pub type ExecutorId = u32;
/// A request; never used twice.
pub type RequestId = u64;
