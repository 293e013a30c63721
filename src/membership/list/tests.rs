use super::*;

pub(crate) const TWO: &str = "generation = 4\nroom \"a\" {\n  motor \"e1\" {\n    address = \"127.0.0.1:1\"\n    \
    kind = \"k\"\n  }\n  motor \"e2\" {\n    address = \"127.0.0.1:2\"\n    kind = \"k\"\n    weight = 0.5\n    \
    state = \"draining\"\n  }\n}\n";

fn parse(text: &str) -> ListFile {
    let (file, faults) = ListFile::parse("f", "f", text);
    assert_eq!(faults, []);
    file.unwrap()
}

// A seal tells what was meant whatever comments, spacing and order it is written in, and no cut of a sealed
// text may pass for one.
#[test]
fn a_seal_holds_for_the_whole_and_for_no_part_of_it() {
    let text = sealed("f", TWO, false, false).unwrap();
    assert!(parse(&text).seal_holds());
    assert!(parse(&format!("# note\n{}", text.replace("  ", "\t"))).seal_holds());
    assert!(!parse(&text.replace("0.5", "0.6")).seal_holds());
    for cut in 0..text.trim_end().len() {
        let (file, faults) = ListFile::parse("f", "f", &text[..cut]);
        let passes = faults.is_empty() && file.is_some_and(|f| f.seal_holds());
        assert!(!passes, "cut at {cut}");
    }
}

#[test]
fn sealing_again_changes_nothing_and_a_generation_goes_on() {
    let once = sealed("f", TWO, false, false).unwrap();
    assert_eq!(sealed("f", &once, false, false).unwrap(), once);
    let next = sealed("f", &once, true, true).unwrap();
    let file = parse(&next);
    assert!(file.seal_holds() && file.generation == Some(5) && file.confirm == Some(file.digest), "{next}");
    assert_eq!(parse(&sealed("f", &next, false, false).unwrap()).confirm, None);
    assert!(sealed("f", "room \"a\" {", false, false).is_err());
}

// One address has many spellings; two executors at one address would be one machine under two names.
#[test]
fn an_address_has_one_spelling() {
    let mapped = TWO.replace("127.0.0.1:1", "[::ffff:127.0.0.1]:1");
    assert_eq!(parse(&mapped).digest, parse(TWO).digest);
}

#[test]
fn a_digest_is_read_as_it_is_written() {
    let d = Digest::of(b"x");
    assert_eq!(d.to_string().parse(), Ok(d));
    assert_eq!("sha256:1g".parse::<Digest>(), Err(NoDigest));
}
