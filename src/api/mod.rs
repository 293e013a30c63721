//! The interface of the balancer: its settings, the events that it takes and the actions that it returns.
//! This module contains no decisions.
//!
//! Classes, tenants, zones and kinds of machine are indices into the lists of [`Settings`]; only the host
//! knows their names. All timestamps and durations are whole microseconds.

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

/// A timestamp or a duration, in microseconds; [`TimestampUs`] and [`DurationUs`] are the specific types.
pub type Micros = u64;
/// A timestamp, in microseconds of the host's monotonic clock.
pub type TimestampUs = Micros;
/// A duration, in microseconds.
pub type DurationUs = Micros;
/// Index into [`Settings::classes`].
pub type ClassId = usize;
/// Index into [`Settings::tenants`].
pub type TenantId = usize;
/// Index of a zone, below [`Settings::zones`].
pub type ZoneId = usize;
/// Index into [`Settings::kinds`].
pub type KindId = usize;
/// Id of an executor in the endpoint list. It carries no information about zone, kind or age.
pub type ExecutorId = u32;
/// Id of a request; never reused.
pub type RequestId = u64;
