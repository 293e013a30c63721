//! What a client's connection costs a real dispatcher while it rests, logged in.

use super::process::{core_part, usage};
use super::table::Table;
use crate::fleet::{Failure, SETTINGS};
use standins::feed::Feed;
use standins::scripted::{Client, Launch};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Measures a dispatcher with these numbers of resting connections, each after its greeting.
pub fn measure(program: &Path, folder: &Path, sizes: &[usize]) -> Result<Table, Failure> {
    let mut table = Table::new(&["clients", "memory", "core", "descriptors"]);
    std::fs::create_dir_all(folder)?;
    for &size in sizes {
        let feed = Feed::at("127.0.0.1:0", 1)?;
        let mut launch = Launch::new(program, folder);
        (launch.settings, launch.log) = (SETTINGS.into(), Some("warn,ottercroft::net::setup=info".into()));
        launch.sockets = 8_000;
        let process = launch.serving(&launch.config_of(feed.address, &[]));
        let mut clients = Vec::new();
        for _ in 0..size {
            let second = Duration::from_secs(1);
            let mut client = Client::dials(process.address, "SET NAMES utf8mb4", second, 5 * second)
                .ok_or("a client was not let in")?;
            client.got();
            clients.push(client);
        }
        thread::sleep(Duration::from_secs(1));
        let before = usage(process.child.id());
        let span = Duration::from_secs(5);
        thread::sleep(span);
        let after = usage(process.child.id());
        if after.descriptors < size as f64 {
            return Err(format!("{} descriptors with {size} clients", after.descriptors).into());
        }
        table.row(&[size as f64, after.memory, core_part(before, after, span), after.descriptors]);
        println!("connections: {size} at rest");
    }
    Ok(table)
}
