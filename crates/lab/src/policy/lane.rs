//! The switches of one fleet, and what the checks find in its accounts.

use super::check::{Reached, Window, Wrong, admitted_late, halves, refusals, took, wrong_side};
use super::episode::Fleet;
use super::lines::Line;
use super::sides::{BLOCK, BOTH, EACH, Files, Side, platform};
use super::switch::Switch;
use crate::fleet::Failure;
use crate::fleet::accounts::{Answers, Seen, answers, seen, try_of};
use crate::fleet::clients::{Account, Load, Traffic};
use crate::fleet::lanes::Task;
use crate::fleet::world::{Shape, World};
use rand::SeedableRng;
use rand::rngs::StdRng;
use standins::executor::Pull;
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, SystemTime};

/// From one switch to the next.
const REST: Duration = Duration::from_millis(300);

/// How long things last that a short run can't wait for.
#[derive(Debug, Clone, Copy)]
pub struct Spans {
    /// Ended loads are remembered; the fleet has to be as old before one may be asked again.
    pub remember: Duration,
    /// Clients go on asking.
    pub patience: Duration,
}

impl Spans {
    /// Those of the measurement, or of a short run.
    pub fn of(slice: bool) -> Spans {
        let s = Duration::from_secs;
        let (remember, patience) = if slice { (s(7), s(6)) } else { (s(16), s(15)) };
        Spans { remember, patience }
    }
}

/// A fleet of so many dispatchers, its policies switched on or not.
pub fn shape(dispatchers: usize, settings: &str, with_policies: bool) -> Shape<'_> {
    Shape {
        dispatchers,
        settings,
        executors: 2 * EACH,
        kind: |executor| Side::of(executor).kind(),
        in_peers: if with_policies { BLOCK } else { "" },
        work: |p| Duration::from_millis(if p.class() == "load" { 60 } else { 25 }),
        ..Shape::default()
    }
}

/// A switch with what the checks say of it.
#[derive(Debug, Clone)]
pub struct Checked {
    /// The switch.
    pub switch: Switch,
    /// From the last yes to the first and the last dispatcher that had it in force.
    pub took: Option<(Duration, Duration)>,
    /// Requests refused meanwhile.
    pub refused: usize,
}

/// What came of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Lane {
    /// In order.
    pub switches: Vec<Checked>,
    /// Tries on the old side after the new one had served.
    pub wrong: Vec<Wrong>,
    /// Admissions under an older number than another before.
    pub late: Vec<Line>,
    /// Admissions that the logs told.
    pub admitted: usize,
    /// Numbers in force here and given up there.
    pub half: BTreeSet<u64>,
    /// What clients got.
    pub answers: Answers,
    /// What executors saw.
    pub seen: Seen,
    /// Invariants broken.
    pub broken: u64,
}

/// The clients of such a fleet.
pub fn load(dispatchers: usize, seed: u64, spans: Spans) -> Load {
    let every = Load::new(8 * dispatchers as u32, Duration::from_millis(100), seed);
    Load { patience: spans.patience, ..every }
}

/// The tries that reached executors, in order of time.
pub fn reached(world: &World) -> Vec<Reached> {
    let mut all = Vec::new();
    for (executor, e) in world.executors.iter().enumerate() {
        for p in e.pulls() {
            let Some(rid) = try_of(&p) else { continue };
            all.push(Reached { rid, class: p.class().into(), side: Side::of(executor), at: p.at });
        }
    }
    all.sort_by_key(|r| r.at);
    all
}

/// When each try was asked.
pub fn asked(accounts: &[Account]) -> BTreeMap<u64, SystemTime> {
    accounts.iter().flat_map(|a| &a.asked).map(|a| (a.rid, a.at)).collect()
}

/// When tries were refused, in order.
pub fn refused(accounts: &[Account]) -> Vec<SystemTime> {
    let mut all: Vec<_> = accounts.iter().flat_map(|a| &a.asked).filter_map(|a| a.refused).collect();
    all.sort();
    all
}

/// Runs the switches of a fleet.
pub fn run(task: &Task, seed: u64, spans: Spans) -> Result<Lane, Failure> {
    let (knows_more, knows_less) = (platform(&BOTH, true), platform(&BOTH, false));
    let n = task.dispatchers;
    let log = Some("info,ottercroft::policies=debug");
    // The last one knows a class less, so that it has to vote against a policy that names it.
    let differing = &[(n - 1, &*knows_less)];
    let shape = Shape { remember: spans.remember, log, differing, ..shape(n, &knows_more, true) };
    let world = World::start(&task.program, &task.folder, &shape)?;
    if !world.settled(&mut |_, _| ()) {
        return Err("the fleet did not come to be".into());
    }
    thread::sleep(spans.remember);
    let files = Files::new(&world.own(0))?;
    let mut fleet = Fleet::new(world, files)?;
    let traffic = Traffic::start(&fleet.world.doors, load(n, seed, spans));
    thread::sleep(Duration::from_millis(500));
    let mut switches = Vec::new();
    for &number in &task.numbers {
        let mut rng = StdRng::seed_from_u64(seed ^ u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        switches.push(fleet.switch(&mut rng)?);
        fleet.rests(REST);
    }
    let accounts = traffic.stop();
    fleet.read();
    let windows: Vec<Window> = switches.iter().map(|s| s.window).collect();
    let refused = refused(&accounts);
    let checked = |switch: Switch| Checked {
        took: switch.took_hold.then(|| took(&fleet.lines, switch.number)).flatten(),
        refused: refusals(&switch.window, &refused),
        switch,
    };
    let switches = switches.into_iter().map(checked).collect();
    let pulls: Vec<Pull> = fleet.world.executors.iter().flat_map(|e| e.pulls()).collect();
    let lane = Lane {
        switches,
        wrong: wrong_side(&windows, &asked(&accounts), &reached(&fleet.world)),
        late: admitted_late(&fleet.lines),
        admitted: fleet.lines.iter().filter(|l| l.admits()).count(),
        half: halves(&fleet.lines),
        answers: answers(accounts.iter()),
        seen: seen(pulls.iter(), &BTreeSet::new()),
        broken: fleet.broken,
    };
    fleet.world.end();
    Ok(lane)
}
