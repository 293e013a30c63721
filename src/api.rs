//! The interface of the decision module: settings, events, actions and ids. It decides nothing.
//!
//! Classes, tenants, zones and kinds of machine are indices into the lists of [`Settings`]; their names
//! stay with the host. All times and spans are whole microseconds.

use std::fmt;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// Index into [`Settings::classes`].
pub type ClassId = usize;
/// Index into [`Settings::tenants`].
pub type TenantId = usize;
/// Index of a zone, below [`Settings::zones`].
pub type ZoneId = usize;
/// Index into [`Settings::kinds`].
pub type KindId = usize;
/// An engine, by the id that the list gives it. It tells nothing of zone, kind or age.
pub type EngineId = u32;
/// A request; never used twice.
pub type QueryId = u64;

/// What may be done about an attempt whose fate is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Repeats are dropped inside a group of engines, for a while.
    Keyed {
        /// The engines that drop each other's repeats.
        group: Group,
        /// For how long after the first attempt that may have run.
        window: Micros,
    },
    /// Must not run twice.
    Unsafe,
}

/// Which engines drop repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    /// Any engine.
    All,
    /// Engines of the same zone.
    Zone,
    /// Engines of the same cell.
    Cell,
}

impl Group {
    /// Whether two engines are of one group.
    pub fn holds(self, a: &Entry, b: &Entry) -> bool {
        match self {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.cell == b.cell,
        }
    }
}

/// A class of query.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `aim_stretch`, earns the whole worth.
    pub aim: Micros,
    /// The aim grows by this times the query's work over its threads.
    pub aim_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of one answer.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Threads that a query runs on.
    pub threads: u32,
    /// What may be repeated.
    pub effect: Effect,
    /// Queries of one key run one at a time.
    pub keep_order: bool,
    /// It holds its table group on its engine while it runs.
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
    /// Requests a second, over all gateways, inside its share.
    pub quota_per_s: f64,
}

/// What happens when grants pass an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The query waits in the engine's line.
    Queue,
    /// It gets what is left, and spills.
    Trim,
    /// It is let in and everything slows down.
    Swap,
}

/// How engines report their load.
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
pub struct Budget {
    /// Further attempts allowed in every window whatever the traffic.
    pub free: f64,
    /// Further attempts allowed for each request taken in the window.
    pub ratio: f64,
    /// Length of the window.
    pub span: Micros,
}

/// The cold-engine rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// An engine starts at this share of its capacity or more.
    pub from: f64,
    /// It is warm this long after its start.
    pub ramp: Micros,
    /// Sent more than this multiple of its present capacity...
    pub multiple: f64,
    /// ...for this long, it falls over.
    pub fall: Micros,
}

/// All that a gateway is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Gateways in this tier.
    pub gateways: u32,
    /// Classes of query.
    pub classes: Vec<Class>,
    /// Kinds of machine.
    pub kinds: Vec<Kind>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of zones.
    pub zones: usize,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Price of an attempt that crosses zones, in points of service for each first try.
    pub cross_zone_price: f64,
    /// Price of a probe, in points of service for each first try.
    pub probe_price: f64,
    /// Price of a new connection, in the same.
    pub handshake_price: f64,
    /// Load reports.
    pub reports: Reports,
    /// The engine list must be asked for.
    pub list_must_be_asked: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A query may have two attempts out at once.
    pub second_copies: bool,
    /// Most attempts for a query.
    pub max_attempts: u32,
    /// The longest wait that a client will follow; `None` where advice is not passed on.
    pub max_retry_after: Option<Micros>,
    /// Memory grants are heeded.
    pub grants: bool,
    /// Priorities are heeded.
    pub priorities: bool,
    /// Share of an engine's memory that one query gets at most.
    pub most_grant: f64,
    /// What a shortage of memory does.
    pub shortage: Shortage,
    /// Pace of progress notes; `None` where there are none.
    pub progress: Option<Micros>,
    /// Answers tell what a query cost.
    pub tells_cost: bool,
    /// The attempt budget, where one is stated.
    pub budget: Option<Budget>,
    /// The cold-engine rule.
    pub cold: ColdRule,
    /// Nothing new may go to an engine this long after word that it drains or is gone.
    pub drain_grace: Micros,
    /// How long a key rests after an attempt that may still run.
    pub key_quiet: Option<Micros>,
    /// Shortest time between two batches of events.
    pub step: Micros,
}

/// What an engine's process does, as the list has it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Takes queries.
    #[default]
    Active,
    /// Completes its work, takes nothing new.
    Leaving,
    /// Removed.
    Left,
}

/// An entry of the engine list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Entry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: u64,
    /// What it does.
    pub readiness: Readiness,
    /// Relative size, where the list tells it.
    pub rating: f64,
    /// Its latest start; `None` for long ago.
    pub started: Option<Micros>,
    /// Share of the work beside others of its kind; `None` is the usual, 1.
    pub weight: Option<f64>,
}

/// Why a list arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only entries that changed.
    Update,
    /// All entries.
    Replace,
    /// All entries as last seen before a restart, perhaps stale.
    Restored,
    /// The call failed; the old list holds.
    Unavailable,
}

/// A load report; what is not reported is `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Share of the cores that is busy.
    pub util: Option<f64>,
    /// Queries held.
    pub inflight: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of memory granted.
    pub memory: Option<f64>,
    /// Share of disks busy.
    pub disks: Option<f64>,
}

