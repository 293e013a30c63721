//! Each check finds the breach that it is for, in made-up accounts.

use super::check::{Reached, Window, admitted_late, halves, refusals, took, wrong_side};
use super::lines::{Line, What};
use super::sides::Side::{self, New, Old};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

fn at(ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(1_000_000 + ms)
}

fn reached(rid: u64, class: &str, side: Side, ms: u64) -> Reached {
    Reached { rid, class: class.into(), side, at: at(ms) }
}

fn line(who: usize, ms: u64, what: What) -> Line {
    Line { who, at: at(ms), what }
}

fn wrong(windows: &[Window], tries: &[(u64, &str, u64, Side, u64)]) -> Vec<u64> {
    let asked: BTreeMap<u64, SystemTime> = tries.iter().map(|t| (t.0, at(t.2))).collect();
    let all: Vec<Reached> = tries.iter().map(|t| reached(t.0, t.1, t.3, t.4)).collect();
    wrong_side(windows, &asked, &all).iter().map(|w| w.rid).collect()
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn there_and_back() -> [Window; 2] {
    [Window { begun: at(100), over: at(300), to: New }, Window { begun: at(1_000), over: at(1_200), to: Old }]
}

// The fault that this whole measurement is for: a dispatcher that goes on with the old policy when another has
// begun with the new. What was asked before, other classes, and the way back are no breach.
#[test]
fn a_request_on_the_old_side_after_the_new_has_served_is_found() {
    let tries = [
        (1, "read", 90, Old, 110),
        (2, "read", 150, New, 160),
        (3, "read", 155, Old, 165),   // asked before the new side had served
        (4, "load", 170, Old, 180),   // no load has reached the new side
        (5, "read", 170, Old, 190),   // the breach
        (6, "read", 990, Old, 1_010), // reached it in the next switch's time
        (7, "read", 1_050, Old, 1_060),
        (8, "read", 1_080, New, 1_090), // the breach of the way back
    ];
    assert_eq!(wrong(&there_and_back(), &tries), [5, 8]);
}

// A try of the policy before, resent to its own side after the next proposal, must not count as that one's start.
#[test]
fn what_was_asked_before_the_last_switch_ended_opens_no_side() {
    let back = there_and_back();
    let resent = (1, "read", 50, Old, 1_020);
    assert_eq!(wrong(&back, &[resent, (2, "read", 1_030, New, 1_040)]), [0_u64; 0]);
    let fresh = (1, "read", 1_005, Old, 1_020);
    assert_eq!(wrong(&back, &[fresh, (2, "read", 1_030, New, 1_040)]), [2]);
}

// One dispatcher that admits under the old number after another has admitted under the new one.
#[test]
fn an_admission_under_an_older_number_is_found() {
    let good = [
        line(0, 1, What::Admitted(1, 3)),
        line(1, 5, What::Admitted(2, 4)),
        line(0, 5, What::Admitted(3, 3)),
        line(0, 9, What::Admitted(4, 4)),
    ];
    assert_eq!(admitted_late(&good), []);
    let bad = line(2, 6, What::Admitted(5, 3));
    assert_eq!(admitted_late(&[&good[..], &[bad]].concat()), [bad]);
}

// A number that is in force here and given up there.
#[test]
fn a_switch_half_done_is_found() {
    let whole = [line(0, 1, What::InForce(3)), line(1, 2, What::InForce(3)), line(0, 9, What::GivenUp(4))];
    assert!(halves(&whole).is_empty());
    let half = [&whole[..], &[line(2, 3, What::GivenUp(3))]].concat();
    assert_eq!(halves(&half), [3].into());
}

// Times count from the last yes, and a dispatcher that starts anew and says it again counts once.
#[test]
fn the_time_of_a_switch_counts_from_the_last_yes() {
    let all = [
        line(0, 10, What::Voted(3, true)),
        line(1, 20, What::Voted(3, true)),
        line(2, 90, What::Voted(4, true)),
        line(2, 95, What::Voted(3, false)),
        line(0, 50, What::InForce(3)),
        line(1, 60, What::InForce(3)),
        line(0, 900, What::InForce(3)),
    ];
    assert_eq!(took(&all, 3), Some((ms(30), ms(40))));
    assert_eq!(took(&all, 4), None);
}

// A refusal within the time of a switch counts for it, and no other.
#[test]
fn refusals_count_for_their_switch() {
    let times = [at(50), at(100), at(200), at(301)];
    assert_eq!(there_and_back().map(|w| refusals(&w, &times)), [2, 0]);
}
