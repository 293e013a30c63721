//! Slot leases under any order of commands, late sweeps, disconnected and lost holders.

use fleet::lend::{Command, LeaseTerms, SlotHolder, Slots};
use fleet::{Holder, Micros, StateMachine, incarnation};
use proptest::prelude::*;
use std::collections::BTreeSet;

const MS: Micros = 1_000;
const TERM: Micros = 3_000 * MS;
const MARGIN: Micros = 500 * MS;

fn holder(p: u8, term: u32) -> Holder {
    Holder { incarnation: incarnation(p, 1), term }
}

fn set(total: u16) -> Command {
    Command::SetTerms(LeaseTerms { total, term: TERM, max_request_duration: 4_000 * MS })
}

/// A simulated holder: its view of the state, the slots it needs and uses, and whether it is disconnected.
struct Side {
    me: Holder,
    slot_holder: SlotHolder,
    known: Slots,
    cut: bool,
    want: u16,
    busy: u16,
}

#[derive(Debug, Clone)]
enum Step {
    Want(usize, u16),
    Busy(usize, u16),
    Cut(usize),
    Lost(usize),
    Total(u16),
    Sweep,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..20u16).prop_map(|(h, n)| Step::Want(h, n)),
        4 => (0..4usize, 0..20u16).prop_map(|(h, n)| Step::Busy(h, n)),
        1 => (0..4usize).prop_map(Step::Cut),
        1 => (0..4usize).prop_map(Step::Lost),
        1 => (0..24u16).prop_map(Step::Total),
        2 => Just(Step::Sweep),
        6 => (1..1200u64).prop_map(Step::Pass),
    ]
}

proptest! {
    /// Guards against two holders that use one slot: the slots that a holder may use by its own clock and view,
    /// disconnected or not, are leased to it in the state. No more slots are leased than there are, and no new ones
    /// while the total is exceeded.
    #[test]
    fn no_slot_is_leased_twice(steps in prop::collection::vec(step(), 1..200)) {
        let mut record = Slots::default();
        let mut alive: BTreeSet<Holder> = (0..4).map(|p| holder(p + 1, 1)).collect();
        let side = |me| {
            let slot_holder = SlotHolder::new(me, TERM, MARGIN, 20 * MS);
            Side { me, slot_holder, known: Slots::default(), cut: false, want: 5, busy: 0 }
        };
        let mut sides: Vec<Side> = alive.iter().map(|&me| side(me)).collect();
        let mut gone: Vec<Side> = Vec::new();
        let (mut now, mut log): (Micros, Vec<Command>) = (1_000_000 * MS, vec![set(12)]);
        for step in steps {
            let before: Vec<(u16, Holder)> = record.leased().collect();
            match step {
                Step::Want(h, n) => sides[h].want = n,
                Step::Busy(h, n) => sides[h].busy = n,
                Step::Cut(h) => sides[h].cut = !sides[h].cut,
                Step::Lost(h) => {
                    // Its lease has ended; the same process continues under a new term and starts without slots.
                    let old = sides[h].me;
                    alive.remove(&old);
                    record.on_lease_change(&alive);
                    let new = Holder { term: old.term + 1, ..old };
                    alive.insert(new);
                    gone.push(std::mem::replace(&mut sides[h], side(new)));
                }
                Step::Total(n) => log.push(set(n)),
                Step::Sweep => { record.sweep(now); }
                Step::Pass(ms) => now += ms * MS,
            }
            for s in &mut sides {
                let usable = s.slot_holder.usable(now, &s.known);
                s.busy = s.busy.min(usable);
                if let Some(c) = s.slot_holder.next_command(now, &s.known, s.busy, s.want, s.want + 3)
                    && !s.cut
                {
                    // Sent twice: the duplicate must have no effect.
                    log.extend([c, c]);
                }
            }
            for c in log.drain(..) {
                let lent = record.leased().count();
                record.apply(c, &alive);
                let most = usize::from(record.terms().total).max(lent);
                prop_assert!(record.leased().count() <= most);
            }
            let slots = record.leased().count();
            prop_assert!(slots <= before.len().max(record.terms().total.into()));
            sides.iter_mut().filter(|s| !s.cut).for_each(|s| s.known = record.clone());
            for s in sides.iter().chain(&gone) {
                prop_assert!(s.slot_holder.usable(now, &s.known) <= record.held_and_recalled(s.me).0);
            }
        }
        // A joining peer decodes the same state.
        let copy: Slots = postcard::from_bytes(&postcard::to_stdvec(&record).unwrap()).unwrap();
        prop_assert_eq!(copy, record);
    }

    /// Guards against a holder that requests all slots and never returns any: within the longest request's duration and
    /// a lease term, the others get what they need, up to an equal share.
    #[test]
    fn a_holder_that_asks_for_too_much_gets_its_share_and_what_is_left(
        wants in prop::collection::vec(0..30u16, 2..6), total in 1..60u16,
    ) {
        let all: Vec<Holder> = (0..=wants.len()).map(|p| holder(p as u8 + 1, 1)).collect();
        let alive: BTreeSet<Holder> = all.iter().copied().collect();
        let (mut record, mut now) = (Slots::default(), 1_000_000 * MS);
        record.apply(set(total), &alive);
        for number in 1..=40 {
            now += 500 * MS;
            record.sweep(now);
            let hold = |holder, needed| Command::Update { holder, sequence: number, returned: 0, needed, max_usable: needed };
            record.apply(hold(all[0], u16::MAX), &alive);
            // The others arrive when the first one holds all slots.
            for (h, want) in all[1..].iter().zip(&wants).filter(|_| number > 5) {
                record.apply(hold(*h, *want), &alive);
            }
        }
        let part = total / all.len() as u16;
        for (h, want) in all[1..].iter().zip(&wants) {
            prop_assert!(record.held_and_recalled(*h).0 >= part.min(*want), "{} of {part} and {want}", record.held_and_recalled(*h).0);
        }
        prop_assert_eq!(record.leased().count(), usize::from(total));
    }
}

