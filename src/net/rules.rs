//! A dispatcher's view of the fleet-wide policy: the settings in effect, and requests held during a change.

use super::policy_calls::PolicyCalls;
use crate::api::Micros;
use crate::api::Settings;
use crate::dispatch::Request;
use crate::policies::{ready, stricter};
use crate::settings::Names;
use crate::settings::options::{PolicyTerms, WithoutLease};
use fleet::policy::{self as machine, Act, Gate as Door, Part, Policies, Policy};
use fleet::{Holder, Peer};
use std::collections::{BTreeMap, VecDeque};

/// Number of prepared settings to keep: those of the policy in force, of earlier policies that in-flight
/// requests may be under, and of the pending policy.
const MAX_PREPARED: usize = machine::PAST + 2;

/// A request held until a policy change takes effect or is given up.
pub(super) struct Held {
    pub(super) rid: u64,
    /// `None` if the request is already in the fleet's record.
    pub(super) request: Option<Request>,
}

/// A dispatcher's view of the fleet-wide policy.
pub struct Rules {
    pub(super) part: Part,
    me: Peer,
    pub(super) terms: PolicyTerms,
    /// Backoff sent to clients when a request is rejected for lack of a lease, in milliseconds.
    pub(super) backoff_ms: u64,
    /// The configured settings, which are policy 0.
    pub(super) base: Settings,
    /// Prepared settings by policy number.
    ready: BTreeMap<u64, Settings>,
    pub(super) held: VecDeque<Held>,
    /// Whether the fallback without a lease is in effect: the combination of the last two known policies.
    pub(super) fallen_back: bool,
    /// Operators' calls that wait for agreement.
    pub(super) calls: PolicyCalls,
    /// Number of requests held, and of requests rejected for lack of a lease or a policy.
    pub(super) tally: [u64; 2],
}

impl Rules {
    /// Starts with the configured settings, until the fleet agrees on a policy.
    pub fn new(terms: PolicyTerms, me: Peer, backoff_ms: u64, base: Settings) -> Rules {
        Rules {
            part: Part::default(),
            me,
            terms,
            backoff_ms,
            ready: BTreeMap::from([(0, base.clone())]),
            base,
            held: VecDeque::new(),
            fallen_back: false,
            calls: PolicyCalls::default(),
            tally: [0; 2],
        }
    }

    /// The admission decision for a new request, given the lease held now.
    pub fn door(&self, holder: Option<Holder>) -> Door {
        match (self.part.gate(holder), self.terms.without_lease) {
            (Door::Refuse, WithoutLease::Stricter) if holder.is_none() => Door::Admit(self.part.number()),
            (door, _) => door,
        }
    }

    /// This dispatcher's peer number.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// The settings under the policy with this number, if they are still kept.
    pub fn under(&self, number: u64) -> Option<&Settings> {
        self.ready.get(&number)
    }

    /// Compares the local state with the fleet's policy state and returns the actions to take.
    pub(super) fn look(
        &mut self,
        now: Micros,
        holder: Option<Holder>,
        agreed: Option<&Policies>,
        names: &Names,
    ) -> Vec<Act> {
        let Rules { part, ready: all, base, .. } = self;
        let acts = part.look(now, self.me, holder, agreed, &mut |p| make_ready(p, base, names, all));
        // A dispatcher that missed the vote prepares the settings now. Faults are not expected: every
        // dispatcher that had a lease at the time, running the same build, has checked the policy.
        for act in &acts {
            if let Act::InForce(p) = act
                && !all.contains_key(&p.number)
            {
                let faults = make_ready(p, base, names, all);
                if !faults.is_empty() {
                    tracing::error!(
                        number = p.number,
                        faults = faults.join("; "),
                        "policy: can't be done here"
                    );
                }
            }
        }
        let current = part.number();
        while all.len() > MAX_PREPARED {
            let Some(old) = all.keys().copied().find(|n| *n != current) else { break };
            all.remove(&old);
        }
        acts
    }

    /// The settings to use without a lease: what the policy in force and the pending one, if known, both
    /// allow.
    pub(super) fn fallback(&self) -> Option<Settings> {
        let current = self.under(self.part.number())?;
        let next = self.ready.range(self.part.number() + 1..).next_back();
        Some(next.map_or_else(|| current.clone(), |(_, next)| stricter(current, next)))
    }
}

/// Prepares the settings under a policy; returns the faults found.
fn make_ready(p: &Policy, base: &Settings, names: &Names, all: &mut BTreeMap<u64, Settings>) -> Vec<String> {
    match ready(p, base, names) {
        Ok(settings) => {
            all.insert(p.number, settings);
            Vec::new()
        }
        Err(faults) => faults,
    }
}
