//! What goes wrong in an episode, drawn from a seed: the same seed draws the same faults.

use super::Failure;
use super::world::World;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use standins::link::Weather;
use std::thread;
use std::time::{Duration, Instant};

/// What is done to one dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Killed at once, and started anew later.
    Kill,
    /// Stopped, and let go on later.
    Pause,
    /// All its links to peers end, and are reset when tried.
    CutPeers,
    /// All its links to peers fall silent.
    SilentPeers,
    /// Its links to peers fall silent one way: it hears nothing and is heard.
    Deaf,
    /// Its links to peers are late.
    LatePeers,
    /// Its links to peers trickle.
    SlowPeers,
    /// Messages to and from its peers change places.
    ShuffledPeers,
    /// Its links to half the executors end.
    CutExecutors,
    /// It is killed, and so is the next one as soon as it is back.
    KillTwo,
}

/// All kinds, as the tables name them.
pub const KINDS: [(Kind, &str); 10] = [
    (Kind::Kill, "kill -9 and restart"),
    (Kind::Pause, "paused"),
    (Kind::CutPeers, "cut from peers"),
    (Kind::SilentPeers, "black-holed from peers"),
    (Kind::Deaf, "deaf to peers"),
    (Kind::LatePeers, "peers late"),
    (Kind::SlowPeers, "peers at a trickle"),
    (Kind::ShuffledPeers, "peers' messages reordered"),
    (Kind::CutExecutors, "cut from half the motores"),
    (Kind::KillTwo, "one killed after the other"),
];

/// A fault: to whom, how bad, for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// Which dispatcher, by place from 0.
    pub who: usize,
    /// The weather on links, where the kind has any.
    pub weather: Weather,
    /// When it begins, from the episode's start.
    pub from: Duration,
    /// How long it lasts.
    pub length: Duration,
}

/// Draws the fault of an episode of a fleet.
pub fn draw(seed: u64, episode: u32, dispatchers: usize) -> Fault {
    let mut rng = StdRng::seed_from_u64(seed ^ u64::from(episode).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    // Kills are what this is about: they come as often as all else together.
    let kind = match rng.random_bool(0.4) {
        true => Kind::Kill,
        false => KINDS.choose(&mut rng).map_or(Kind::Kill, |k| k.0),
    };
    let weather = match kind {
        Kind::CutPeers | Kind::CutExecutors => Weather::Cut,
        Kind::SilentPeers | Kind::Deaf => Weather::Silent,
        Kind::LatePeers => Weather::Late(rng.random_range(20..400)),
        Kind::SlowPeers => Weather::Trickle(rng.random_range(16..256)),
        Kind::ShuffledPeers => Weather::Shuffled,
        _ => Weather::Clear,
    };
    Fault {
        kind,
        who: rng.random_range(0..dispatchers),
        weather,
        from: Duration::from_millis(rng.random_range(100..600)),
        length: Duration::from_millis(rng.random_range(300..2_200)),
    }
}

impl Fault {
    /// It begins. Of `KillTwo` it is the first kill.
    pub fn strikes(&self, world: &mut World) {
        match self.kind {
            Kind::Kill | Kind::KillTwo => drop(world.kill(self.who)),
            Kind::Pause => world.pause(self.who, true),
            Kind::CutExecutors => world.executors(self.who, self.weather),
            kind => world.peers(self.who, self.weather, kind == Kind::Deaf),
        }
    }

    /// It ends: whoever was killed is started anew.
    pub fn heals(&self, world: &mut World) -> Result<(), Failure> {
        match self.kind {
            Kind::Kill | Kind::KillTwo => world.restart(self.who)?,
            Kind::Pause => world.pause(self.who, false),
            Kind::CutExecutors => world.executors(self.who, Weather::Clear),
            _ => world.peers(self.who, Weather::Clear, false),
        }
        Ok(())
    }

    /// Begins, lasts and ends; whoever waits for that does nothing else.
    pub fn passes(&self, world: &mut World) -> Result<(), Failure> {
        self.strikes(world);
        thread::sleep(self.length);
        self.heals(world)
    }
}

/// A fault on its way, for whoever does other things meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct Coming {
    fault: Option<Fault>,
    strikes: Instant,
    heals: Instant,
    /// It has begun.
    pub struck: bool,
    /// It is over.
    pub healed: bool,
}

impl Coming {
    /// Counts its times from now; without a fault, times at which nothing is done.
    pub fn new(fault: Option<Fault>, from: Duration, length: Duration) -> Coming {
        let strikes = Instant::now() + from;
        Coming { fault, strikes, heals: strikes + length, struck: false, healed: false }
    }

    /// Does what is due; whether it began just now.
    pub fn turn(&mut self, world: &mut World) -> Result<bool, Failure> {
        let begins = !self.struck && Instant::now() >= self.strikes;
        if begins {
            self.struck = true;
            self.fault.iter().for_each(|f| f.strikes(world));
        }
        if self.struck && !self.healed && Instant::now() >= self.heals {
            self.healed = true;
            self.fault.iter().try_for_each(|f| f.heals(world))?;
        }
        Ok(begins)
    }
}

#[cfg(test)]
mod tests;
