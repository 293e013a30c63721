use super::*;
use crate::incarnation;

// A leader that has not seen a renewal proposes the lease's expiry while the renewal precedes it in the log. If the
// expiry applied, others would take over the holder's requests while it acts on its renewed lease.
#[test]
fn an_expiry_from_before_the_last_renewal_is_ignored() {
    let mut leases = Leases::default();
    let h = leases.register(incarnation(1, 5));
    let seen = leases.renewals(h);
    assert!(leases.renew(h));
    assert!(!leases.end(h, seen) && leases.holds(h));
    assert!(leases.end(h, leases.renewals(h)) && !leases.renew(h));
    assert_eq!(leases.register(incarnation(1, 5)).term, 2, "a new lease gets a higher term");
    let (again, seen) = (Holder { incarnation: incarnation(1, 5), term: 2 }, Some(0));
    assert_eq!(leases.register(incarnation(1, 5)), again, "a repeated registration keeps the lease");
    assert!(!leases.end(again, seen), "a repeated registration counts as a renewal");
}
