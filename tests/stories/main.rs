//! The program on loopback sockets against scripted peers: one test for each failure scenario.

mod clients;
mod executors;
mod program;

use standins::scripted::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::process::Child;

fn launch() -> Launch {
    Launch::new(env!("CARGO_BIN_EXE_ottercroft"), env!("CARGO_TARGET_TMPDIR"))
}

fn dispatcher(executors: &[(&str, SocketAddr)]) -> (Dispatcher, Coordinator) {
    launch().dispatcher(executors)
}

fn program(config: &str) -> (Child, std::path::PathBuf) {
    launch().spawn(config)
}

const READ: &str =
    "/* method=read,rid=00000000000000a1,budget=15000,est=10.0,space=9 */ SELECT a FROM sales_7.t";
const LOAD: &str =
    "/* method=load,rid=00000000000000b1,budget=15000,obj=00000000000000c1 */ INSERT INTO sales_7.t";

fn row(cells: [&str; 3]) -> Vec<String> {
    cells.map(String::from).to_vec()
}
