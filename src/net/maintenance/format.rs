//! Formats the plan for the status and the log.

use crate::api::Micros;
use fleet::plan::{BlockReason, Step};

/// A step as text for the status and the log.
pub(super) fn step_text(step: &Step, now: Micros) -> String {
    let since = |t: &Micros| now.saturating_sub(*t) / 1_000_000;
    match step {
        Step::Waiting => "waits".into(),
        Step::Draining(t, idle) => format!("drains {}s, idle at {}", since(t), idle.len()),
        Step::Out(t) => format!("out {}s", since(t)),
        Step::WarmingUp(t) => format!("warms {}s", since(t)),
        Step::Done => "done".into(),
        Step::Failed(why) => format!("failed: {why}"),
        Step::Aborted => "aborted".into(),
    }
}

/// A step without its times, to detect changes.
pub(super) fn step_kind(step: &Step) -> String {
    match step {
        Step::Draining(..) => "drains".into(),
        Step::Out(_) => "out".into(),
        Step::WarmingUp(_) => "warms".into(),
        step => step_text(step, 0),
    }
}

/// Why the next step can't begin, as text for the status.
pub(super) fn holdup_reason(why: &BlockReason) -> String {
    match why {
        BlockReason::NoneWaiting => "nothing waits".into(),
        BlockReason::AtOnce(n) => format!("{n} out already"),
        BlockReason::Zone(zone) => format!("hall {zone} would fall short"),
        BlockReason::Executors(n) => format!("{n} machines would be left"),
        BlockReason::Cores(left, needed) => format!("{left:.0} cores would be left, {needed:.0} are needed"),
    }
}
