use super::*;
use std::time::Duration;

fn faults(text: &str) -> Vec<String> {
    let text = Text::new("f.hcl", text);
    let body = match text.parse() {
        Ok(body) => body,
        Err(e) => return vec![e.to_string()],
    };
    let (root, mut all) = (Table::root(&text, &body), Vec::new());
    root.only(&["a", "t", "s", "w"], &["b"], &mut all);
    root.get("a", &mut all, number(0.0..=9.0));
    root.get("t", &mut all, duration(Duration::from_millis(1)..=Duration::from_secs(60)));
    root.get("s", &mut all, size(1..=1024));
    root.get("w", &mut all, one_of(&[("x", 1), ("y", 2)]));
    for (_, b) in root.blocks("b", 1, &mut all) {
        b.only(&["n"], &[], &mut all);
        b.need("n", &mut all, whole(1..=3));
    }
    all.iter().map(Fault::to_string).collect()
}

// All faults of a file are reported together, each with its position, its field and what is allowed.
#[test]
fn every_fault_names_its_place_and_what_is_allowed() {
    let all =
        faults("a = 12\nt = \"5\"\ns = \"9KB\"\n w = 1\nx = 1\nb \"one\" {\n  n = 0\n  m = 2\n}\nb {}\n");
    let told = [
        "f.hcl:5:1: x: unknown key; allowed: a, t, s, w",
        "f.hcl:1:5: a: expected a number from 0 to 9, found 12",
        "f.hcl:2:5: t: expected a time with its unit from \"1ms\" to \"1m\", found \"5\"",
        "f.hcl:4:6: w: expected one of \"x\", \"y\", found a number",
        "f.hcl:10:1: b: 0 labels, 1 allowed",
        "f.hcl:8:3: b.one.m: unknown key; allowed: n",
        "f.hcl:7:7: b.one.n: expected a whole number from 1 to 3, found 0",
    ];
    for t in told {
        assert!(all.iter().any(|a| a == t), "{t}\nin {all:#?}");
    }
    assert_eq!(all.len(), told.len() + 1, "{all:#?}");
    assert!(
        all.iter().any(|a| a.starts_with("f.hcl:3:5: s: expected a size") && a.ends_with(", found \"9KB\"")),
        "{all:#?}"
    );
}

#[test]
fn text_that_is_no_hcl_is_one_fault_with_its_place() {
    let all = faults("a = 1\nb \"x\" {\n");
    assert!(all.len() == 1 && all[0].starts_with("f.hcl:"), "{all:?}");
    assert_eq!(faults("a = 9\nt = \"250ms\"\ns = \"1KiB\"\nw = \"y\"\nb \"q\" { n = 3 }\n"), [""; 0]);
}
