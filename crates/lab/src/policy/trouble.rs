//! What goes wrong in a switch, drawn from a seed.

use crate::fleet::faults::{Fault, Kind};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use standins::link::Weather;
use std::time::Duration;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    /// Nothing.
    Nothing,
    /// An operator calls it off at another dispatcher.
    Abort,
    /// It is proposed at two dispatchers at once.
    Twice,
    /// One dispatcher can't follow it and has to vote against it.
    Bad,
    /// Something is done to a dispatcher.
    Fault(Kind, Whom),
}

/// The dispatcher that a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Whom {
    /// Where the operator calls.
    Proposer,
    /// Who leads the fleet, by its last word on that.
    Leader,
    /// One that is neither.
    Another,
}

/// The faults that strike switches, as the tables name them.
pub const FAULTS: [(Kind, &str); 6] = [
    (Kind::Kill, "kill -9 and restart"),
    (Kind::Pause, "paused"),
    (Kind::CutPeers, "cut from peers"),
    (Kind::SilentPeers, "black-holed from peers"),
    (Kind::LatePeers, "peers late"),
    (Kind::SlowPeers, "peers at a trickle"),
];

/// Whom they strike, as the tables name them.
pub const WHOM: [(Whom, &str); 3] =
    [(Whom::Proposer, "proposer"), (Whom::Leader, "leader"), (Whom::Another, "another")];

impl Trouble {
    /// Draws one: one in four switches is left alone.
    pub fn draw(rng: &mut StdRng) -> Trouble {
        match rng.random_range(0..100) {
            0..25 => Trouble::Nothing,
            25..32 => Trouble::Abort,
            32..39 => Trouble::Twice,
            39..45 => Trouble::Bad,
            _ => {
                let kind = FAULTS.choose(rng).map_or(Kind::Kill, |f| f.0);
                Trouble::Fault(kind, WHOM.choose(rng).map_or(Whom::Proposer, |w| w.0))
            }
        }
    }

    /// All, with the names of the tables.
    pub fn all() -> Vec<(Trouble, String)> {
        let mut all = vec![
            (Trouble::Nothing, "nothing".to_string()),
            (Trouble::Abort, "called off by an operator".into()),
            (Trouble::Twice, "proposed twice at once".into()),
            (Trouble::Bad, "one has to vote against it".into()),
        ];
        for (kind, name) in FAULTS {
            let of = |(whom, at): (Whom, &str)| (Trouble::Fault(kind, whom), format!("{name}: {at}"));
            all.extend(WHOM.map(of));
        }
        all
    }

    /// Nobody is down, cut off or slowed: no request may be refused.
    pub fn calm(self) -> bool {
        !matches!(self, Trouble::Fault(..))
    }

    /// The fault, with the weather that it needs.
    pub fn fault(self, who: usize, from: Duration, length: Duration, rng: &mut StdRng) -> Option<Fault> {
        let Trouble::Fault(kind, _) = self else { return None };
        let weather = match kind {
            Kind::CutPeers => Weather::Cut,
            Kind::SilentPeers => Weather::Silent,
            Kind::LatePeers => Weather::Late(rng.random_range(20..400)),
            Kind::SlowPeers => Weather::Trickle(rng.random_range(16..256)),
            _ => Weather::Clear,
        };
        Some(Fault { kind, who, weather, from, length })
    }
}

#[cfg(test)]
mod tests;
