//! Random faults of a simulated fleet, and their repair.

use crate::world::*;
use fleet::Peer;
use std::collections::BTreeSet;

impl World {
    /// Kills, pauses or disconnects at most one dispatcher for a while.
    pub fn inject_fault(&mut self) {
        // At most a minority is unavailable at once; a restarted peer counts as unavailable until it has a lease.
        let now = self.now;
        let victim = 1 + self.draw(u64::from(self.peer_count)) as Peer;
        let out: BTreeSet<Peer> = (1..=self.peer_count)
            .filter(|p| {
                self.fleets.get(p).is_none_or(|f| f.holds(now).is_none())
                    || self.outage_ends_at.contains_key(p)
            })
            .collect();
        if out.len() < usize::from((self.peer_count - 1) / 2) && !out.contains(&victim) {
            let span = (200 + self.draw(2_500)) * MS;
            match self.draw(4) {
                0 => {
                    self.fleets.remove(&victim);
                    self.outage_ends_at.insert(victim, self.now + span);
                }
                1 => {
                    let until = self.now + span;
                    self.paused.insert(victim, until);
                }
                2 => {
                    let one_way = self.draw(2) == 0;
                    for p in (1..=self.peer_count).filter(|p| *p != victim) {
                        self.cut_links.insert((p, victim));
                        if !one_way {
                            self.cut_links.insert((victim, p));
                        }
                    }
                    self.outage_ends_at.insert(victim, self.now + span);
                }
                _ => {}
            }
        }
    }

    /// Restarts or reconnects the peers whose outage is over.
    pub fn end_outages(&mut self) {
        let now = self.now;
        let healed: Vec<Peer> =
            self.outage_ends_at.iter().filter(|(_, t)| **t <= now).map(|(p, _)| *p).collect();
        for p in healed {
            self.outage_ends_at.remove(&p);
            self.cut_links.retain(|(a, b)| *a != p && *b != p);
            if !self.fleets.contains_key(&p) {
                self.restart(p);
            }
        }
    }

    /// Restarts and reconnects all peers.
    pub fn end_all_outages(&mut self) {
        self.cut_links.clear();
        for p in 1..=self.peer_count {
            if !self.fleets.contains_key(&p) {
                self.restart(p);
            }
        }
    }
}
