//! One plan to take executors out for work, with what goes wrong meanwhile.

use super::machines::{Line, Machines, now_ms, read};
use super::{EXECUTORS, GRACE, LONGEST};
use crate::fleet::Failure;
use crate::fleet::faults::{Coming, Fault, Kind};
use crate::fleet::world::{World, uid};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use standins::link::Weather;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// What goes wrong during a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// Nothing.
    Nothing,
    /// A dispatcher is killed and started anew.
    Kill,
    /// A dispatcher's links to its peers end.
    Cut,
    /// A dispatcher's links to its peers fall silent.
    Silent,
    /// A dispatcher stands still.
    Pause,
    /// An executor stays away until a person has mended it.
    NeverBack,
    /// An operator calls the plan off.
    Abort,
}

impl Trouble {
    /// What is done to a dispatcher.
    fn fault(self) -> Option<(Kind, Weather)> {
        match self {
            Trouble::Kill => Some((Kind::Kill, Weather::Clear)),
            Trouble::Cut => Some((Kind::CutPeers, Weather::Cut)),
            Trouble::Silent => Some((Kind::SilentPeers, Weather::Silent)),
            Trouble::Pause => Some((Kind::Pause, Weather::Clear)),
            Trouble::Nothing | Trouble::NeverBack | Trouble::Abort => None,
        }
    }
}

/// All troubles, as the table names them.
pub const TROUBLES: [(Trouble, &str); 7] = [
    (Trouble::Nothing, "none"),
    (Trouble::Kill, "a dispatcher killed and restarted"),
    (Trouble::Cut, "a dispatcher cut from its peers"),
    (Trouble::Silent, "a dispatcher black-holed from its peers"),
    (Trouble::Pause, "a dispatcher paused"),
    (Trouble::NeverBack, "a motor that does not come back"),
    (Trouble::Abort, "an operator aborts"),
];

/// What came of a plan.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// What went wrong.
    pub trouble: Trouble,
    /// Executors in the plan.
    pub executors: usize,
    /// It came to its end in time.
    pub ended: bool,
    /// Requests that reached an executor after its step was agreed.
    pub late: usize,
    /// Steps that one dispatcher told twice.
    pub twice: usize,
    /// Executors that were out beside another.
    pub over_budget: usize,
    /// From the call to the end.
    pub took: Duration,
}

/// One plan, from the call until it has ended.
pub fn plan(world: &mut World, seed: u64) -> Result<Outcome, Failure> {
    let mut rng = StdRng::seed_from_u64(seed);
    let trouble = if rng.random_bool(0.25) { Trouble::Nothing } else { TROUBLES[rng.random_range(1..7)].0 };
    let mut executors: Vec<usize> = (0..EXECUTORS).collect();
    executors.shuffle(&mut rng);
    executors.truncate(rng.random_range(1..4));
    let who = rng.random_range(0..world.len());
    let other = (who + 1) % world.len();
    let stays = (trouble == Trouble::NeverBack).then_some(executors[0]);
    let (begun, mut lines, mut machines) = (Instant::now(), Vec::new(), Machines::default());
    read(world, &mut Vec::new());
    let ids: Vec<String> = executors.iter().map(|m| uid(*m)).collect();
    let asked = world.call(other, &format!("DRAIN PLAN {}", ids.join(",")));
    if !asked.starts_with("+OK") {
        return Err(format!("not planned: {asked}").into());
    }
    let from = Duration::from_millis(rng.random_range(0..2_500));
    let length = Duration::from_millis(rng.random_range(400..2_500));
    let fault = |(kind, weather)| Fault { kind, who, weather, from, length };
    let mut coming = Coming::new(trouble.fault().map(fault), from, length);
    let restarted = (trouble == Trouble::Kill).then_some(who);
    let mut ended = false;
    while begun.elapsed() < LONGEST && !(ended && coming.healed) {
        let new = read(world, &mut lines);
        machines.step(world, &new, stays, &mut rng);
        if coming.turn(world)? && trouble == Trouble::Abort {
            world.call(other, "DRAIN ABORT");
        }
        if let Some(executor) = stays
            && lines.iter().any(|l| l.executor == executor && l.step.starts_with("failed"))
            && machines.away.get(&executor) == Some(&None)
        {
            // A person has mended it.
            machines.away.insert(executor, Some(Instant::now()));
            world.call(other, &format!("DRAIN MEND {}", uid(executor)));
        }
        let status = world.call(other, "DRAIN STATUS");
        let over = |id: &String| {
            let step = status.lines().find_map(|l| l.strip_prefix(id.as_str())).unwrap_or(" waits");
            [" done", " aborted", " failed"].iter().any(|w| step.starts_with(w))
        };
        let mending = stays.is_some_and(|m| status.contains(&format!("{} failed", uid(m))));
        ended = status.starts_with("+OK") && ids.iter().all(over) && !mending;
        thread::sleep(Duration::from_millis(20));
    }
    let took = begun.elapsed();
    // All have seen the end before the next plan.
    thread::sleep(Duration::from_millis(600));
    read(world, &mut lines);
    world.last_words();
    for executor in std::mem::take(&mut machines.away).into_keys() {
        world.list(executor, "up", now_ms());
    }
    let first = |executor: usize, steps: &[&str]| {
        let fits = |l: &&Line| l.executor == executor && steps.iter().any(|s| l.step.starts_with(s));
        lines.iter().filter(fits).map(|l| l.at).min()
    };
    let mut spans: Vec<(SystemTime, SystemTime)> = Vec::new();
    let (mut late, mut twice) = (0, 0);
    for &executor in &executors {
        let Some(agreed) = first(executor, &["drains"]) else { continue };
        let end = first(executor, &["warms", "aborted"]).unwrap_or_else(SystemTime::now);
        late +=
            world.executors[executor].pulls().iter().filter(|p| p.at > agreed + GRACE && p.at < end).count();
        spans.push((agreed, first(executor, &["done", "aborted"]).unwrap_or_else(SystemTime::now)));
        for d in (0..world.len()).filter(|d| Some(*d) != restarted) {
            let times = lines
                .iter()
                .filter(|l| l.who == d && l.executor == executor && l.step.starts_with("drains"))
                .count();
            twice += usize::from(times > 1);
        }
    }
    spans.sort();
    let over_budget = spans.windows(2).filter(|w| w[1].0 < w[0].1).count();
    Ok(Outcome { trouble, executors: executors.len(), ended, late, twice, over_budget, took })
}
