//! A control group: a few members that agree on the admission policy, and dispatchers that follow them.

use super::MS;
use super::policy::{self, PolicyTerms};
use crate::settings::hcl::{self, Fault, Table};
use fleet::control_plane::Timing;
use fleet::control_plane::messages::MAX_NAME_BYTES;
use std::net::SocketAddr;
use std::time::Duration;

/// The role of a process in its control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes part in the replicated log and serves followers, but no clients.
    Member,
    /// A dispatcher that follows a member.
    Follower,
}

/// A member of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlMember {
    /// Its name.
    pub name: String,
    /// Address for other members.
    pub address: SocketAddr,
    /// Address for followers.
    pub followers: SocketAddr,
    /// Its region; followers of the same region prefer it.
    pub region: Option<String>,
}

/// A control group.
#[derive(Debug, Clone, PartialEq)]
pub struct Control {
    /// The role of this process.
    pub role: Role,
    /// The group's name.
    pub group: String,
    /// The name of this member.
    pub me: Option<String>,
    /// The region of a follower.
    pub region: Option<String>,
    /// Listen address of a member for other members.
    pub listen: Option<SocketAddr>,
    /// Listen address of a member for followers.
    pub followers: Option<SocketAddr>,
    /// All members, sorted by name; identical at all members and followers.
    pub members: Vec<ControlMember>,
    /// Timeouts and intervals of the group.
    pub timing: Timing,
    /// Maximum number of followers per member.
    pub max_followers: usize,
    /// Maximum number of concurrent snapshots per member.
    pub max_snapshots: usize,
    /// How policy changes are agreed on.
    pub policy: PolicyTerms,
}

const KEYS: [&str; 10] = [
    "role",
    "group",
    "me",
    "region",
    "listen",
    "followers",
    "round_trip",
    "lease",
    "max_followers",
    "max_snapshots",
];
/// Allowed group sizes: three members tolerate the loss of one, seven that of three.
const MEMBERS: std::ops::RangeInclusive<usize> = 3..=7;

/// Reads the `control` block.
pub(super) fn read(t: &Table<'_>, faults: &mut Vec<Fault>) -> Control {
    t.only(&KEYS, &["member", "policy"], faults);
    let roles = [("member", Role::Member), ("follower", Role::Follower)];
    let role = t.need("role", faults, hcl::one_of(&roles)).unwrap_or(Role::Follower);
    let timing = timing(t, faults);
    let mut control = Control {
        role,
        group: t.get("group", faults, hcl::string).unwrap_or_else(|| "control".into()),
        me: t.get("me", faults, hcl::string),
        region: t.get("region", faults, hcl::string),
        listen: t.get("listen", faults, hcl::parsed("10.0.0.1:7200")),
        followers: t.get("followers", faults, hcl::parsed("10.0.0.1:7201")),
        members: members(t, faults),
        timing,
        max_followers: t.get("max_followers", faults, hcl::whole(1..=10_000)).unwrap_or(1_000) as usize,
        max_snapshots: t.get("max_snapshots", faults, hcl::whole(1..=1_000)).unwrap_or(16) as usize,
        policy: policy(t, timing, faults),
    };
    if control.group.len() > MAX_NAME_BYTES {
        faults.push(t.fault("group", format!("longer than {MAX_NAME_BYTES} bytes")));
    }
    check_role(&mut control, t, faults);
    control
}

/// The group's timing, derived from the round trip time; a configured lease must be long enough for it.
fn timing(t: &Table<'_>, faults: &mut Vec<Fault>) -> Timing {
    let mut round_trip = MS(5);
    t.set("round_trip", &mut round_trip, faults, hcl::duration(MS(1)..=MS(2_000)));
    let micros = |d: Duration| d.as_micros() as u64;
    let derived = Timing::from_round_trip(micros(round_trip));
    let Some(lease) = t.get("lease", faults, hcl::duration(MS(200)..=MS(60_000))) else { return derived };
    let least = Timing::min_lease(micros(round_trip));
    if micros(lease) < least {
        let what = format!(
            "lease is too short for round_trip {}ms: at least {}ms, or it would end while a leader is being elected",
            round_trip.as_millis(),
            least / 1_000
        );
        faults.push(t.fault("lease", what));
        return derived;
    }
    Timing::with_lease(micros(round_trip), micros(lease))
}

/// How policy changes are agreed on. A lost participant is waited for until its lease ends, so the default limits are
/// three leases.
fn policy(t: &Table<'_>, timing: Timing, faults: &mut Vec<Fault>) -> PolicyTerms {
    let Some(block) = t.block("policy", faults) else {
        let least = Duration::from_micros(3 * timing.lease);
        return PolicyTerms {
            vote_limit: least,
            close_limit: least,
            without_lease: policy::WithoutLease::Refuse,
        };
    };
    policy::read(&block, faults)
}

fn members(t: &Table<'_>, faults: &mut Vec<Fault>) -> Vec<ControlMember> {
    let mut members: Vec<ControlMember> = Vec::new();
    for (names, b) in t.blocks("member", 1, faults) {
        b.only(&["address", "followers", "region"], &[], faults);
        let name = names[0].to_string();
        if members.iter().any(|m| m.name == name) {
            faults.push(b.fault("", "duplicate member name"));
        }
        let address = b.need("address", faults, hcl::parsed("10.0.0.1:7200"));
        let followers = b.need("followers", faults, hcl::parsed("10.0.0.1:7201"));
        let region = b.get("region", faults, hcl::string);
        let (Some(address), Some(followers)) = (address, followers) else { continue };
        let taken = |m: &ControlMember| m.address == address || m.followers == followers;
        if members.iter().any(taken) {
            faults.push(b.fault("address", "another member has this address"));
        }
        members.push(ControlMember { name, address, followers, region });
    }
    // Indices follow from the sorted names, so that they are the same everywhere regardless of the order in the file.
    members.sort_by(|a, b| a.name.cmp(&b.name));
    if !MEMBERS.contains(&members.len()) {
        faults.push(t.fault("", format!("{} member blocks; 3 to 7 are allowed", members.len())));
    }
    members
}

fn check_role(control: &mut Control, t: &Table<'_>, faults: &mut Vec<Fault>) {
    let named = control.me.as_ref().is_some_and(|me| control.members.iter().any(|m| m.name == *me));
    match control.role {
        Role::Member => {
            if !named {
                faults.push(t.fault("me", "no member block has this name"));
            }
            if control.listen.is_none() {
                faults.push(t.fault("listen", "missing: a member listens for other members"));
            }
            if control.followers.is_none() {
                faults.push(t.fault("followers", "missing: a member listens for followers"));
            }
        }
        Role::Follower => {
            for key in ["me", "listen", "followers"] {
                if t.has(key) {
                    faults.push(t.fault(key, "only allowed for a member: a follower does not listen"));
                }
            }
        }
    }
}
