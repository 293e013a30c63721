//! Schema versions of a fleet while its executors are upgraded one after the other: replicated state of the
//! fleet.
//!
//! A window is closed on one version, opens to the next one, and then closes on that one or is rolled back. A
//! version ends only once every lease holder has confirmed, in the current step, that it has no work under
//! it, and at least `linger` has passed since that step began, so that dispatchers cut off from the fleet
//! stop by themselves. A command for a step names the step its sender saw, so that late or repeated commands
//! have no effect.
//!
//! - [`window`]: the steps.
//! - [`executors`]: the version held by each executor.
//! - [`capacity`]: whether an executor may be taken out without leaving a version's clients short of
//!   capacity.

pub mod capacity;
pub mod executors;
pub mod window;

use crate::state_machine::StateMachine;
use crate::{Holder, Micros};
use executors::{Executors, HeldVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use window::Window;

/// A schema version, from 1 to [`MAX_VERSION`].
pub type Version = u16;

/// The highest version.
pub const MAX_VERSION: Version = 9_999;
/// Maximum `linger`.
pub const MAX_LINGER: Micros = 600_000_000;

/// A command that moves the window or updates an executor's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the first version of a fleet and its `linger`, from the proposer's settings.
    Initialize(Version, Micros),
    /// Opens the window to this version; names the step the operator saw.
    Open(Version, u64),
    /// Ends the older version.
    Close(u64),
    /// Rolls back: ends the newer version.
    RollBack(u64),
    /// A holder confirms, in this step, that it has no work under a version and starts none.
    Confirm(Holder, Version, u64),
    /// A list or a plan sets the version of an executor, with the start time of its process.
    SetVersion(String, Version, Micros),
    /// An executor reports its own version, with the start time of its process.
    ReportVersion(String, Version, Micros),
    /// An operator resolves a dispute about an executor's version, naming the start time of the disputed
    /// process.
    ResolveDispute(String, Version, Micros),
    /// A process was removed from the endpoint list.
    Remove(String, Micros),
}

/// The replicated schema state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schema {
    window: Window,
    step: u64,
    linger: Micros,
    executors: Executors,
}

impl Schema {
    /// The window.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// The current step; incremented each time the window moves.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// The minimum duration of ending a version.
    pub fn linger(&self) -> Micros {
        self.linger
    }

    /// The version held by each executor.
    pub fn executors(&self) -> &Executors {
        &self.executors
    }

    /// Versions under which a dispatcher may start work, oldest first. `cut_off_for` is how long it has been
    /// cut off from the fleet, if it is. With an open window, a dispatcher that is cut off stops after half
    /// of `linger`, because either version may have ended since. With a closed window, the version it knows
    /// is the best it can use.
    pub fn starts(&self, cut_off_for: Option<Micros>) -> Vec<Version> {
        let closed = matches!(self.window, Window::Closed(_));
        match cut_off_for {
            Some(time) if !closed && time >= self.linger / 2 => vec![],
            _ => self.window.starts(),
        }
    }

    /// The confirmation a holder should propose, if the end of a version waits for it. `has_work` returns
    /// whether the holder has work under a version.
    pub fn pending_confirmation(
        &self,
        holder: Holder,
        has_work: impl Fn(Version) -> bool,
    ) -> Option<Command> {
        let (version, ending) = (self.window.ending_version()?, self.window.ending()?);
        let due = ending.unconfirmed().contains(&holder) && !has_work(version);
        due.then_some(Command::Confirm(holder, version, self.step))
    }

