//! Fleets of hundreds of gateways, each of which sees a sliver: what one does, and what all do together.

mod admission;
#[path = "../common/mod.rs"]
mod common;
mod grants;
mod homes;
mod mute;
mod probes;

use common::*;
use ottercroft::api::*;

fn fleet(gateways: u32) -> Settings {
    Settings { gateways, ..settings() }
}

fn probes(rig: &Rig) -> usize {
    rig.log.iter().filter(|(_, a)| matches!(a, Action::Probe { .. })).count()
}
