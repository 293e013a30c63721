//! What a dispatcher is told at its start: classes, kinds of machine, tenants, and what executors do.

use super::{Endpoint, KindId, Micros, ZoneId};

/// What may be done about an attempt whose fate is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated freely.
    Idempotent,
    /// Repeats are dropped inside a group of executors, for a while.
    IdempotencyKey {
        /// The executors that drop each other's repeats.
        scope: KeyScope,
        /// For how long after the first attempt that may have run.
        window: Micros,
    },
    /// Must not run twice.
    NotIdempotent,
}

/// Which executors drop repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Any executor.
    All,
    /// Executors of the same zone.
    Zone,
    /// Executors of the same cell.
    Cell,
}

impl KeyScope {
    /// Whether two executors are of one group.
    pub fn holds(self, a: &Endpoint, b: &Endpoint) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => a.zone == b.zone,
            KeyScope::Cell => a.cell == b.cell,
        }
    }
}

/// A class of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `aim_stretch`, earns the whole worth.
    pub latency_objective: Micros,
    /// The aim grows by this times the request's work over its threads.
    pub latency_objective_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of one answer.
    pub priority_weight: f64,
    /// Share of the worth that a late answer still earns.
    pub late_priority_weight: f64,
    /// Threads that a request runs on.
    pub threads: u32,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// Requests of one key run one at a time.
    pub keep_order: bool,
    /// It holds its table group on its executor while it runs.
    pub loads: bool,
    /// It stands still where a load holds its table group.
    pub yields_to_loads: bool,
    /// The only zones allowed, if bound.
    pub only_zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine allowed, if bound.
    pub only_kinds: Option<Vec<KindId>>,
}

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Cores.
    pub cores: f64,
    /// Memory in MB; 0 if unknown.
    pub memory_mb: f64,
}

/// A tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all dispatchers, inside its share.
    pub quota_per_s: f64,
}

/// What happens when grants pass an executor's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The request waits in the executor's line.
    Queue,
    /// It gets what is left, and spills.
    Trim,
    /// It is let in and everything slows down.
    Swap,
}

/// How executors report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    /// Inside outcomes and probe results.
    Inline,
    /// Inside probe results only.
    OnProbe,
    /// Not at all.
    Off,
}

/// The attempt budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Further attempts allowed in every window whatever the traffic.
    pub free: f64,
    /// Further attempts allowed for each request taken in the window.
    pub ratio: f64,
    /// Length of the window.
    pub span: Micros,
    /// An attempt may reach its executor so much after it was decided, and the window is counted there.
    pub slack: Micros,
}

/// The cold-executor rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// An executor starts at this share of its capacity or more.
    pub initial_fraction: f64,
    /// It is warm this long after its start.
    pub ramp: Micros,
    /// Sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long, it falls over.
    pub overload_window: Micros,
}

/// All that a dispatcher is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Dispatchers in this tier.
    pub dispatchers: u32,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of zones.
    pub zones: usize,
    /// This dispatcher's zone.
    pub zone: ZoneId,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_quota_weight: f64,
    /// Price of an attempt that crosses zones, in points of service for each first try.
    pub cross_zone_price: f64,
    /// Price of a probe, in points of service for each first try.
    pub probe_price: f64,
    /// Price of a new connection, in the same.
    pub handshake_price: f64,
    /// Load reports.
    pub reports: Reports,
    /// The executor list must be asked for.
    pub list_must_be_polled: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub hedging: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// The longest wait that a client will follow; `None` where advice is not passed on.
    pub max_retry_after: Option<Micros>,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Share of an executor's memory that one request gets at most.
    pub max_grant_fraction: f64,
    /// What a shortage of memory does.
    pub memory_shortage: MemoryShortage,
    /// Pace of progress notes; `None` where there are none.
    pub progress: Option<Micros>,
    /// Answers tell what a request cost.
    pub reports_cost: bool,
    /// The attempt budget, where one is stated.
    pub budget: Option<RetryBudget>,
    /// The cold-executor rule.
    pub slow_start: SlowStart,
    /// Nothing new may go to an executor this long after word that it drains or is gone.
    pub drain_grace: Micros,
    /// How long a key rests after an attempt that may still run.
    pub key_quiet: Option<Micros>,
    /// Shortest time between two batches of events.
    pub step: Micros,
}
