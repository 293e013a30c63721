use super::*;

#[test]
fn what_was_written_is_read_again() {
    let mut table = Table::new(&["members", "followers", "cpu"]);
    table.row(&[3.0, 100.0, 0.012_345]);
    table.row(&[7.0, 1_600.0, 1234.5]);
    let text = table.csv();
    assert_eq!(text, "members,followers,cpu\n3,100,0.01235\n7,1600,1234\n");
    let read = Table::parse(&text).unwrap();
    let of_seven = read.points("followers", "cpu", |row| row("members") == 7.0);
    assert_eq!(of_seven, [(1_600.0, 1_234.0)]);
    assert!(Table::parse("a,b\n1\n").is_err() && Table::parse("a\nx\n").is_err());
}
