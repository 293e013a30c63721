use super::*;

#[test]
fn the_comment_goes_and_the_statement_stays() {
    let s = split("/* method=report,rid=9b1f03aa5c7e2d41,new=1 */ SELECT 1 /* kept */");
    assert_eq!((s.fields["method"], s.fields["rid"]), ("report", "9b1f03aa5c7e2d41"));
    assert_eq!(s.text, "SELECT 1 /* kept */");
    assert!(split("SELECT 1").fields.is_empty());
    assert!(split("/* open").fields.is_empty());
}

// The table group determines which executors have warm caches; names in strings, comments or aliases must not count.
#[test]
fn the_group_comes_from_the_schema_and_from_nothing_else() {
    let group = |s| table_group(s);
    assert_eq!(group("SELECT day, max(note) FROM sales_17.orders WHERE tag = '3f9c'"), Some(17));
    assert_eq!(group("SELECT 'x_1.a', \"y_2.b\" /* z_3.c */ FROM `sales_4`.`t` -- q_5.c"), Some(4));
    assert_eq!(group("SELECT o_2.day FROM sales_17.orders o_2"), Some(17));
    assert_eq!(group("INSERT INTO sales_8.t SELECT * FROM staging.load_9"), Some(8));
    assert_eq!(group("INSERT INTO staging.load_9 SELECT * FROM staging_3.x, sales_8.t"), Some(8));
    assert_eq!(group("SELECT 'it''s a_1.b', 'c\\'a_1.b' FROM d_6.e"), Some(6));
    assert_eq!((group("SELECT 1.5"), group("SELECT 'open"), group("")), (None, None, None));
}
