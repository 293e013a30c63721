//! The same switches without an agreement: each dispatcher reads a file of its own, and one after the other is
//! started anew with the other file.

use super::check::{Window, wrong_side};
use super::lane::{Spans, asked, load, reached, refused, shape};
use super::sides::{Side, platform};
use crate::fleet::Failure;
use crate::fleet::clients::Traffic;
use crate::fleet::world::{Shape, World};
use std::path::Path;
use std::thread;
use std::time::{Duration, SystemTime};

/// An operator goes from one dispatcher to the next.
const STEP: Duration = Duration::from_millis(300);

/// What came of such switches.
#[derive(Debug, Clone, Copy, Default)]
pub struct Harm {
    /// Switches.
    pub switches: usize,
    /// Of these, with tries on the old side after the new one had served.
    pub touched: usize,
    /// Such tries.
    pub wrong: usize,
    /// Requests refused.
    pub refused: usize,
}

/// Makes so many switches of three dispatchers.
pub fn harm(program: &Path, folder: &Path, runs: u32, seed: u64, spans: Spans) -> Result<Harm, Failure> {
    let settings = platform(&[Side::Old], false);
    let shape = Shape { remember: spans.remember, ..shape(3, &settings, false) };
    let mut world = World::start(program, folder, &shape)?;
    if !world.settled(&mut |_, _| ()) {
        return Err("the fleet did not come to be".into());
    }
    thread::sleep(spans.remember);
    let traffic = Traffic::start(&world.doors, load(3, seed, spans));
    thread::sleep(Duration::from_millis(500));
    let (mut side, mut windows) = (Side::Old, Vec::new());
    for _ in 0..runs {
        side = side.other();
        let begun = SystemTime::now();
        for i in 0..world.len() {
            world.tell_platform(i, &platform(&[side], false));
            world.roll(i)?;
            thread::sleep(STEP);
        }
        windows.push(Window { begun, over: SystemTime::now(), to: side });
        // Who started last has a lease again before the first one goes.
        thread::sleep(Duration::from_secs(2));
        world.read_logs(&mut |_, _| ());
    }
    let accounts = traffic.stop();
    let wrong = wrong_side(&windows, &asked(&accounts), &reached(&world));
    let touched = (0..windows.len()).filter(|n| wrong.iter().any(|w| w.switch == *n)).count();
    world.end();
    Ok(Harm { switches: windows.len(), touched, wrong: wrong.len(), refused: refused(&accounts).len() })
}
