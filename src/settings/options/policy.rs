//! How a fleet agrees on its admission policy, and how a dispatcher without a lease behaves.

use super::MS;
use crate::settings::hcl::{self, Fault, Table};
use std::time::Duration;

/// Behaviour of a dispatcher without a lease, which can't know whether its policy is still in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithoutLease {
    /// Rejects all requests with a retry-after hint, so that two policies are never in force at once.
    Refuse,
    /// Admits what both the policy in force and the proposed one, as far as known, allow.
    Stricter,
}

/// How policy changes are agreed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyTerms {
    /// Time limit of the vote.
    pub vote_limit: Duration,
    /// Time limit after the vote for all to stop admitting by the old policy.
    pub close_limit: Duration,
    /// Behaviour without a lease.
    pub without_lease: WithoutLease,
}

/// Reads a `policy` block.
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
