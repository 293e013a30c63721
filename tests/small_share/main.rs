//! Fleets of hundreds of dispatchers, each with a small share of the traffic: the behaviour of a single dispatcher and
//! of all together.

mod admission;
mod affinity;
#[path = "../common/mod.rs"]
mod common;
mod grants;
mod probes;
mod reports_without_load;

use common::*;
use ottercroft::api::*;

fn fleet(dispatchers: u32) -> Settings {
    Settings { dispatchers, ..settings() }
}

fn probes(rig: &Rig) -> usize {
    rig.log.iter().filter(|(_, a)| matches!(a, Action::Probe { .. })).count()
}
