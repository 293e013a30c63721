//! How long changes take from their call to in force at all followers: one after the other, in a burst, and with
//! members as far from each other as regions are.

use super::group::{Group, PATIENCE, Shape};
use super::hollow::now;
use super::process::core_part;
use super::table::Table;
use crate::fleet::{Failure, part};
use standins::asks::call;
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Changes within this time are a burst.
const BURST: Duration = Duration::from_secs(10);

/// When a change was called, and its number.
#[derive(Debug, Clone, Copy)]
pub struct Called {
    /// Its number.
    pub number: u64,
    /// When, in microseconds of the Unix clock.
    pub at: u64,
}

/// How long changes took, in seconds.
#[derive(Debug, Clone, Default)]
pub struct Took {
    /// From the call to in force at a follower, of all followers and changes, sorted.
    pub each: Vec<f64>,
    /// From the call to in force at the last follower, of all changes, sorted.
    pub last: Vec<f64>,
}

/// Calls a change at a member until it is taken; none if it is not within some seconds.
pub fn propose(group: &Group, member: usize, n: u64) -> Option<Called> {
    let line = format!("POLICY PROPOSE {}", group.policy_file(n).display());
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(10) {
        let at = now();
        if let Some(number) = number_in(&group.call(member, &line)) {
            return Some(Called { number, at });
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

fn number_in(answer: &str) -> Option<u64> {
    let rest = answer.strip_prefix("+OK proposed ")?;
    rest.split([',', '\n']).next()?.trim().parse().ok()
}

/// Waits until these changes are in force at so many followers; how long they took. `but` is a process of followers
/// that is not asked.
pub fn wait(
    group: &mut Group,
    called: &[Called],
    followers: usize,
    but: Option<usize>,
) -> Result<Took, Failure> {
    let mut seen: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let begun = Instant::now();
    loop {
        let report = group.report(but)?;
        report.in_force.into_iter().for_each(|(n, times)| seen.entry(n).or_default().extend(times));
        let missing = called.iter().find(|c| seen.get(&c.number).map_or(0, Vec::len) < followers);
        match missing {
            None => break,
            Some(c) if begun.elapsed() > PATIENCE => {
                let there = seen.get(&c.number).map_or(0, Vec::len);
                return Err(format!("change {} is in force at {there} of {followers}", c.number).into());
            }
            Some(_) => thread::sleep(Duration::from_millis(100)),
        }
    }
    let mut took = Took::default();
    for c in called {
        let times = &seen[&c.number];
        took.each.extend(times.iter().map(|t| t.saturating_sub(c.at) as f64 / 1e6));
        took.last.push(times.iter().max().map_or(0.0, |t| t.saturating_sub(c.at) as f64 / 1e6));
    }
    took.each.sort_by(f64::total_cmp);
    took.last.sort_by(f64::total_cmp);
    Ok(took)
}

/// One change after the other.
pub fn one_by_one(group: &mut Group, changes: u64, followers: usize) -> Result<Took, Failure> {
    let mut all = Took::default();
    for n in 0..changes {
        let member = n as usize % group.members();
        let called = propose(group, member, n).ok_or("a change was not taken")?;
        let took = wait(group, &[called], followers, None)?;
        all.each.extend(took.each);
        all.last.extend(took.last);
    }
    all.each.sort_by(f64::total_cmp);
    all.last.sort_by(f64::total_cmp);
    Ok(all)
}

/// So many changes spread over ten seconds, whatever becomes of those before.
pub fn burst(group: &mut Group, changes: u64, followers: usize) -> Result<(Took, usize), Failure> {
    let begun = Instant::now();
    let callers: Vec<_> = (0..changes)
        .map(|n| {
            thread::sleep((BURST.mul_f64(n as f64 / changes as f64)).saturating_sub(begun.elapsed()));
            let at = group.operators(n as usize % group.members());
            let line = format!("POLICY PROPOSE {}", group.policy_file(n).display());
            thread::spawn(move || {
                let called = now();
                number_in(&call(at, &line)).map(|number| Called { number, at: called })
            })
        })
        .collect();
    let called: Vec<Called> = callers.into_iter().filter_map(|c| c.join().ok().flatten()).collect();
    let not_taken = changes as usize - called.len();
    Ok((wait(group, &called, followers, None)?, not_taken))
}

const COLUMNS: [&str; 14] = [
    "members",
    "followers",
    "one_way_ms",
    "burst",
    "changes",
    "not_taken",
    "each_p50_s",
    "each_p99_s",
    "last_p50_s",
    "last_p99_s",
    "last_most_s",
    "late_admissions",
    "member_core",
    "follower_bytes_s",
];

/// Changes one by one and in a burst, for links between members of each delay.
pub fn measure(
    program: &Path,
    folder: &Path,
    (members, followers): (usize, usize),
    delays_ms: &[u64],
    (changes, in_burst): (u64, u64),
) -> Result<Table, Failure> {
    let mut table = Table::new(&COLUMNS);
    for &ms in delays_ms {
        let shape = Shape {
            members,
            followers,
            processes: followers.div_ceil(200),
            delay: Duration::from_millis(ms),
            sample_ms: 20,
        };
        for burst_of in [0, in_burst] {
            let mut group = Group::start(program, folder, shape)?;
            let bytes = group.report(None)?.bytes;
            let (begun, before) = (Instant::now(), group.member_usage(0));
            let (took, not_taken) = match burst_of {
                0 => (one_by_one(&mut group, changes, followers)?, 0),
                n => burst(&mut group, n, followers)?,
            };
            let span = begun.elapsed();
            let core = core_part(before, group.member_usage(0), span);
            let bytes_after = group.report(None)?.bytes;
            let moved = bytes_after[0] + bytes_after[1] - bytes[0] - bytes[1];
            table.row(&[
                members as f64,
                followers as f64,
                ms as f64,
                f64::from(burst_of > 0),
                took.last.len() as f64,
                not_taken as f64,
                part(&took.each, 0.5),
                part(&took.each, 0.99),
                part(&took.last, 0.5),
                part(&took.last, 0.99),
                took.last.last().copied().unwrap_or(0.0),
                group.late_admissions() as f64,
                core,
                moved / span.as_secs_f64() / followers as f64,
            ]);
            println!("changes: {ms} ms one way, burst of {burst_of}: {:.3?} s at most", took.last.last());
        }
    }
    Ok(table)
}
