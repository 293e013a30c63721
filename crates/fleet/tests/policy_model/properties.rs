//! Safety properties, and the states that must be reachable for the check to be meaningful.

use crate::model::Checks;
use crate::world::World;
use stateright::Property;

pub const NEVER_BACK: &str = "no request is admitted by a lower number than one before it";
pub const ALL_ALIKE: &str = "no two dispatchers admit by different numbers at one moment";
pub const GIVEN_UP: &str = "what was given up is in force nowhere";
pub const ALL_FIT: &str = "a change takes hold only if nobody with a lease has a fault to find with it";

type Condition = fn(&Checks, &World) -> bool;

fn holds(name: &'static str, condition: Condition) -> Property<Checks> {
    Property::always(name, condition)
}

fn reached(name: &'static str, condition: Condition) -> Property<Checks> {
    Property::sometimes(name, condition)
}

fn gates<'a>(c: &'a Checks, w: &'a World) -> impl Iterator<Item = u64> + 'a {
    w.each.iter().filter_map(|d| d.admits(c))
}

pub fn always() -> Vec<Property<Checks>> {
    vec![
        holds(NEVER_BACK, |c, w| gates(c, w).all(|n| n >= w.highest)),
        holds(ALL_ALIKE, |c, w| {
            let mut all = gates(c, w);
            all.next().is_none_or(|first| all.all(|n| n == first))
        }),
        // What any prefix of the log has given up, the full log has given up, too.
        holds(GIVEN_UP, |_, w| {
            let given_up = |n| w.end.policies.outcomes().any(|e| e.number == n && e.why.is_some());
            let views = w.each.iter().map(|d| d.view.policies.current().number);
            let acted = w.each.iter().map(|d| d.part.number());
            !views.chain(acted).chain([w.end.policies.current().number]).any(given_up)
        }),
        holds(ALL_FIT, |_, w| !w.end.unfit),
    ]
}

/// Must be reachable if no dispatcher finds a fault.
pub fn reached_by_the_fit() -> Vec<Property<Checks>> {
    vec![
        reached("a change takes hold and is admitted by", |_, w| w.highest == 1),
        reached("a change takes hold while one is cut off, without a lease", |_, w| {
            w.end.policies.current().number == 1
                && w.each.iter().any(|d| !d.follows() && d.part.number() == 0)
        }),
        reached("an abort ends it", |_, w| w.end.ended("called off")),
        reached("its time ends the vote", |_, w| w.end.ended("not all have voted")),
        reached("its time ends the stop", |_, w| w.end.ended("not all have stopped")),
        reached("a second change is admitted by after one that took hold", |_, w| {
            w.highest == 2 && w.end.policies.previous().is_some_and(|p| p.number == 1)
        }),
        reached("a second change is admitted by after one that was given up", |_, w| {
            w.highest == 2 && w.end.policies.previous().is_some_and(|p| p.number == 0)
        }),
    ]
}

/// Must be reachable if one dispatcher cannot apply the first proposal.
pub fn reached_by_the_faulty() -> Vec<Property<Checks>> {
    vec![
        reached("a vote against ends it", |_, w| w.end.ended("voted against")),
        reached("one with a new lease can't, and ends it", |_, w| w.end.ended("can't")),
        reached("it takes hold without the one that can't", |_, w| w.highest == 1),
    ]
}
