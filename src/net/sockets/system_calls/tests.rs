//! Fault injection for system calls, per thread.

use super::Call;
use std::cell::RefCell;
use std::io;

/// Makes one in `one_in` calls of a kind fail with an error, or transfer a single byte.
#[derive(Debug, Clone, Copy)]
pub(in crate::net) struct FaultPlan {
    pub(in crate::net) call: Call,
    /// The error number; `None` makes reads and writes short.
    pub(in crate::net) error: Option<i32>,
    /// Period of the fault, in calls.
    pub(in crate::net) one_in: u32,
}

thread_local! {
    static PLAN: RefCell<Option<(FaultPlan, u32, u32)>> = const { RefCell::new(None) };
}

/// Installs a fault plan for this thread.
pub(in crate::net) fn install(plan: FaultPlan) {
    PLAN.with(|p| *p.borrow_mut() = Some((plan, 0, 0)));
}

/// Number of calls on this thread that failed.
pub(in crate::net) fn failed() -> u32 {
    PLAN.with(|p| p.borrow().map_or(0, |(.., failed)| failed))
}

/// The plan, if this call is to fail.
fn next_fault(call: Call, short: bool) -> Option<FaultPlan> {
    PLAN.with(|p| {
        let mut p = p.borrow_mut();
        let (plan, calls, failed) = p.as_mut()?;
        if plan.call != call || plan.error.is_none() != short {
            return None;
        }
        *calls += 1;
        let fails = calls.is_multiple_of(plan.one_in);
        *failed += u32::from(fails);
        fails.then_some(*plan)
    })
}

pub(in crate::net) fn inject_fault(call: Call) -> io::Result<()> {
    let error = next_fault(call, false).and_then(|plan| plan.error);
    error.map_or(Ok(()), |code| Err(io::Error::from_raw_os_error(code)))
}

pub(in crate::net) fn shortened(length: usize) -> usize {
    let short = next_fault(Call::Read, true).or_else(|| next_fault(Call::Write, true)).is_some();
    if short { length.min(1) } else { length }
}