/// Guards against slots that are lost with their holder, and against leasing them again before their leases end.
#[test]
fn the_slots_of_a_lost_holder_are_free_when_their_leases_end() {
    let (a, b) = (holder(1, 1), holder(2, 1));
    let alive = BTreeSet::from([a, b]);
    let (mut record, now) = (Slots::default(), 1_000_000 * MS);
    record.apply(set(4), &alive);
    let hold =
        |holder, needed| Command::Update { holder, sequence: 1, returned: 0, needed, max_usable: needed };
    record.apply(hold(a, 4), &alive);
    record.apply(hold(b, 4), &alive);
    record.sweep(now);
    record.on_lease_change(&BTreeSet::from([b]));
    assert_eq!(
        (record.held_and_recalled(a).0, record.held_and_recalled(b).0, record.expires_at(0)),
        (4, 0, Some(now + TERM))
    );
    record.sweep(now + TERM - 1);
    assert_eq!((record.held_and_recalled(a).0, record.held_and_recalled(b).0), (4, 0));
    record.sweep(now + TERM);
    assert_eq!((record.held_and_recalled(a).0, record.held_and_recalled(b).0), (0, 4));
}

/// Guards against leasing slots while the total is exceeded: after the total was lowered, the excess is recalled, and
/// nothing is leased until enough was returned.
#[test]
fn a_lower_total_recalls_slots_before_any_is_leased() {
    let (a, b) = (holder(1, 1), holder(2, 1));
    let alive = BTreeSet::from([a, b]);
    let mut record = Slots::default();
    record.apply(set(10), &alive);
    let hold = |holder, sequence, returned, needed| Command::Update {
        holder,
        sequence,
        returned,
        needed,
        max_usable: needed,
    };
    record.apply(hold(a, 1, 0, 10), &alive);
    record.apply(set(4), &alive);
    record.apply(hold(b, 1, 0, 2), &alive);
    assert_eq!(
        (record.held_and_recalled(a), record.held_and_recalled(b).0, record.shortage()),
        ((10, 8), 0, 8)
    );
    record.apply(hold(a, 2, 6, 10), &alive);
    assert_eq!((record.held_and_recalled(a), record.held_and_recalled(b).0), ((4, 2), 0));
    record.apply(hold(a, 3, 2, 10), &alive);
    assert_eq!(
        (record.held_and_recalled(a), record.held_and_recalled(b).0, record.shortage()),
        ((2, 0), 2, 0)
    );
}

/// Guards against a holder that uses a slot past its lease: a slot that was recalled for longer than the longest request
/// is not renewed any more, so that its recall must stay when the total rises again.
#[test]
fn a_slot_that_is_not_renewed_any_more_stays_recalled() {
    let (me, other) = (holder(1, 1), holder(2, 1));
    let alive = BTreeSet::from([me, other]);
    let (mut record, mut now) = (Slots::default(), 1_000_000 * MS);
    let mut slot_holder = SlotHolder::new(me, TERM, MARGIN, 20 * MS);
    record.sweep(now);
    record.apply(set(4), &alive);
    // All slots are busy with one long request each; the total is 0 from the second half second on.
    for step in 0..22 {
        let busy = record.held_and_recalled(me).0;
        if let Some(command) = slot_holder.next_command(now, &record, busy, 4, 4) {
            record.apply(command, &alive);
        }
        if step == 0 {
            record.apply(set(0), &alive);
        }
        now += 250 * MS;
        record.sweep(now);
    }
    let expires_at = record.expires_at(0).expect("still leased");
    assert!(expires_at < now + TERM - 500 * MS, "it was not renewed for a while");
    record.apply(set(4), &alive);
    // Cut off from here on: its view stays as it is.
    let view = record.clone();
    let demand = Command::Update { holder: other, sequence: 1, returned: 0, needed: 4, max_usable: 4 };
    record.apply(demand, &alive);
    record.sweep(expires_at);
    let usable = slot_holder.usable(expires_at, &view);
    assert!(usable <= record.held_and_recalled(me).0, "{usable} of {:?}", record.held_and_recalled(me));
}

/// Guards against a slot that is taken from a running request too early: a recall before the first sweep, when the time is
/// not known yet, counts from that sweep.
#[test]
fn a_recall_before_the_first_sweep_leaves_the_longest_requests_time() {
    let me = holder(1, 1);
    let alive = BTreeSet::from([me]);
    let (mut record, now) = (Slots::default(), 1_000_000 * MS);
    let update = |sequence| Command::Update { holder: me, sequence, returned: 0, needed: 4, max_usable: 4 };
    record.apply(set(4), &alive);
    record.apply(update(1), &alive);
    record.apply(set(0), &alive);
    record.sweep(now);
    record.sweep(now + 3_000 * MS - 1);
    record.apply(update(2), &alive);
    record.sweep(now + 3_000 * MS);
    assert_eq!(record.held_and_recalled(me), (4, 4), "renewed while its requests may run");
}
