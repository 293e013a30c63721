//! Settings of the balancer: classes of request, kinds of machine, tenants, and what executors support.

use super::{DurationUs, Endpoint, KindId, ZoneId};

/// Whether a request may run again after an attempt of it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Executors of a group drop repeats for a while, by an idempotency key.
    IdempotencyKey {
        /// The executors that drop each other's repeats.
        scope: KeyScope,
        /// For how long after the first attempt that may have run.
        window: DurationUs,
    },
    /// It must not run twice.
    NotIdempotent,
}

/// Which executors drop repeats of a request with an idempotency key.
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
    /// An answer within this time of the arrival, plus the stretch, earns the whole weight.
    pub latency_objective: DurationUs,
    /// The latency objective grows by this multiple of the request's cost over its threads.
    pub latency_objective_stretch: f64,
    /// How long a client waits in all, its own repeats included.
    pub deadline: DurationUs,
    /// What one answer in time earns, in points of service.
    pub priority_weight: f64,
    /// Fraction of the weight that a late answer still earns.
    pub late_priority_weight: f64,
    /// Threads that a request runs on.
    pub threads: u32,
    /// Whether its requests may run again.
    pub idempotency: Idempotency,
    /// Requests of one key run one at a time.
    pub keep_order: bool,
    /// It holds its table group on its executor while it runs.
    pub loads: bool,
    /// It waits on an executor where a load holds its table group.
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
    /// Its quota: requests a second, over all dispatchers.
    pub quota_per_s: f64,
}

/// What happens when grants pass an executor's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryShortage {
    /// The request waits in the executor's queue.
    Queue,
    /// It gets what is left, and spills to disk.
    Trim,
    /// It is admitted, and everything on the executor slows down.
    Swap,
}

/// How executors report their load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reports {
    /// In answers and in probe results.
    Inline,
    /// In probe results only.
    OnProbe,
    /// Not at all.
    Off,
}

/// The retry budget: how many attempts beyond a request's first may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in every window whatever the traffic.
    pub free: f64,
    /// Retries allowed for each request that arrived in the window.
    pub ratio: f64,
    /// Length of the window.
    pub span: DurationUs,
    /// An attempt may reach its executor so much after it was decided; the window is counted there.
    pub slack: DurationUs,
}

/// The slow start of executors that have just started, and what pushes them over meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// An executor starts at this share of its capacity or more.
    pub initial_fraction: f64,
    /// It has its full capacity this long after its start.
    pub ramp: DurationUs,
    /// It falls over if it is sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...within this time; 0 if executors never fall over.
    pub overload_window: DurationUs,
}

/// The settings of a dispatcher's decisions.
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
    /// Weight of a request over its tenant's quota, as a fraction of the usual.
    pub over_quota_weight: f64,
    /// Price of an attempt that crosses zones, in points of service for each request.
    pub cross_zone_price: f64,
    /// Price of a probe, in the same.
    pub probe_price: f64,
    /// Price of a new connection, in the same.
    pub handshake_price: f64,
    /// How executors report their load.
    pub reports: Reports,
    /// The endpoint list comes only to those that watch it.
    pub list_must_be_polled: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub hedging: bool,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// The longest Retry-After that clients follow; `None` where none is passed on.
    pub max_retry_after: Option<DurationUs>,
    /// Executors follow memory grants.
    pub grants: bool,
    /// Executors follow priorities.
    pub priorities: bool,
    /// The largest fraction of an executor's memory that one request is granted.
    pub max_grant_fraction: f64,
    /// What a shortage of memory does.
    pub memory_shortage: MemoryShortage,
    /// Interval of an attempt's progress messages; `None` where there are none.
    pub progress: Option<DurationUs>,
    /// Answers report what a request cost.
    pub reports_cost: bool,
    /// The retry budget, where one is stated.
    pub budget: Option<RetryBudget>,
    /// Slow start of executors that have just started.
    pub slow_start: SlowStart,
    /// Nothing new may reach an executor this long after the list had it as draining or gone.
    pub drain_grace: DurationUs,
    /// How long a key gets no new request after an attempt of it that may still run.
    pub key_quiet: Option<DurationUs>,
    /// Shortest time between two batches of events.
    pub step: DurationUs,
}
