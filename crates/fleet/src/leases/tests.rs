use super::*;
use crate::incarnation;

// A leader that missed a renewal judged a lease to be over while the renewal stood in the log before its word.
// Its holder had seen the renewal and went on for a whole lease; the others took over what it had in hand.
#[test]
fn a_lease_is_not_ended_by_word_from_before_its_last_renewal() {
    let mut leases = Leases::default();
    let h = leases.register(incarnation(1, 5));
    let seen = leases.renewals(h);
    assert!(leases.renew(h));
    assert!(!leases.end(h, seen) && leases.holds(h));
    assert!(leases.end(h, leases.renewals(h)) && !leases.renew(h));
    assert_eq!(leases.register(incarnation(1, 5)).term, 2, "a later lease is another one");
    let (again, seen) = (Holder { incarnation: incarnation(1, 5), term: 2 }, Some(0));
    assert_eq!(leases.register(incarnation(1, 5)), again, "asked for twice it is the same");
    assert!(!leases.end(again, seen), "and as good as renewed");
}
