//! Files that an earlier release wrote, kept as it wrote them, are read by this one and written alike.
//!
//! A dispatcher that starts with a newer program finds the files of the program before it. If a rename changed a
//! stored name, the last good endpoint list would be taken for damaged and bans would be lost, both at the moment
//! of an upgrade.

use ottercroft::membership::list::{DesiredState, Digest};
use ottercroft::membership::storage;
use ottercroft::operator::bans::Bans;
use std::path::{Path, PathBuf};

const LAST_GOOD: &str = "salas.last-good";
const ACCEPTED: &str = "salas.accepted";
const BANS: &str = "ottercroft-n1.bans";
/// The digest that the earlier release gave the kept list.
const LIST_DIGEST: &str = "sha256:437adc0ec2ae8768c21f389c5d5e6fefbf4a28f3cdd25d40eb59a2c6f38cea3c";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_data").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap()
}

/// A path for what this run writes.
fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()))
}

#[test]
fn the_last_good_list_of_an_earlier_release_is_read_and_written_alike() {
    let list = storage::load(&fixture(LAST_GOOD), 1 << 20).unwrap();
    assert_eq!(list.digest.to_string(), LIST_DIGEST);
    assert_eq!(list.files[0].generation, Some(4));
    let executors = &list.files[0].executors;
    let uids: Vec<&str> = executors.iter().map(|executor| &*executor.uid).collect();
    assert_eq!(uids, ["e1", "e2"]);
    assert_eq!(executors[0].address, "127.0.0.1:1".parse().unwrap());
    assert_eq!((executors[0].weight, executors[1].weight), (1.0, 0.5));
    assert_eq!((executors[0].state, executors[1].state), (DesiredState::Up, DesiredState::Draining));

    let written = scratch(LAST_GOOD);
    storage::save(&written, &list).unwrap();
    assert_eq!(std::fs::read_to_string(&written).unwrap(), text(LAST_GOOD));
    std::fs::remove_file(&written).unwrap();
}

#[test]
fn acceptances_of_an_earlier_release_are_read_and_written_alike() {
    let accepted = storage::read_acceptances(&fixture(ACCEPTED));
    assert_eq!(accepted.len(), 2);
    assert!(accepted[0].matches(&Digest::of(b"y")) && accepted[0].at == 1_700_000_001);
    assert!(accepted[1].matches(&Digest::of(b"x")) && accepted[1].at == 1_700_000_000);

    let written = scratch(ACCEPTED);
    for acceptance in accepted.iter().rev() {
        storage::add_acceptance(&written, &acceptance.digest, acceptance.at).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&written).unwrap(), text(ACCEPTED));
    std::fs::remove_file(&written).unwrap();
}

#[test]
fn bans_of_an_earlier_release_are_read_and_written_alike() {
    let bans = Bans::decode(&text(BANS), "n1").unwrap();
    assert_eq!(bans.ids().collect::<Vec<_>>(), ["e1", "s-00c41f7a"]);
    assert_eq!(bans.encode("n1"), text(BANS));
}
