//! Settings of the balancer: request classes, kinds of machine, tenants, and the features of executors.

use super::{DurationUs, Endpoint, KindId, ZoneId};

/// Whether a request may be retried after an attempt of it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// A group of executors deduplicates attempts by idempotency key for a limited time.
    IdempotencyKey {
        /// The executors that share deduplication state.
        scope: KeyScope,
        /// How long duplicates are recognised, from the first attempt that may have run.
        window: DurationUs,
    },
    /// It must not run twice.
    NotIdempotent,
}

/// The executors that recognise each other's idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All executors.
    All,
    /// Executors in the same zone.
    Zone,
    /// Executors in the same cell.
    Cell,
}

impl KeyScope {
    /// Whether two executors share idempotency keys.
    pub fn is_shared_by(self, a: &Endpoint, b: &Endpoint) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => a.zone == b.zone,
            KeyScope::Cell => a.cell == b.cell,
        }
    }
}

/// A request class.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time of arrival, plus the stretch, scores the full priority weight.
    pub latency_objective: DurationUs,
    /// The latency objective grows by this multiple of the request's expected run time (cost over threads).
    pub latency_objective_stretch: f64,
    /// Total time that a client waits, including its own retries.
    pub client_timeout: DurationUs,
    /// Score of one answer within the latency objective, in service points.
    pub priority_weight: f64,
    /// Fraction of the weight that a late answer still scores.
    pub late_priority_weight: f64,
    /// Threads that a request runs on.
    pub threads: u32,
    /// Whether its requests may be retried after they may have run.
    pub idempotency: Idempotency,
    /// Whether requests with the same key run one at a time, in order of arrival.
    pub keep_order: bool,
    /// Whether its requests load data, which locks their table group on the executor while they run.
    pub loads: bool,
    /// Whether its requests wait on an executor whose copy of their table group is locked by a load.
    pub yields_to_loads: bool,
    /// The only zones allowed, if restricted.
    pub only_zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine allowed, if restricted.
    pub only_kinds: Option<Vec<KindId>>,
}

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Number of cores.
    pub cores: f64,
    /// Memory in MB; 0 if unknown.
    pub memory_mb: f64,
}

/// A tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second over all dispatchers.
    pub quota_per_s: f64,
}

/// How an executor behaves when memory grants exceed its memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The request waits in the executor's queue.
    Queue,
    /// The request gets the memory that is left and spills to disk.
    Trim,
    /// The request starts, and everything on the executor slows down.
    Swap,
}

/// How executors report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    /// In responses and in probe results.
    Inline,
    /// In probe results only.
    OnProbe,
    /// Never.
    Off,
}

/// The retry budget: a limit on attempts beyond each request's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in every window regardless of traffic.
    pub base_retries: f64,
    /// Retries allowed for each request that arrived in the window.
    pub retries_per_request: f64,
    /// Length of the sliding window.
    pub window: DurationUs,
    /// Maximum delay between a decision and the attempt's arrival at the executor, where the window is measured.
    pub send_delay: DurationUs,
}

/// Slow start of recently started executors, and the load at which they fail in that phase.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// Minimum fraction of its capacity that an executor starts with.
    pub initial_fraction: f64,
    /// Time from its start until an executor has its full capacity.
    pub ramp: DurationUs,
    /// An executor fails if it is sent more than this multiple of its current capacity within `overload_window`.
    pub overload_factor: f64,
    /// The window of `overload_factor`; 0 if executors do not fail from overload.
    pub overload_window: DurationUs,
}

/// Settings of a dispatcher's balancer.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of dispatchers in this tier.
    pub dispatchers: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of zones.
    pub zones: usize,
    /// This dispatcher's zone.
    pub zone: ZoneId,
    /// Factor on the priority weight of requests over their tenant's quota.
    pub over_quota_weight: f64,
    /// Price of an attempt that crosses zones, in service points.
    pub cross_zone_price: f64,
    /// Price of a probe, in service points.
    pub probe_price: f64,
    /// Price of a new connection, in service points.
    pub handshake_price: f64,
    /// How executors report their load.
    pub reports: Reports,
    /// Whether the endpoint list is sent only to dispatchers that watch it.
    pub list_must_be_polled: bool,
    /// Whether probes are allowed.
    pub probes: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// The longest Retry-After that clients honour; `None` if Retry-After is not supported.
    pub max_retry_after: Option<DurationUs>,
    /// Whether executors honour memory grants.
    pub memory_grants: bool,
    /// Whether executors honour priorities.
    pub priorities: bool,
    /// Maximum fraction of an executor's memory granted to one request.
    pub max_grant_fraction: f64,
    /// How executors behave when memory runs out.
    pub memory_shortage: MemoryShortage,
    /// Interval between progress messages of an attempt; `None` if executors send none.
    pub progress_interval: Option<DurationUs>,
    /// Whether responses report the cost of the request.
    pub reports_cost: bool,
    /// The retry budget, if configured.
    pub retry_budget: Option<RetryBudget>,
    /// Slow start of recently started executors.
    pub slow_start: SlowStart,
    /// Time after an executor was listed as draining or removed within which new attempts may still reach it.
    pub drain_grace: DurationUs,
    /// Time for which a key gets no new request after an attempt with that key that may still be running.
    pub key_quiet_period: Option<DurationUs>,
    /// Minimum time between two batches of events.
    pub min_batch_interval: DurationUs,
}
