//! Clients that disconnect, are killed, exceed limits or send too much while an answer is pending. The
//! program runs on loopback sockets against scripted peers that force the order of events.

mod crowds;
mod departing_crowd;
mod keyed;
mod leaving;
mod log_reader;
mod standstill;

use standins::scripted::*;
use std::net::SocketAddr;

fn launch() -> Launch {
    Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"))
}

/// A dispatcher whose default settings are changed by these replacements, each of which must match.
fn dispatcher(changes: &[(&str, &str)], executors: &[(&str, SocketAddr)]) -> (Dispatcher, Coordinator) {
    let mut launch = launch();
    for (from, to) in changes {
        assert!(launch.settings.contains(from), "{from}");
        launch.settings = launch.settings.replace(from, to);
    }
    launch.dispatcher(executors)
}

/// A dispatcher that sends nothing that a test does not request.
fn quiet(executors: &[(&str, SocketAddr)]) -> (Dispatcher, Coordinator) {
    let mut launch = launch();
    launch.settings = Quiet::default().json();
    launch.dispatcher(executors)
}

/// A request of a class, with an id that ends in these two digits.
fn request(class: &str, digits: &str) -> String {
    format!(
        "/* method={class},rid=00000000000000{digits},budget=15000,est=10.0,space=9 */ SELECT a FROM sales_7.t"
    )
}

fn row() -> Got {
    Got::Rows(vec![["1", "x", "y"].map(String::from).to_vec()])
}
