use super::*;

// An answer read wrong would let an episode end while its switch is under way.
#[test]
fn answers_are_read() {
    let text = "+OK policy 7 in force\nproposed 9 voting 2 of 3\n6 in force\n8 given up: voted against\n.\n";
    let status = Status::of(text).unwrap();
    assert_eq!((status.in_force, status.under_way), (7, true));
    assert_eq!(status.ended, [(6, true), (8, false)].into());
    assert!(status.knows(7) && status.knows(8) && !status.knows(9));
    let behind = Status::of("+OK policy 7 in force, 6 here\n7 in force\n7 peer 2: late\n.").unwrap();
    assert!(behind.under_way && behind.ended == [(7, true)].into());
    assert_eq!(Status::of(""), None);
    assert_eq!((proposed("+OK proposed 12\n"), proposed("-ERR no"), proposed("")), (Some(12), None, None));
}
