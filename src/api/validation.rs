//! Validation of settings.

use super::{Class, ClassId, Settings};
use std::fmt;

/// Maximum number of classes: a set of classes is stored as a 64-bit mask.
const MAX_CLASSES: usize = 64;

/// Why settings are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingsError {
    /// The number of dispatchers is zero.
    NoDispatchers,
    /// There are no request classes.
    NoClasses,
    /// There are more than 64 request classes.
    TooManyClasses,
    /// This dispatcher's zone is not one of the zones.
    UnknownOwnZone,
    /// The number of cores of a kind of machine is zero, negative or not finite.
    KindCores,
    /// The memory of a kind of machine is negative or not finite.
    KindMemory,
    /// The quota of a tenant is negative or not finite.
    TenantQuota,
    /// A class is invalid.
    Class {
        /// The class.
        class: ClassId,
        /// Why it is invalid.
        error: ClassError,
    },
    /// A value of the slow-start settings is negative or not finite.
    SlowStart,
    /// A value of the retry budget is negative or not finite.
    RetryBudget,
    /// A price, or the weight of requests over their tenant's quota, is negative or not finite.
    Price,
    /// The maximum memory grant is negative or not finite.
    MaxGrantFraction,
}

/// Why a class is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClassError {
    /// The stretch of its latency objective or one of its weights is negative or not finite.
    BadNumber,
    /// Its requests run on zero threads.
    NoThreads,
    /// Its client timeout is zero.
    NoDeadline,
    /// It is restricted to a zone that does not exist.
    UnknownZone,
    /// It is restricted to a kind of machine that does not exist.
    UnknownKind,
}

/// The host shows these messages unchanged, so they use the terms of its settings: a dispatcher is a gateway, an
/// executor an engine, a priority weight a worth, and the retry budget the attempt budget.
impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("settings: ")?;
        match self {
            SettingsError::NoDispatchers => f.write_str("number of gateways is zero"),
            SettingsError::NoClasses => f.write_str("no class"),
            SettingsError::TooManyClasses => write!(f, "more than {MAX_CLASSES} classes"),
            SettingsError::UnknownOwnZone => f.write_str("own zone is unknown"),
            SettingsError::KindCores => f.write_str("cores of a kind are not positive"),
            SettingsError::KindMemory => f.write_str("memory of a kind is negative or not finite"),
            SettingsError::TenantQuota => f.write_str("quota of a tenant is negative or not finite"),
            SettingsError::Class { class, error } => write!(f, "class {class}: {error}"),
            SettingsError::SlowStart => f.write_str("cold-engine rule: negative or non-finite number"),
            SettingsError::RetryBudget => f.write_str("attempt budget: bad number"),
            SettingsError::Price => f.write_str("worth or price: bad number"),
            SettingsError::MaxGrantFraction => f.write_str("most grant: bad number"),
        }
    }
}

impl fmt::Display for ClassError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ClassError::BadNumber => "negative or non-finite number",
            ClassError::NoThreads => "no threads",
            ClassError::NoDeadline => "no deadline",
            ClassError::UnknownZone => "unknown zone",
            ClassError::UnknownKind => "unknown kind",
        })
    }
}

impl std::error::Error for SettingsError {}

impl std::error::Error for ClassError {}

/// Validates settings.
///
/// # Errors
/// The first violation found.
pub fn check(settings: &Settings) -> Result<(), SettingsError> {
    check_tier(settings)?;
    check_machines_and_tenants(settings)?;
    for (class, entry) in settings.classes.iter().enumerate() {
        check_class(settings, entry).map_err(|error| SettingsError::Class { class, error })?;
    }
    check_rules(settings)
}

fn check_tier(settings: &Settings) -> Result<(), SettingsError> {
    require(settings.dispatchers > 0, SettingsError::NoDispatchers)?;
    require(!settings.classes.is_empty(), SettingsError::NoClasses)?;
    require(settings.classes.len() <= MAX_CLASSES, SettingsError::TooManyClasses)?;
    require(settings.zone < settings.zones, SettingsError::UnknownOwnZone)
}

fn check_machines_and_tenants(settings: &Settings) -> Result<(), SettingsError> {
    let has_cores = settings.kinds.iter().all(|kind| is_amount(kind.cores) && kind.cores > 0.0);
    require(has_cores, SettingsError::KindCores)?;
    let has_memory = settings.kinds.iter().all(|kind| is_amount(kind.memory_mb));
    require(has_memory, SettingsError::KindMemory)?;
    let has_quota = settings.tenants.iter().all(|tenant| is_amount(tenant.quota_per_s));
    require(has_quota, SettingsError::TenantQuota)
}

fn check_class(settings: &Settings, class: &Class) -> Result<(), ClassError> {
    let numbers = [class.latency_objective_stretch, class.priority_weight, class.late_priority_weight];
    require(numbers.into_iter().all(is_amount), ClassError::BadNumber)?;
    require(class.threads > 0, ClassError::NoThreads)?;
    require(class.client_timeout > 0, ClassError::NoDeadline)?;
    let zones_known = class.only_zones.iter().flatten().all(|zone| *zone < settings.zones);
    require(zones_known, ClassError::UnknownZone)?;
    let kinds_known = class.only_kinds.iter().flatten().all(|kind| *kind < settings.kinds.len());
    require(kinds_known, ClassError::UnknownKind)
}

fn check_rules(settings: &Settings) -> Result<(), SettingsError> {
    let slow_start = &settings.slow_start;
    let slow_start_numbers = [slow_start.initial_fraction, slow_start.overload_factor];
    require(slow_start_numbers.into_iter().all(is_amount), SettingsError::SlowStart)?;
    let is_budget_sane = settings
        .retry_budget
        .is_none_or(|budget| is_amount(budget.base_retries) && is_amount(budget.retries_per_request));
    require(is_budget_sane, SettingsError::RetryBudget)?;
    let prices = [
        settings.over_quota_weight,
        settings.cross_zone_price,
        settings.probe_price,
        settings.handshake_price,
    ];
    require(prices.into_iter().all(is_amount), SettingsError::Price)?;
    require(is_amount(settings.max_grant_fraction), SettingsError::MaxGrantFraction)
}

fn require<E>(holds: bool, error: E) -> Result<(), E> {
    if holds { Ok(()) } else { Err(error) }
}

/// Whether a number is finite and not negative.
fn is_amount(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
