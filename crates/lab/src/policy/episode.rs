//! One switch: proposed, with something that goes wrong, until all dispatchers tell the same again.

use super::check::Window;
use super::lines::{Line, Status, What, proposed};
use super::sides::{Files, Side};
use super::switch::{Struck, Switch};
use super::trouble::{Trouble, Whom};
use crate::daemon::Event;
use crate::fleet::Failure;
use crate::fleet::faults::{Coming, Kind};
use crate::fleet::reach::call_at;
use crate::fleet::world::World;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use standins::link::Weather;
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

/// All have to tell the same within this time.
const PATIENCE: Duration = Duration::from_secs(20);
/// Where nobody knows what became of a proposal, nothing may be under way for so long.
const QUIET: Duration = Duration::from_millis(1_500);

/// A fleet whose policies are switched, as it stands between two switches.
pub struct Fleet {
    /// The dispatchers and executors.
    pub world: World,
    /// What can be proposed.
    pub files: Files,
    /// What the logs have told so far.
    pub lines: Vec<Line>,
    /// Who leads, by its last word.
    leader: usize,
    /// The side that is in force.
    pub side: Side,
    /// The number that is in force.
    number: u64,
    /// The policy before the one in force binds to the other side.
    can_go_back: bool,
    /// Who has a lease, by its last word.
    leases: Vec<bool>,
    /// Invariants broken, by the counters in the logs.
    pub broken: u64,
}

fn file_call(path: &Path) -> String {
    format!("POLICY PROPOSE {}", path.display())
}

impl Fleet {
    /// Binds to the old side first; all have their leases.
    pub fn new(world: World, files: Files) -> Result<Fleet, Failure> {
        let said = world.call(0, &file_call(&files.good(Side::Old)));
        let number = proposed(&said).ok_or(said)?;
        let (lines, leases, side) = (Vec::new(), vec![true; world.len()], Side::Old);
        let fleet =
            Fleet { world, files, lines, leader: 0, side, number, can_go_back: false, leases, broken: 0 };
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let answers = fleet.ask();
            if same(&answers).is_some_and(|all| all.iter().all(|s| s.in_force == number)) {
                return Ok(fleet);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err("the first policy did not come into force".into())
    }

    /// Reads the logs on.
    pub fn read(&mut self) {
        let Fleet { lines, leader, leases, broken, .. } = self;
        let mut take = |who: usize, e: &Event| {
            lines.extend(Line::of(who, e));
            if e.yes("leads") {
                *leader = who;
            }
            match e.message() {
                "fleet: lease held" => leases[who] = true,
                "fleet: lease lost, all in hand is let go" => leases[who] = false,
                "counters" => *broken += e.number("broken").unwrap_or(0),
                _ => {}
            }
        };
        for (who, e) in self.world.last_words() {
            take(who, &e);
        }
        self.world.read_logs(&mut take);
    }

    fn operator_call(&self, who: usize, line: String) -> JoinHandle<String> {
        let at = self.world.operator(who);
        thread::spawn(move || at.map(|at| call_at(at, &line)).unwrap_or_default())
    }

    /// What each dispatcher answers.
    fn ask(&self) -> Vec<String> {
        (0..self.world.len()).map(|i| self.world.call(i, "POLICY STATUS")).collect()
    }

    /// Waits until all have their leases, so that what one switch broke is not counted for the next.
    pub fn rests(&mut self, least: Duration) {
        let end = Instant::now() + PATIENCE;
        thread::sleep(least);
        self.read();
        while !self.leases.iter().all(|l| *l) && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
            self.read();
        }
    }

