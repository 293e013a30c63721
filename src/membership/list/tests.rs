use super::*;

pub(crate) const TWO_EXECUTORS: &str = "generation = 4\nroom \"a\" {\n  motor \"e1\" {\n    address = \"127.0.0.1:1\"\n    \
    kind = \"k\"\n  }\n  motor \"e2\" {\n    address = \"127.0.0.1:2\"\n    kind = \"k\"\n    weight = 0.5\n    \
    state = \"draining\"\n  }\n}\n";

fn parse(text: &str) -> ListFile {
    let (file, faults) = ListFile::parse("f", "f", text);
    assert_eq!(faults, []);
    file.unwrap()
}

// A seal covers the content regardless of comments, spacing and order, and no truncated sealed text may match its
// seal.
#[test]
fn a_seal_matches_only_the_complete_text() {
    let text = renew_seal("f", TWO_EXECUTORS, false, false).unwrap();
    assert!(parse(&text).seal_matches());
    assert!(parse(&format!("# note\n{}", text.replace("  ", "\t"))).seal_matches());
    assert!(!parse(&text.replace("0.5", "0.6")).seal_matches());
    for cut in 0..text.trim_end().len() {
        let (file, faults) = ListFile::parse("f", "f", &text[..cut]);
        let passes = faults.is_empty() && file.is_some_and(|f| f.seal_matches());
        assert!(!passes, "cut at {cut}");
    }
}

#[test]
fn sealing_is_idempotent_and_a_generation_increases() {
    let once = renew_seal("f", TWO_EXECUTORS, false, false).unwrap();
    assert_eq!(renew_seal("f", &once, false, false).unwrap(), once);
    let next = renew_seal("f", &once, true, true).unwrap();
    let file = parse(&next);
    assert!(file.seal_matches() && file.generation == Some(5) && file.confirm == Some(file.digest), "{next}");
    assert_eq!(parse(&renew_seal("f", &next, false, false).unwrap()).confirm, None);
    assert!(renew_seal("f", "room \"a\" {", false, false).is_err());
}

// An address can be written in several forms; two executors at one address would be one machine under two uids.
#[test]
fn addresses_are_normalized() {
    let mapped = TWO_EXECUTORS.replace("127.0.0.1:1", "[::ffff:127.0.0.1]:1");
    assert_eq!(parse(&mapped).digest, parse(TWO_EXECUTORS).digest);
}

#[test]
fn a_digest_is_parsed_from_its_text_form() {
    let d = Digest::of(b"x");
    assert_eq!(d.to_string().parse(), Ok(d));
    assert_eq!("sha256:1g".parse::<Digest>(), Err(InvalidDigest));
}