impl Report {
    /// Without values that are negative or no number.
    pub fn sane(self) -> Report {
        let ok = |v: Option<f64>| v.filter(|x| x.is_finite() && *x >= 0.0);
        let (util, inflight, queue) = (ok(self.util), ok(self.inflight), ok(self.queue));
        Report { util, inflight, queue, memory: ok(self.memory), disks: ok(self.disks) }
    }
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run or still run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What a query cost, where answers tell it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bill {
    /// Work of all threads, in seconds.
    pub work_s: f64,
    /// Memory needed, in MB.
    pub memory_mb: f64,
}

/// Word on an attempt that is out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Note {
    /// Share done, rough.
    Progress(f64),
    /// It spills; so many MB are missing.
    Spill(f64),
    /// It waits for memory or a load.
    Waits,
}

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request.
    pub query: QueryId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its key, for classes that keep order.
    pub key: Option<u64>,
    /// How long until the client gives up on this try.
    pub grace: Micros,
    /// Estimated work of all threads, in seconds.
    pub estimate_s: Option<f64>,
    /// Estimated memory in MB.
    pub memory_mb: Option<f64>,
    /// The group of tables that it reads.
    pub group: u64,
    /// The client says that it tried before.
    pub repeated: bool,
}

/// An attempt that is over.
#[derive(Debug, Clone, PartialEq)]
pub struct Finished {
    /// The request.
    pub query: QueryId,
    /// The attempt.
    pub attempt: u32,
    /// Where it ran.
    pub engine: EngineId,
    /// The request has its final answer.
    pub done: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// What it cost, if told.
    pub bill: Option<Bill>,
    /// A load report, if one came along.
    pub report: Option<Report>,
}

/// What happens to a gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the engine list.
    List {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    Arrival(Arrival),
    /// A streamed answer has begun: the attempt belongs to the client.
    FirstByte {
        /// The request.
        query: QueryId,
        /// The attempt.
        attempt: u32,
    },
    /// An attempt is over.
    Finished(Finished),
    /// Word on an attempt that is out.
    Noted {
        /// The request.
        query: QueryId,
        /// The attempt.
        attempt: u32,
        /// Where it runs.
        engine: EngineId,
        /// The word.
        note: Note,
    },
    /// The client left; no answer is owed.
    HungUp {
        /// The request.
        query: QueryId,
    },
    /// A timer is due.
    Timer {
        /// As it was set.
        token: u64,
    },
    /// Another gateway of the tier told something.
    Told {
        /// Its number.
        from: u32,
        /// What it told.
        content: String,
    },
    /// A probe is over.
    Probed {
        /// The engine.
        engine: EngineId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// A load report, if one came along.
        report: Option<Report>,
    },
}

/// What a gateway wants done, in this order and at once.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Set memory and priority for the query's further sends; the priority also for what is out.
    Terms {
        /// The request.
        query: QueryId,
        /// Memory in MB; 0 leaves it to the engine.
        memory_mb: f64,
        /// Priority, 0 to 3.
        priority: u8,
    },
    /// Send an attempt.
    Send {
        /// The request.
        query: QueryId,
        /// Where to.
        engine: EngineId,
        /// Its time-out; `None` until the client gives up.
        timeout: Option<Micros>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        query: QueryId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        /// The request.
        query: QueryId,
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        query: QueryId,
    },
    /// Probe an engine.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Ask for the changes of the engine list from now on.
    Watch,
    /// Stop hearing of changes.
    Unwatch,
    /// Ask for the whole engine list once.
    ReadList,
    /// Close idle connections to an engine.
    CloseIdle {
        /// The engine.
        engine: EngineId,
    },
    /// Tell one gateway of the tier something, or all of them.
    Tell {
        /// Its number; `None` for all.
        to: Option<u32>,
        /// What is told.
        content: String,
    },
    /// Set a timer.
    Wake {
        /// Comes back with the timer.
        token: u64,
        /// From now.
        after: Micros,
    },
    /// A line for the log.
    Log(String),
}

/// Settings that make no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// Refuses settings that make no sense, with the reason.
pub fn check(s: &Settings) -> Result<(), SettingsError> {
    let need = |ok: bool, what: &str| if ok { Ok(()) } else { Err(SettingsError(what.into())) };
    let sane = |x: f64| x.is_finite() && x >= 0.0;
    need(s.gateways > 0, "number of gateways is zero")?;
    need(!s.classes.is_empty(), "no class")?;
    need(s.classes.len() <= 64, "more than 64 classes")?;
    need(s.zone < s.zones, "own zone is unknown")?;
    need(s.kinds.iter().all(|k| sane(k.cores) && k.cores > 0.0), "cores of a kind are not positive")?;
    need(s.kinds.iter().all(|k| sane(k.memory_mb)), "memory of a kind is negative or not finite")?;
    need(s.tenants.iter().all(|t| sane(t.quota_per_s)), "quota of a tenant is negative or not finite")?;
    for (i, c) in s.classes.iter().enumerate() {
        let need = |ok: bool, what: &str| need(ok, &format!("class {i}: {what}"));
        need(sane(c.aim_stretch) && sane(c.worth) && sane(c.late_worth), "negative or non-finite number")?;
        need(c.threads > 0, "no threads")?;
        need(c.deadline > 0, "no deadline")?;
        need(c.only_zones.iter().flatten().all(|z| *z < s.zones), "unknown zone")?;
        need(c.only_kinds.iter().flatten().all(|k| *k < s.kinds.len()), "unknown kind")?;
    }
    let c = &s.cold;
    need(sane(c.from) && sane(c.multiple), "cold-engine rule: negative or non-finite number")?;
    need(s.budget.is_none_or(|b| sane(b.free) && sane(b.ratio)), "attempt budget: bad number")?;
    need(
        [s.over_share_worth, s.cross_zone_price, s.probe_price, s.handshake_price].into_iter().all(sane),
        "worth or price: bad number",
    )?;
    need(sane(s.most_grant), "most grant: bad number")
}
