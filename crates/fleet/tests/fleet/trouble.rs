//! What goes wrong with a fleet, drawn from its seed, and its end.

use crate::world::*;
use fleet::Peer;
use std::collections::BTreeSet;

impl World {
    /// One of the dispatchers may be killed, stopped or cut off for a while.
    pub fn trouble(&mut self) {
        // A minority at most is out at once; one that started anew is, until it takes part again.
        let now = self.now;
        let victim = 1 + self.draw(u64::from(self.n)) as Peer;
        let out: BTreeSet<Peer> = (1..=self.n)
            .filter(|p| {
                self.fleets.get(p).is_none_or(|f| f.holds(now).is_none()) || self.healed_at.contains_key(p)
            })
            .collect();
        if out.len() < usize::from((self.n - 1) / 2) && !out.contains(&victim) {
            let span = (200 + self.draw(2_500)) * MS;
            match self.draw(4) {
                0 => {
                    self.fleets.remove(&victim);
                    self.healed_at.insert(victim, self.now + span);
                }
                1 => {
                    let until = self.now + span;
                    self.paused.insert(victim, until);
                }
                2 => {
                    let one_way = self.draw(2) == 0;
                    for p in (1..=self.n).filter(|p| *p != victim) {
                        self.cut.insert((p, victim));
                        if !one_way {
                            self.cut.insert((victim, p));
                        }
                    }
                    self.healed_at.insert(victim, self.now + span);
                }
                _ => {}
            }
        }
    }

    /// Who has been out for long enough is back.
    pub fn heal(&mut self) {
        let now = self.now;
        let healed: Vec<Peer> = self.healed_at.iter().filter(|(_, t)| **t <= now).map(|(p, _)| *p).collect();
        for p in healed {
            self.healed_at.remove(&p);
            self.cut.retain(|(a, b)| *a != p && *b != p);
            if !self.fleets.contains_key(&p) {
                self.restart(p);
            }
        }
    }

    /// All are back.
    pub fn heal_all(&mut self) {
        self.cut.clear();
        for p in 1..=self.n {
            if !self.fleets.contains_key(&p) {
                self.restart(p);
            }
        }
    }
}
