//! The versions of the schema that a fleet of executors speaks while they are upgraded in turn: agreed state,
//! moved by commands of the fleet's log.
//!
//! A window is closed on one version, opens to the next, and closes on that, or goes back. A version ends only
//! once every holder of a lease has said, in that very step, that it has nothing of it in hand, and a while after
//! that step began (`linger`), in which those who hear nothing of the fleet stop by themselves. What asks for a step names
//! the step that it saw, so that a call which comes late or twice does no harm.
//!
//! - [`window`]: the steps.
//! - [`executors`]: which executor holds which version.
//! - [`capacity`]: whether one may be taken out without leaving a version's clients short.

pub mod capacity;
pub mod executors;
pub mod window;

use crate::state_machine::StateMachine;
use crate::{Holder, Micros};
use executors::{Executors, Held};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use window::Window;

/// A version of the schema, from 1 to [`MOST_VERSION`].
pub type Version = u16;

/// The largest version.
pub const MOST_VERSION: Version = 9_999;
/// The longest `linger`.
pub const MOST_LINGER: Micros = 600_000_000;

/// Moves the window, or says which executor holds what.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The first version of a fleet that has none yet, and its `linger`: by the settings of who proposes it.
    Found(Version, Micros),
    /// Open the window to this version, from the step that the operator's call saw.
    Open(Version, u64),
    /// End the older one.
    Close(u64),
    /// End the newer one.
    Back(u64),
    /// A holder has nothing of a version in hand, nor begins any, and said so in this step.
    Clear(Holder, Version, u64),
    /// The list or a plan: an executor holds a version, with the start of its process.
    Tell(String, Version, Micros),
    /// Its own answers: the same.
    Says(String, Version, Micros),
    /// An operator settles what a disputed executor holds, naming the start that the dispute is about.
    Settle(String, Version, Micros),
    /// A process has left the list.
    Gone(String, Micros),
}

