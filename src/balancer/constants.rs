//! Tuned constants: what each means, and why it is so.

use std::num::NonZeroUsize;

/// Expensive means above these multiples of the class mean; each tier is a rule of its own, dearest first.
pub(super) const TIERS: [f64; 6] = [4.0, 2.0, 1.0, 0.5, 0.25, 0.125];
/// Tier k closes while pressure goes from k to k + 2 times this: the last ones act only in heavy overload.
pub(super) const TIER_STEP: f64 = 0.2;
/// Pressure at which all tiers are closed; 1 is what an ordinary overload reaches.
pub(super) const PRESSURE_MOST: f64 = 1.4;
/// Burst of a bucket, seconds of its rate; span of a class's arrival rate, seconds.
pub(super) const BURST_S: f64 = 2.0;
pub(super) const RATE_SPAN_S: f64 = 2.0;
/// Tenants over their share, counted over so long, pass requests under this multiple; the rest closes by
/// this.
pub(super) const TENANT_SPAN_S: f64 = 3.0;
pub(super) const OVER_SHARE_MULTIPLE: f64 = 0.6;
pub(super) const OVER_SHARE_STEP: f64 = 1.0;
/// Costs remembered, by class and table group: some hundred groups for a few classes.
pub(super) const CACHE_SIZE: NonZeroUsize = NonZeroUsize::new(1024).unwrap();
/// Weight of one outcome in learned means, in a cached mean, and in an executor's slowness beside the others.
pub(super) const LEARN: f64 = 0.02;
pub(super) const CACHE_WEIGHT: f64 = 0.1;
pub(super) const SPEED_WEIGHT: f64 = 0.08;
/// Outcomes of a class before its mean comes from them, and its buckets may refuse.
pub(super) const ENOUGH: u32 = 8;
/// Outcomes that an estimate's own word is worth: one bad plan must not teach a dispatcher that sees few.
pub(super) const TRUSTED: u32 = 5;
/// More than this multiple of what was predicted is a bad plan's doing, and learned as this much.
pub(super) const OUTLIER: f64 = 3.0;
/// Threads a core in flight at which pressure begins and is 1: total work falls beyond one to two.
pub(super) const OCCUPANCY: [f64; 2] = [1.8, 3.6];
/// The same where the pace of own requests stands in for reports: it rises with any bottleneck.
pub(super) const PACE_OCCUPANCY: [f64; 2] = [1.0, 2.5];
/// The same for memory in use, where lacking it spills, and where requests wait in line for it.
pub(super) const MEMORY_OCCUPANCY: [f64; 2] = [0.75, 1.35];
pub(super) const MEMORY_LINE: [f64; 2] = [0.8, 1.05];
/// The same for the share of disks busy: it saturates, and total work falls when many wait for them.
pub(super) const DISKS: [f64; 2] = [0.65, 0.9];
/// Most pressure that lateness makes where executors report what they hold: it comes late and swings.
pub(super) const LATE_MOST: f64 = 0.5;
/// Share of a class's requests that may be late before pressure rises: bad plans make some late always.
pub(super) const LATE_TARGET: f64 = 0.2;
/// Requests in flight that a guess at their threads weighs, against the mean of those seen.
pub(super) const MIX_PRIOR: f64 = 0.3;
/// Outcomes a second that a class is taken to have besides its own: one late request proves little.
pub(super) const LATE_PRIOR: f64 = 1.0;
/// Age at which a report counts a third, seconds, for one executor, and for the fleet, of which few are
/// heard.
pub(super) const REPORT_AGE_S: f64 = 1.5;
pub(super) const PRESSURE_AGE_S: f64 = 5.0;
/// Weight of a tick in the share of traffic: about ten seconds count.
pub(super) const SHARE_WEIGHT: f64 = 0.01;
/// Reported load, threads a core, under which executors have room and pressure from lateness eases faster.
pub(super) const ROOM: f64 = 0.5;
/// Weight of one request's pace; the most it tells; the part of the fleet, unheard of, that stands against
/// it.
pub(super) const PACE_WEIGHT: f64 = 0.4;
pub(super) const PACE_MOST: f64 = 6.0;
pub(super) const PACE_PRIOR: f64 = 0.02;
/// Idle executors that stand against reports where the rest of the fleet is unheard of: a few prove no crowd.
pub(super) const UNHEARD: f64 = 2.0;
/// Memory or disks in use from which an executor counts as more loaded, and how much more.
pub(super) const SCARCE_FROM: f64 = 0.75;
pub(super) const SCARCE_WEIGHT: f64 = 2.0;
/// Quantile of memory needs that a grant covers, and its step (ln).
pub(super) const GRANT_QUANTILE: f64 = 0.8;
pub(super) const GRANT_STEP: f64 = 0.05;
