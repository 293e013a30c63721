use super::*;

// An episode that ended while dispatchers differ would hide a switch half done.
#[test]
fn dispatchers_that_differ_are_not_at_the_end() {
    let of = |texts: [&str; 2]| same(&texts.map(String::from)).is_some();
    assert!(of(["+OK policy 3 in force\n.\n", "+OK policy 3 in force\n2 in force\n.\n"]));
    assert!(!of(["+OK policy 3 in force\n.\n", "+OK policy 2 in force\n.\n"]));
    assert!(!of(["+OK policy 3 in force\n.\n", "+OK policy 3 in force\nproposed 4 voting\n.\n"]));
    assert!(!of(["+OK policy 3 in force\n.\n", ""]));
}