/// The agreed state.
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

    /// Counts the steps of the window.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// How long the end of a version takes at the least.
    pub fn linger(&self) -> Micros {
        self.linger
    }

    /// Which executor holds which version.
    pub fn executors(&self) -> &Executors {
        &self.executors
    }

    /// Versions under which a dispatcher may begin something, oldest first. `without_word` is how long it has
    /// heard nothing of the fleet, if it has not. One that hears nothing in an open window stops after half of
    /// `linger`, as either version may have ended since; of a closed window's version it knows nothing worse.
    pub fn starts(&self, without_word: Option<Micros>) -> Vec<Version> {
        let closed = matches!(self.window, Window::Closed(_));
        match without_word {
            Some(time) if !closed && time >= self.linger / 2 => vec![],
            _ => self.window.starts(),
        }
    }

    /// What a holder should propose, if the end of a version waits for its word alone: `in_hand` tells whether it
    /// has anything of a version in hand.
    pub fn word_of(&self, holder: Holder, in_hand: impl Fn(Version) -> bool) -> Option<Command> {
        let (version, ending) = (self.window.ends()?, self.window.ending()?);
        let due = ending.waits().contains(&holder) && !in_hand(version);
        due.then_some(Command::Clear(holder, version, self.step))
    }

    /// Whether a command follows from the state; else why not, for the operator who asked.
    pub fn accepts(&self, command: &Command) -> Result<(), String> {
        let step = |s: u64| match s == self.step {
            true => Ok(()),
            false => Err(format!("the window has moved since: it is at step {}, not {s}", self.step)),
        };
        let known = |v: Version| match (1..=MOST_VERSION).contains(&v) {
            true => Ok(()),
            false => Err(format!("versions go from 1 to {MOST_VERSION}")),
        };
        match (command, &self.window) {
            (Command::Found(v, linger), Window::Unset) => {
                known(*v)?;
                if *linger > MOST_LINGER { Err("linger is too long".into()) } else { Ok(()) }
            }
            (Command::Found(..), _) => Err("the fleet has a version already".into()),
            (Command::Open(..) | Command::Close(_) | Command::Back(_), Window::Unset) => {
                Err("the fleet has no version yet".into())
            }
            (Command::Open(to, s), Window::Closed(v)) => {
                known(*to)?;
                if *to != v.saturating_add(1) {
                    return Err(format!("after schema {v} comes {}, not {to}", v.saturating_add(1)));
                }
                step(*s)
            }
            (Command::Open(..), w) => {
                let [old, new] = self.window.versions()[..] else { return Err("no window".into()) };
                let how = if matches!(w, Window::Back { .. }) { "back" } else { "on" };
                Err(format!("an upgrade from {old} to {new} is under way, on its way {how}: one at a time"))
            }
            (Command::Close(s), Window::Opening { old }) => {
                let new = old.saturating_add(1);
                if !self.executors.iter().any(|(_, held)| held == Held::Holds(new)) {
                    return Err(format!("no motor holds schema {new}"));
                }
                step(*s)
            }
            (Command::Close(_), _) => Err("no window is opening".into()),
            (Command::Back(s), Window::Opening { .. } | Window::Closing { .. }) => step(*s),
            (Command::Back(_), _) => Err("no window is opening or closing".into()),
            (Command::Clear(_, v, s), w) if w.ends() == Some(*v) => step(*s),
            (Command::Clear(..), _) => Err("that version does not end".into()),
            (Command::Tell(_, v, _) | Command::Says(_, v, _) | Command::Settle(_, v, _), _) => known(*v),
            (Command::Gone(..), _) => Ok(()),
        }
    }

    /// `SCHEMA STATUS`: where the window is and what it waits for, on one line.
    pub fn status(&self) -> String {
        let how = match &self.window {
            Window::Unset => return "schema unset".into(),
            Window::Closed(v) => format!("closed {v}"),
            Window::Opening { old } => format!("opening {old} to {}", old.saturating_add(1)),
            Window::Closing { old, .. } => format!("closing on {}, {old} ends", old.saturating_add(1)),
            Window::Back { old, .. } => format!("back to {old}, {} ends", old.saturating_add(1)),
        };
        let waits = self.window.ending().map(|e| {
            let left = self.linger.saturating_sub(e.waited()).div_ceil(1_000);
            format!("; waits for {} holders and {left} ms", e.waits().len())
        });
        let (mut holds, mut disputed) = (BTreeMap::<Version, usize>::new(), Vec::new());
        for (id, held) in self.executors.iter() {
            match held {
                Held::Holds(v) => *holds.entry(v).or_default() += 1,
                Held::Disputed { told, said } => disputed.push(format!("{id} (told {told}, says {said})")),
            }
        }
        let holds: String = holds.iter().map(|(v, n)| format!("; {n} motores hold {v}")).collect();
        let shown = disputed.iter().take(8).cloned().collect::<Vec<_>>().join(", ");
        let disputed = match disputed.len() {
            0 => String::new(),
            n => format!("; {n} disputed: {shown}"),
        };
        format!("schema {how}, step {}{}{holds}{disputed}", self.step, waits.unwrap_or_default())
    }

    fn settle(&mut self) -> bool {
        let moved = self.window.settle(self.linger);
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
            Command::Found(v, linger) => (self.window, self.linger) = (Window::Closed(v), linger),
            Command::Open(to, _) => self.window = Window::Opening { old: to - 1 },
            Command::Close(_) => self.window.close(alive),
            Command::Back(_) => self.window.back(alive),
            Command::Clear(holder, ..) => {
                return alive.contains(&holder) && self.window.clear(holder) | self.settle();
            }
            Command::Tell(id, v, started) => return self.executors.tell(id, v, started),
            Command::Says(id, v, started) => return self.executors.say(&id, v, started),
            Command::Settle(id, v, started) => return self.executors.settle(&id, v, started),
            Command::Gone(id, started) => return self.executors.gone(&id, started),
        }
        self.step += 1;
        true
    }

    fn on_lease_change(&mut self, alive: &BTreeSet<Holder>) -> bool {
        self.window.leases(alive) | self.settle()
    }

    fn sweep(&mut self, now: Micros) -> bool {
        self.window.sweep(now) | self.settle()
    }
}
