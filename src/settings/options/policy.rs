//! What all dispatchers of a fleet admit requests by, and what one does that can't know it.

use super::MS;
use crate::settings::hcl::{self, Fault, Table};
use std::time::Duration;

/// What a dispatcher without a lease does, which can't know whether its policy still holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithoutLease {
    /// It refuses all, with a time to come back: no two policies at once.
    Refuse,
    /// It admits what the policy in force and the one under way, as far as known to it, both allow.
    Stricter,
}

/// How changes of policy are agreed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyTerms {
    /// How long votes are waited for.
    pub vote_limit: Duration,
    /// How long after that all may take to stop admitting by the old one.
    pub close_limit: Duration,
    /// What is done without a lease.
    pub without_lease: WithoutLease,
}

/// Reads the block.
pub(super) fn read(t: &Table<'_>, faults: &mut Vec<Fault>) -> PolicyTerms {
    t.only(&["vote_limit", "close_limit", "without_lease"], &[], faults);
    let mut p =
        PolicyTerms { vote_limit: MS(3_000), close_limit: MS(3_000), without_lease: WithoutLease::Refuse };
    t.set("vote_limit", &mut p.vote_limit, faults, hcl::duration(MS(500)..=MS(60_000)));
    t.set("close_limit", &mut p.close_limit, faults, hcl::duration(MS(500)..=MS(60_000)));
    let words = [("refuse", WithoutLease::Refuse), ("stricter", WithoutLease::Stricter)];
    t.set("without_lease", &mut p.without_lease, faults, hcl::one_of(&words));
    p
}
