use super::*;

// A replacement that does not fit would leave both policies alike, and every check would pass.
#[test]
fn the_platform_binds_both_classes() {
    for (sides, further) in [(&[Side::Old][..], false), (&BOTH, true)] {
        let all: serde_json::Value = serde_json::from_str(&platform(sides, further)).unwrap();
        let kinds: Vec<&str> = sides.iter().map(|s| s.kind()).collect();
        assert_eq!(all["kinds"], serde_json::json!(["old", "new"]));
        let classes = all["requestClasses"].as_array().unwrap();
        assert_eq!(classes.len(), if further { 3 } else { 2 });
        assert!(classes[..2].iter().all(|c| c["boundTo"] == serde_json::json!(kinds)));
        assert_eq!(all["domain"]["kindCores"].as_array().unwrap().len(), 2);
    }
}