    /// Checks whether a command applies to the current state; the error is shown to the operator.
    pub fn accepts(&self, command: &Command) -> Result<(), String> {
        let step = |s: u64| match s == self.step {
            true => Ok(()),
            false => Err(format!("the window has moved since: it is at step {}, not {s}", self.step)),
        };
        let in_range = |v: Version| match (1..=MAX_VERSION).contains(&v) {
            true => Ok(()),
            false => Err(format!("versions go from 1 to {MAX_VERSION}")),
        };
        match (command, &self.window) {
            (Command::Initialize(v, linger), Window::Unset) => {
                in_range(*v)?;
                if *linger > MAX_LINGER { Err("linger is too long".into()) } else { Ok(()) }
            }
            (Command::Initialize(..), _) => Err("the fleet has a version already".into()),
            (Command::Open(..) | Command::Close(_) | Command::RollBack(_), Window::Unset) => {
                Err("the fleet has no version yet".into())
            }
            (Command::Open(to, s), Window::Closed(v)) => {
                in_range(*to)?;
                if *to != v.saturating_add(1) {
                    return Err(format!("after schema {v} comes {}, not {to}", v.saturating_add(1)));
                }
                step(*s)
            }
            (Command::Open(..), w) => {
                let [old, new] = self.window.versions()[..] else { return Err("no window".into()) };
                let how = if matches!(w, Window::RollingBack { .. }) { "back" } else { "on" };
                Err(format!("an upgrade from {old} to {new} is under way, on its way {how}: one at a time"))
            }
            (Command::Close(s), Window::Opening { old }) => {
                let new = old.saturating_add(1);
                if !self.executors.iter().any(|(_, held)| held == HeldVersion::Holds(new)) {
                    return Err(format!("no motor holds schema {new}"));
                }
                step(*s)
            }
            (Command::Close(_), _) => Err("no window is opening".into()),
            (Command::RollBack(s), Window::Opening { .. } | Window::Closing { .. }) => step(*s),
            (Command::RollBack(_), _) => Err("no window is opening or closing".into()),
            (Command::Confirm(_, v, s), w) if w.ending_version() == Some(*v) => step(*s),
            (Command::Confirm(..), _) => Err("that version does not end".into()),
            (
                Command::SetVersion(_, v, _)
                | Command::ReportVersion(_, v, _)
                | Command::ResolveDispute(_, v, _),
                _,
            ) => in_range(*v),
            (Command::Remove(..), _) => Ok(()),
        }
    }

    /// `SCHEMA STATUS`: the state of the window and what it waits for, on one line.
    pub fn status(&self) -> String {
        let how = match &self.window {
            Window::Unset => return "schema unset".into(),
            Window::Closed(v) => format!("closed {v}"),
            Window::Opening { old } => format!("opening {old} to {}", old.saturating_add(1)),
            Window::Closing { old, .. } => format!("closing on {}, {old} ends", old.saturating_add(1)),
            Window::RollingBack { old, .. } => format!("back to {old}, {} ends", old.saturating_add(1)),
        };
        let waiting = self.window.ending().map(|e| {
            let left = self.linger.saturating_sub(e.waited()).div_ceil(1_000);
            format!("; waits for {} holders and {left} ms", e.unconfirmed().len())
        });
        let (mut holds, mut disputed) = (BTreeMap::<Version, usize>::new(), Vec::new());
        for (id, held) in self.executors.iter() {
            match held {
                HeldVersion::Holds(v) => *holds.entry(v).or_default() += 1,
                HeldVersion::Disputed { configured, reported } => {
                    disputed.push(format!("{id} (told {configured}, says {reported})"))
                }
            }
        }
        let holds: String = holds.iter().map(|(v, n)| format!("; {n} motores hold {v}")).collect();
        let shown = disputed.iter().take(8).cloned().collect::<Vec<_>>().join(", ");
        let disputed = match disputed.len() {
            0 => String::new(),
            n => format!("; {n} disputed: {shown}"),
        };
        format!("schema {how}, step {}{}{holds}{disputed}", self.step, waiting.unwrap_or_default())
    }

    fn close_if_done(&mut self) -> bool {
        let moved = self.window.close_if_done(self.linger);
        self.step += u64::from(moved);
        moved
    }
}

impl StateMachine for Schema {
    type Command = Command;

    fn apply(&mut self, command: Command, alive: &BTreeSet<Holder>) -> bool {
        if self.accepts(&command).is_err() {
            return false;
        }
        match command {
            Command::Initialize(v, linger) => (self.window, self.linger) = (Window::Closed(v), linger),
            Command::Open(to, _) => self.window = Window::Opening { old: to - 1 },
            Command::Close(_) => self.window.close(alive),
            Command::RollBack(_) => self.window.roll_back(alive),
            Command::Confirm(holder, ..) => {
                return alive.contains(&holder) && self.window.confirm(holder) | self.close_if_done();
            }
            Command::SetVersion(id, v, started) => return self.executors.set_version(id, v, started),
            Command::ReportVersion(id, v, started) => return self.executors.report_version(&id, v, started),
            Command::ResolveDispute(id, v, started) => {
                return self.executors.resolve_dispute(&id, v, started);
            }
            Command::Remove(id, started) => return self.executors.remove(&id, started),
        }
        self.step += 1;
        true
    }

    fn on_lease_change(&mut self, alive: &BTreeSet<Holder>) -> bool {
        self.window.update_holders(alive) | self.close_if_done()
    }

    fn sweep(&mut self, now: Micros) -> bool {
        self.window.sweep(now) | self.close_if_done()
    }
}
