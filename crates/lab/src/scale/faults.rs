//! Changes with something lost in the middle: a member, the leader, followers that are cut off or stand still.

use super::changes::{Called, propose, wait};
use super::group::{Group, Shape};
use super::hollow::now;
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
    /// From the fault, or its end, to a lease at all followers, at most, in seconds.
    pub leased_s: f64,
    /// Admissions by an older policy after the first by a newer one.
    pub late_admissions: usize,
    /// Changes.
    pub changes: usize,
}

fn strike(group: &mut Group, shape: Shape, fault: Fault) -> Result<[f64; 2], Failure> {
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

fn killed(group: &mut Group, shape: Shape, lost: usize, caller: usize) -> Result<[f64; 2], Failure> {
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
    group.until_leased(shape.followers)?;
    let leased = (now() - called.at) as f64 / 1e6;
    group.start_member(lost)?;
    thread::sleep(Duration::from_secs(3));
    Ok([took.last[0], leased.min(took.last[0])])
}

fn paused(group: &mut Group, shape: Shape, caller: usize) -> Result<[f64; 2], Failure> {
    group.pause_hollow(0, true)?;
    let called = propose(group, caller, 1).ok_or("a change was not taken")?;
    let there = shape.followers - shape.followers.div_ceil(shape.processes);
    let took = wait(group, &[called], there, Some(0))?;
    thread::sleep(Duration::from_secs(2));
    group.pause_hollow(0, false)?;
    let back = group.until_leased(shape.followers)?;
    // What they admitted as they went on counts, too.
    group.report(None)?;
    Ok([took.last[0], back.as_secs_f64()])
}

fn replaced(group: &mut Group, shape: Shape) -> Result<[f64; 2], Failure> {
    let mut most = [0.0_f64; 2];
    for i in 0..shape.members {
        let begun = Instant::now();
        group.end_member(i)?;
        group.start_member(i)?;
        group.until_leased(shape.followers)?;
        most[1] = most[1].max(begun.elapsed().as_secs_f64());
        let caller = (i + 1) % shape.members;
        let called = propose(group, caller, i as u64).ok_or("a change was not taken")?;
        most[0] = most[0].max(wait(group, &[called], shape.followers, None)?.last[0]);
        let begun = Instant::now();
        while group.figure(i, "lease_held") != 1.0 && begun.elapsed() < super::group::PATIENCE {
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(most)
}

/// Each fault so many times on a group of its own.
pub fn measure(program: &Path, folder: &Path, shape: Shape, runs: usize) -> Result<Vec<Outcome>, Failure> {
    let mut all = Vec::new();
    for (fault, name) in FAULTS {
        let mut group = Group::start(program, folder, shape)?;
        let mut outcome = Outcome { name, in_force_s: 0.0, leased_s: 0.0, late_admissions: 0, changes: 0 };
        let times = if fault == Fault::MembersReplaced { 1 } else { runs };
        for _ in 0..times {
            let [in_force, leased] = strike(&mut group, shape, fault).map_err(|e| format!("{name}: {e}"))?;
            outcome.in_force_s = outcome.in_force_s.max(in_force);
            outcome.leased_s = outcome.leased_s.max(leased);
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
        "| fault | changes | in force at all others, most (s) | lease at all again, most (s) | admitted late |\n| --- | --- | --- | --- | --- |\n",
    );
    for o in all {
        let _ = writeln!(
            text,
            "| {} | {} | {:.2} | {:.2} | {} |",
            o.name, o.changes, o.in_force_s, o.leased_s, o.late_admissions
        );
    }
    text
}
