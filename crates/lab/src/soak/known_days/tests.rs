use super::*;

const ENTRY: &str = "soak_day_14 | make prove-soak-slice, seed 14 | answered broken | issue 9";

// Exactly the listed day is passed over, and an entry for a day that is not played is stale.
#[test]
fn only_the_listed_day_is_passed_over() {
    let list = format!("# days\nsome_test | cargo test | red | issue 8\n{ENTRY}\n");
    let known = KnownDays::parse(&list).unwrap();
    assert_eq!(known.entries().collect::<Vec<_>>(), [ENTRY]);
    assert_eq!(known.without_known(&[13, 14, 15]).unwrap(), [13, 15]);
    assert!(known.without_known(&[13, 15]).unwrap_err().to_string().contains("stale"));
    assert_eq!(KnownDays::default().without_known(&[13]).unwrap(), [13]);
}

#[test]
fn malformed_entries_are_told() {
    let twice = format!("{ENTRY}\n{ENTRY}");
    for list in ["soak_day_x | a | b | c", "soak_day_4 | a | b", "soak_day_4 | a |  | c", twice.as_str()] {
        assert!(KnownDays::parse(list).is_err(), "{list}");
    }
}
