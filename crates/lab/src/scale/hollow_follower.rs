//! One follower without clients: its connection and what it would admit by.

use super::hollow::{Seen, now};
use fleet::control_plane::follower::FollowerCounters;
use fleet::policy::{Action, Gate, Participant, Policy, PolicyLog};
use ottercroft::api::{Micros, Settings};
use ottercroft::net::control_plane::ControlLink;
use ottercroft::net::event_loop::poll::{Key, Poll};
use ottercroft::policies::ready;
use ottercroft::settings::Names;
use ottercroft::settings::options::Control;

/// A follower without clients.
pub struct HollowFollower {
    link: ControlLink,
    part: Participant,
}

impl HollowFollower {
    /// Dials at its first turn.
    pub fn new(settings: &Control, seed: u64, now: Micros) -> HollowFollower {
        let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        HollowFollower {
            link: ControlLink::new(settings, &format!("hollow-{seed:x}"), seed ^ now, now),
            part: Participant::default(),
        }
    }

    /// Does what is due and takes what came, as a dispatcher does in its turns.
    pub fn turn(&mut self, ready: bool, poll: &Poll, base: &Settings, names: &Names, seen: &mut Seen) {
        let at = now();
        // What it would have admitted in the moment before it hears more.
        self.sample(seen);
        if ready {
            self.link.ready(at, poll);
        }
        self.link.tick(at);
        self.look(at, base, names, seen);
        self.link.tick(at);
        self.link.flush(at, poll);
        self.sample(seen);
    }

    fn look(&mut self, at: Micros, base: &Settings, names: &Names, seen: &mut Seen) {
        let follower = &mut self.link.follower;
        if !follower.take_changed() && self.part.caught_up() {
            return;
        }
        let holder = follower.holds(at);
        let before = self.part.number();
        let mut check = |p: &Policy| ready(p, base, names).err().unwrap_or_default();
        let acts = self.part.poll(at, 0, holder, follower.policies(), &mut check);
        follower.mark_applied(self.part.number());
        for act in acts {
            match act {
                Action::Submit(command) => {
                    if !follower.submit(at, command) {
                        self.part.submit_failed();
                    }
                }
                Action::InForce(policy) => {
                    // One that heard of several at once acts by the last of them.
                    let numbers = before + 1..=policy.number;
                    numbers.for_each(|n| seen.in_force.entry(n).or_default().push(now()));
                }
                Action::Voted(..) | Action::Closing(_) | Action::GivenUp(..) => {}
            }
        }
    }

    /// Notes by what it would admit a request now.
    pub fn sample(&self, seen: &mut Seen) {
        let at = now();
        if let Gate::Admit(number) = self.part.gate(self.link.follower.holds(at)) {
            seen.admits(number, at);
        }
    }

    /// Whether it has a lease.
    pub fn holds(&self, at: Micros) -> bool {
        self.link.follower.holds(at).is_some()
    }

    /// The number that it acts by.
    pub fn number(&self) -> u64 {
        self.part.number()
    }

    /// When it has something to do next.
    pub fn next_due(&self) -> Micros {
        self.link.next_due()
    }

    /// Its socket's key.
    pub fn key(&self) -> Option<Key> {
        self.link.key()
    }

    /// Bytes in and out.
    pub fn bytes(&self) -> [u64; 2] {
        self.link.bytes()
    }

    /// Its counters.
    pub fn tally(&self) -> FollowerCounters {
        self.link.follower.counters
    }
}
