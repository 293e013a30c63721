//! Changes with something lost in the middle: a member, the leader, followers that are cut off or stand still.

use super::changes::{Called, propose, wait};
use super::group::{Group, Shape};
use crate::fleet::Failure;
use std::fmt::Write as _;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// What is done around a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The leader is killed just after the call at another member.
    LeaderKilled,
    /// A member that does not lead is killed just after the call at another one.
    MemberKilled,
    /// A process of followers stands still from before the call.
    FollowersPaused,
    /// All members are ended and started anew, one by one, with a change after each.
    MembersReplaced,
}

/// All, as the tables name them.
pub const FAULTS: [(Fault, &str); 4] = [
    (Fault::LeaderKilled, "the leader is killed in the change"),
    (Fault::MemberKilled, "a member is killed in the change"),
    (Fault::FollowersPaused, "one process of followers stands still (SIGSTOP)"),
    (Fault::MembersReplaced, "all members started anew, one by one"),
];

/// What came of a fault.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Which.
    pub name: &'static str,
    /// From the call to in force at all followers that were there, at most, in seconds.
    pub in_force_s: f64,
    /// From the end of a standstill to a lease at all followers, in seconds.
    pub back_s: Option<f64>,
    /// Admissions by an older policy after the first by a newer one.
    pub late_admissions: usize,
    /// Changes.
    pub changes: usize,
}

/// What one fault came to.
struct Struck {
    in_force_s: f64,
    back_s: Option<f64>,
}

fn strike(group: &mut Group, shape: Shape, fault: Fault) -> Result<Struck, Failure> {
    let leader = group.leader();
    let other = (leader + 1) % shape.members;
    let third = (leader + 2) % shape.members;
    match fault {
        Fault::LeaderKilled => killed(group, shape, leader, other),
        Fault::MemberKilled => killed(group, shape, third, other),
        Fault::FollowersPaused => paused(group, shape, other),
        Fault::MembersReplaced => replaced(group, shape),
    }
}

fn killed(group: &mut Group, shape: Shape, lost: usize, caller: usize) -> Result<Struck, Failure> {
    let called = propose(group, caller, 1).ok_or("a change was not taken")?;
    group.kill_member(lost);
    let took = wait(group, &[called], shape.followers, None);
    // A change that the group gives up as its leader is lost is called again; its time runs from the first call.
    let took = match took {
        Ok(took) => took,
        Err(_) => {
            let again = propose(group, caller, 2).ok_or("a change was not taken")?;
            wait(group, &[Called { at: called.at, ..again }], shape.followers, None)?
        }
    };
    group.start_member(lost)?;
    thread::sleep(Duration::from_secs(3));
    Ok(Struck { in_force_s: took.last[0], back_s: None })
}

fn paused(group: &mut Group, shape: Shape, caller: usize) -> Result<Struck, Failure> {
    group.pause_hollow(0, true)?;
    let called = propose(group, caller, 1).ok_or("a change was not taken")?;
    let there = shape.followers - shape.followers.div_ceil(shape.processes);
    let took = wait(group, &[called], there, Some(0))?;
    thread::sleep(Duration::from_secs(2));
    group.pause_hollow(0, false)?;
    let back = group.until_leased(shape.followers)?;
    // What they admitted as they went on counts, too.
    group.report(None)?;
    Ok(Struck { in_force_s: took.last[0], back_s: Some(back.as_secs_f64()) })
}

fn replaced(group: &mut Group, shape: Shape) -> Result<Struck, Failure> {
    let mut most = 0.0_f64;
    for i in 0..shape.members {
        group.end_member(i)?;
        group.start_member(i)?;
        let caller = (i + 1) % shape.members;
        let called = propose(group, caller, i as u64).ok_or("a change was not taken")?;
        most = most.max(wait(group, &[called], shape.followers, None)?.last[0]);
        let begun = Instant::now();
        while group.figure(i, "lease_held") != 1.0 && begun.elapsed() < super::group::PATIENCE {
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(Struck { in_force_s: most, back_s: None })
}

/// Each fault so many times on a group of its own.
pub fn measure(program: &Path, folder: &Path, shape: Shape, runs: usize) -> Result<Vec<Outcome>, Failure> {
    let mut all = Vec::new();
    for (fault, name) in FAULTS {
        let mut group = Group::start(program, folder, shape)?;
        let mut outcome = Outcome { name, in_force_s: 0.0, back_s: None, late_admissions: 0, changes: 0 };
        let times = if fault == Fault::MembersReplaced { 1 } else { runs };
        for _ in 0..times {
            let struck = strike(&mut group, shape, fault).map_err(|e| format!("{name}: {e}"))?;
            outcome.in_force_s = outcome.in_force_s.max(struck.in_force_s);
            outcome.back_s = struck.back_s.into_iter().chain(outcome.back_s).reduce(f64::max);
            outcome.changes += if fault == Fault::MembersReplaced { shape.members } else { 1 };
        }
        outcome.late_admissions = group.late_admissions();
        println!("faults: {outcome:?}");
        all.push(outcome);
    }
    Ok(all)
}

/// As a table for people.
pub fn markdown(all: &[Outcome]) -> String {
    let mut text = String::from(
        "| fault | changes | in force at all that are there, most (s) | all back after a standstill, most (s) | admitted late |\n| --- | --- | --- | --- | --- |\n",
    );
    for o in all {
        let _ = writeln!(
            text,
            "| {} | {} | {:.2} | {} | {} |",
            o.name,
            o.changes,
            o.in_force_s,
            o.back_s.map_or("-".to_string(), |s| format!("{s:.2}")),
            o.late_admissions
        );
    }
    text
}
