//! Episodes of one fleet, each with its fault, under clients that keep the names of what they ask.

use super::{REST, shape};
use crate::daemon::Event;
use crate::fleet::Failure;
use crate::fleet::accounts::{Seen, seen};
use crate::fleet::clients::{Account, Load, Traffic};
use crate::fleet::faults::{Fault, Kind, draw};
use crate::fleet::lanes::Task;
use crate::fleet::world::{REMEMBERS, World};
use standins::executor::Pull;
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// An episode as it was.
#[derive(Debug, Clone)]
pub struct Episode {
    /// What went wrong.
    pub fault: Fault,
    /// Its start.
    pub begun: SystemTime,
    /// Its end, with the rest after it.
    pub over: SystemTime,
}

/// What a lane of episodes came to.
#[derive(Default)]
pub struct Lane {
    /// Dispatchers of its fleet.
    pub dispatchers: usize,
    /// In order.
    pub episodes: Vec<Episode>,
    /// All requests.
    pub accounts: Vec<Account>,
    /// What reached executors.
    pub seen: Seen,
    /// From kills to the first claimed record, in seconds.
    pub takeovers: Vec<f64>,
    /// Lines that tell of a takeover.
    pub taken_over: u64,
    /// Leases lost.
    pub lost_leases: u64,
    /// Invariants broken.
    pub broken: u64,
    /// All dispatchers ended in order.
    pub ended_well: bool,
}

impl Lane {
    /// Whether a fault of some kind fell into the time of a request.
    pub fn touched(&self, a: &Account, which: impl Fn(Kind) -> bool) -> bool {
        let from = a.at - a.took;
        let meets = |e: &Episode| e.begun <= a.at && from <= e.over + Duration::from_secs(5);
        self.episodes.iter().any(|e| which(e.fault.kind) && meets(e))
    }
}

/// When dispatchers were killed, and when each was first taken over.
#[derive(Default)]
struct Kills {
    all: Vec<(usize, SystemTime)>,
    first: BTreeMap<(usize, SystemTime), SystemTime>,
}

/// Runs the episodes of a fleet.
pub fn run(task: &Task, seed: u64) -> Result<Lane, Failure> {
    let dispatchers = task.dispatchers;
    let mut world = World::start(&task.program, &task.folder, &shape(dispatchers))?;
    let mut lane = Lane { dispatchers, ..Lane::default() };
    if !world.settled(&mut |_, _| ()) {
        return Err("the fleet did not come to be".into());
    }
    // A load that is asked again is refused until the fleet is as old as any try can be.
    thread::sleep(REMEMBERS);
    let load = Load::new(10 * dispatchers as u32, Duration::from_millis(150), seed);
    let traffic = Traffic::start(&world.doors, load);
    thread::sleep(Duration::from_millis(500));
    let mut kills = Kills::default();
    for &number in &task.numbers {
        let fault = draw(seed, number, dispatchers);
        let begun = SystemTime::now();
        thread::sleep(fault.from);
        if matches!(fault.kind, Kind::Kill | Kind::KillTwo) {
            kills.all.push((fault.who, SystemTime::now()));
        }
        fault.passes(&mut world)?;
        if fault.kind == Kind::KillTwo {
            // The next goes once the first has a lease again: a majority is there throughout.
            let end = Instant::now() + Duration::from_secs(5);
            let mut held = false;
            while !held && Instant::now() < end {
                world.read_logs(&mut |i, e| {
                    held |= i == fault.who && e.message() == "fleet: lease held";
                    note(&mut lane, &mut kills, e);
                });
                thread::sleep(Duration::from_millis(10));
            }
            let next = Fault { who: (fault.who + 1) % dispatchers, ..fault };
            kills.all.push((next.who, SystemTime::now()));
            next.passes(&mut world)?;
        }
        thread::sleep(REST);
        world.read_logs(&mut |_, e| note(&mut lane, &mut kills, e));
        world.last_words();
        lane.episodes.push(Episode { fault, begun, over: SystemTime::now() });
    }
    lane.accounts = traffic.stop();
    world.read_logs(&mut |_, e| note(&mut lane, &mut kills, e));
    let claimed =
        kills.first.iter().filter_map(|((_, killed), claimed)| claimed.duration_since(*killed).ok());
    lane.takeovers = claimed.map(|d| d.as_secs_f64()).collect();
    let pulls: Vec<Pull> = world.executors.iter().flat_map(|e| e.pulls()).collect();
    // What a paused dispatcher had out goes on at the executor, unheard, when another has taken it over.
    let paused = |a: &&Account| lane.touched(a, |k| k == Kind::Pause);
    let excused: BTreeSet<u64> = lane.accounts.iter().filter(paused).map(|a| a.ask).collect();
    lane.seen = seen(pulls.iter(), &excused);
    lane.ended_well = world.end();
    Ok(lane)
}

/// Reads a log line: takeovers of killed dispatchers, leases lost, invariants broken.
fn note(lane: &mut Lane, kills: &mut Kills, e: &Event) {
    match e.message() {
        "fleet: taken over" => {
            lane.taken_over += 1;
            let peer = e.number("peer").unwrap_or(0) as usize;
            // The last kill of that one before this line; each counts once.
            let kill = kills.all.iter().rev().find(|(who, at)| who + 1 == peer && *at <= e.at);
            if let Some(kill) = kill {
                let at = kills.first.entry(*kill).or_insert(e.at);
                *at = (*at).min(e.at);
            }
        }
        "fleet: lease lost, all in hand is let go" => lane.lost_leases += 1,
        "counters" => lane.broken += e.number("broken").unwrap_or(0),
        _ => {}
    }
}
