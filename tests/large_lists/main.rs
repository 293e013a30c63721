//! The cost of a decision as the list of executors grows, counted in examined executors, so that the result does not
//! depend on the speed of the machine.

mod choice;
#[path = "../common/mod.rs"]
mod common;
mod work;

use common::*;
use ottercroft::api::*;

/// A fleet as is usual with long lists: each dispatcher sees little traffic, and load reports come with probes, which have
/// a price.
fn settings() -> Settings {
    Settings {
        dispatchers: 300,
        reports: Reports::OnProbe,
        probe_price: 0.08,
        handshake_price: 0.08,
        ..common::settings()
    }
}

/// A dispatcher with a list of which `cold_percent` percent have just started.
fn dispatcher(executors: u32, cold_percent: u32) -> Rig {
    let endpoint = |n| Endpoint { started: (n % 100 < cold_percent).then_some(START), ..endpoint(n) };
    Rig::knowing(settings(), 7, (1..=executors).map(endpoint).collect())
}
