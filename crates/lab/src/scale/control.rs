//! What a control group costs at rest, by the number of its followers and of its members.

use super::group::{Group, Shape};
use super::process::core_part;
use super::table::Table;
use crate::fleet::Failure;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Columns of the table.
const COLUMNS: [&str; 13] = [
    "members",
    "followers",
    "member_core",
    "member_memory",
    "member_descriptors",
    "member_follower_bytes_s",
    "member_member_bytes_s",
    "leader_core",
    "follower_core",
    "follower_memory",
    "follower_bytes_in_s",
    "follower_bytes_out_s",
    "snapshots",
];

/// Measures groups of so many members and followers for a span at rest.
pub fn at_rest(
    program: &Path,
    folder: &Path,
    sizes: &[(usize, usize)],
    span: Duration,
) -> Result<Table, Failure> {
    let mut table = Table::new(&COLUMNS);
    for &(members, followers) in sizes {
        let shape = Shape {
            members,
            followers,
            processes: followers.div_ceil(200),
            delay: Duration::ZERO,
            sample_ms: 0,
        };
        let mut group = Group::start(program, folder, shape)?;
        thread::sleep(Duration::from_secs(2));
        table.row(&one(&mut group, shape, span)?);
        println!("at rest: {members} members, {followers} followers");
    }
    Ok(table)
}

fn one(group: &mut Group, shape: Shape, span: Duration) -> Result<Vec<f64>, Failure> {
    let count = shape.members as f64;
    let all = 0..shape.members;
    let sum = |group: &Group, name: &str| all.clone().map(|i| group.figure(i, name)).sum::<f64>();
    let bytes =
        |group: &Group| sum(group, "follower_bytes_in_total") + sum(group, "follower_bytes_out_total");
    let leader = group.leader();
    let (report, bytes_before, between) =
        (group.report(None)?, bytes(group), sum(group, "member_bytes_out_total"));
    let members: Vec<_> = all.clone().map(|i| group.member_usage(i)).collect();
    let hollow = group.hollow_usage();
    thread::sleep(span);
    let after: Vec<_> = all.clone().map(|i| group.member_usage(i)).collect();
    let hollow_after = group.hollow_usage();
    let (report_after, bytes_after) = (group.report(None)?, bytes(group));
    let between_after = sum(group, "member_bytes_out_total");
    let seconds = span.as_secs_f64();
    let core = |i: usize| core_part(members[i], after[i], span);
    let followers = shape.followers as f64;
    Ok(vec![
        count,
        followers,
        all.clone().map(core).sum::<f64>() / count,
        after.iter().map(|u| u.memory).sum::<f64>() / count,
        after.iter().map(|u| u.descriptors).sum::<f64>() / count,
        (bytes_after - bytes_before) / seconds / count,
        // What one sends, another one gets.
        2.0 * (between_after - between) / seconds / count,
        core(leader),
        core_part(hollow, hollow_after, span) / followers,
        hollow_after.memory / followers,
        (report_after.bytes[0] - report.bytes[0]) / seconds / followers,
        (report_after.bytes[1] - report.bytes[1]) / seconds / followers,
        report_after.snapshots,
    ])
}
