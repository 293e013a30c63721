//! Safety properties, and the states that must be reachable for the check to be meaningful.

use crate::model::Checks;
use crate::world::World;
use stateright::Property;

pub const NO_OLDER_POLICY: &str = "no request is admitted under a lower number than an earlier one";
pub const SAME_POLICY: &str = "no two dispatchers admit under different numbers at the same time";
pub const GIVEN_UP: &str = "a change that was given up is in force nowhere";
pub const NO_FAULT_OVERRULED: &str = "a change comes into force only if no lease holder finds a fault in it";

type Condition = fn(&Checks, &World) -> bool;

fn holds(name: &'static str, condition: Condition) -> Property<Checks> {
    Property::always(name, condition)
}

fn reached(name: &'static str, condition: Condition) -> Property<Checks> {
    Property::sometimes(name, condition)
}

fn admitted_under<'a>(c: &'a Checks, w: &'a World) -> impl Iterator<Item = u64> + 'a {
    w.dispatchers.iter().filter_map(|d| d.admits(c))
}

pub fn always() -> Vec<Property<Checks>> {
    vec![
        holds(NO_OLDER_POLICY, |c, w| admitted_under(c, w).all(|n| n >= w.highest)),
        holds(SAME_POLICY, |c, w| {
            let mut all = admitted_under(c, w);
            all.next().is_none_or(|first| all.all(|n| n == first))
        }),
        // What any prefix of the log has given up, the full log has given up, too.
        holds(GIVEN_UP, |_, w| {
            let given_up = |n| w.latest.policies.outcomes().any(|e| e.number == n && e.why.is_some());
            let views = w.dispatchers.iter().map(|d| d.view.policies.current().number);
            let acted = w.dispatchers.iter().map(|d| d.part.number());
            !views.chain(acted).chain([w.latest.policies.current().number]).any(given_up)
        }),
        holds(NO_FAULT_OVERRULED, |_, w| !w.latest.fault_overruled),
    ]
}

/// Must be reachable if no dispatcher finds a fault.
pub fn reachable_without_faults() -> Vec<Property<Checks>> {
    vec![
        reached("a change comes into force and requests are admitted under it", |_, w| w.highest == 1),
        reached("a change comes into force while a dispatcher has no lease", |_, w| {
            w.latest.policies.current().number == 1
                && w.dispatchers.iter().any(|d| !d.follows() && d.part.number() == 0)
        }),
        reached("an abort ends a change", |_, w| w.latest.ended("called off")),
        reached("the vote times out", |_, w| w.latest.ended("not all have voted")),
        reached("closing times out", |_, w| w.latest.ended("not all have stopped")),
        reached("requests are admitted under a second change after one that came into force", |_, w| {
            w.highest == 2 && w.latest.policies.previous().is_some_and(|p| p.number == 1)
        }),
        reached("requests are admitted under a second change after one that was given up", |_, w| {
            w.highest == 2 && w.latest.policies.previous().is_some_and(|p| p.number == 0)
        }),
    ]
}

/// Must be reachable if one dispatcher cannot apply the first proposal.
pub fn reachable_with_a_fault() -> Vec<Property<Checks>> {
    vec![
        reached("a vote against it ends a change", |_, w| w.latest.ended("voted against")),
        reached("a dispatcher with a new lease cannot apply a change, and ends it", |_, w| {
            w.latest.ended("can't")
        }),
        reached("a change comes into force without the dispatcher that cannot apply it", |_, w| {
            w.highest == 1
        }),
    ]
}