    /// Switches to the other side.
    pub fn switch(&mut self, rng: &mut StdRng) -> Result<Switch, Failure> {
        let n = self.world.len();
        let (trouble, to) = (Trouble::draw(rng), self.side.other());
        let back = rng.random_bool(0.1) && self.can_go_back && trouble != Trouble::Bad;
        // The last one does not know the class that a bad file names.
        let proposer = rng.random_range(0..if trouble == Trouble::Bad { n - 1 } else { n });
        let others: Vec<usize> = (0..n).filter(|i| *i != proposer).collect();
        let other = others.choose(rng).copied().unwrap_or(0);
        let neither: Vec<usize> = others.iter().copied().filter(|i| *i != self.leader).collect();
        let who = match trouble {
            Trouble::Fault(_, Whom::Proposer) => proposer,
            Trouble::Fault(_, Whom::Leader) => self.leader,
            _ => neither.choose(rng).copied().unwrap_or(other),
        };
        // A switch takes some milliseconds where the links are quick: what is to strike in its middle needs late ones.
        let late = rng.random_bool(0.6).then(|| rng.random_range(10..40));
        let early = matches!(trouble, Trouble::Fault(..)) && rng.random_bool(0.25);
        let most = if late.is_some() { 350 } else { 15 };
        let from = Duration::from_millis(if early { 0 } else { rng.random_range(0..most) });
        let length = Duration::from_millis(rng.random_range(300..2_500));
        let fault = trouble.fault(who, from, length, rng);
        let line = match (back, trouble) {
            (true, _) => "POLICY BACK".to_string(),
            (_, Trouble::Bad) => file_call(&self.files.bad(to)),
            _ => file_call(&self.files.good(to)),
        };
        self.read();
        (0..n).for_each(|i| self.world.peers(i, late.map_or(Weather::Clear, Weather::Late), false));
        let mut coming = Coming::new(fault, from, if fault.is_some() { length } else { Duration::ZERO });
        let mut struck = None;
        if early {
            coming.turn(&mut self.world)?;
            (struck, self.leases[who]) =
                (Some(SystemTime::now()), !matches!(trouble, Trouble::Fault(Kind::Kill, _)));
            thread::sleep(Duration::from_millis(rng.random_range(0..1_300)));
        }
        let (begun, start) = (SystemTime::now(), Instant::now());
        let mut calls = vec![self.operator_call(proposer, line)];
        if trouble == Trouble::Twice {
            calls.push(self.operator_call(other, file_call(&self.files.good(to))));
        }
        let (mut settled, mut quiet, mut answers) = (None, None::<Instant>, Vec::new());
        let (mut numbers, mut said) = (Vec::new(), Vec::new());
        while settled.is_none() && start.elapsed() < PATIENCE {
            thread::sleep(Duration::from_millis(if coming.struck { 20 } else { 1 }));
            let begins = coming.turn(&mut self.world)?;
            struck = if begins { Some(SystemTime::now()) } else { struck };
            if begins && trouble == Trouble::Abort {
                self.world.call(other, "POLICY ABORT");
            }
            if coming.struck {
                self.read();
            }
            if begins && matches!(trouble, Trouble::Fault(Kind::Kill, _)) {
                self.leases[who] = false;
            }
            if !coming.healed {
                continue;
            }
            let (done, open): (Vec<_>, Vec<_>) = calls.into_iter().partition(JoinHandle::is_finished);
            calls = open;
            for c in done {
                let answer = c.join().unwrap_or_default();
                numbers.extend(proposed(&answer));
                said.push(answer);
            }
            answers = self.ask();
            let over = calls.is_empty().then(|| same(&answers)).flatten();
            quiet = over.as_ref().map(|_| quiet.unwrap_or_else(Instant::now));
            let known = |all: &[Status]| {
                !numbers.is_empty() && numbers.iter().all(|n| all.iter().all(|s| s.knows(*n)))
            };
            let long = quiet.is_some_and(|since| since.elapsed() >= QUIET);
            settled = over.filter(|all| long || known(all)).and_then(|all| Some(all.first()?.in_force));
        }
        (0..n).for_each(|i| self.world.peers(i, Weather::Clear, false));
        let first = |of: &dyn Fn(What) -> bool| {
            self.lines.iter().filter(|l| l.at >= begun && of(l.what)).map(|l| l.at).min()
        };
        let voted = first(&|w| matches!(w, What::Voted(..)));
        let over = first(&|w| matches!(w, What::InForce(_) | What::GivenUp(_)));
        let struck = match struck {
            Some(t) if voted.is_none_or(|v| t < v) => Struck::Before,
            Some(t) if over.is_none_or(|o| t < o) => Struck::Between,
            _ => Struck::After,
        };
        let was = self.number;
        self.number = settled
            .or_else(|| answers.iter().filter_map(|a| Status::of(a)).map(|s| s.in_force).max())
            .unwrap_or(was);
        let took_hold = self.number > was;
        if took_hold {
            self.side = to;
            // The same side may have come into force twice.
            self.can_go_back = !(numbers.len() > 1 && numbers.iter().any(|n| *n > was && *n < self.number));
        }
        let window = Window { begun, over: SystemTime::now(), to };
        if settled.is_none() {
            said.extend(answers);
        }
        let (number, settled, answers) = (self.number, settled.is_some(), said);
        Ok(Switch { trouble, window, proposed: numbers, number, back, took_hold, struck, settled, answers })
    }
}

/// What all tell, if they tell one number and nothing is under way anywhere.
fn same(answers: &[String]) -> Option<Vec<Status>> {
    let all: Vec<Status> = answers.iter().map(|a| Status::of(a)).collect::<Option<_>>()?;
    let first = all.first()?.in_force;
    all.iter().all(|s| s.in_force == first && !s.under_way).then_some(all)
}

#[cfg(test)]
mod tests;
