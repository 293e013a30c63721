//! A dispatcher's view of the fleet-wide policy: the settings in effect, and requests held during a change.

use super::policy_calls::PolicyCalls;
use crate::api::Micros;
use crate::api::Settings;
use crate::dispatch::Request;
use crate::policies::{ready, stricter};
use crate::settings::Names;
use crate::settings::options::{PolicyTerms, WithoutLease};
use fleet::policy::{self as machine, Action, Gate as PolicyGate, Participant, Policies, Policy};
use fleet::{Holder, Peer};
use std::collections::{BTreeMap, VecDeque};

/// Number of prepared settings to keep: those of the policy in force, of earlier policies that in-flight
/// requests may be under, and of the pending policy.
const MAX_PREPARED: usize = machine::MAX_PAST + 2;

/// A request held until a policy change takes effect or is given up.
pub(super) struct Held {
    pub(super) rid: u64,
    /// `None` if the request is already in the fleet's record.
    pub(super) request: Option<Request>,
}

/// A dispatcher's view of the fleet-wide policy.
pub struct FleetPolicy {
    pub(super) part: Participant,
    me: Peer,
    pub(super) terms: PolicyTerms,
    /// Backoff sent to clients when a request is rejected for lack of a lease, in milliseconds.
    pub(super) backoff_ms: u64,
    /// The configured settings, which are policy 0.
    pub(super) base: Settings,
    /// Prepared settings by policy number.
    prepared: BTreeMap<u64, Settings>,
    pub(super) held: VecDeque<Held>,
    /// Whether no lease was held at the last update. The settings that both of the last two known policies
    /// allow apply then, if `without_lease` says so.
    pub(super) lacks_lease: bool,
    /// Operators' calls that wait for agreement.
    pub(super) calls: PolicyCalls,
    /// Number of requests held since the start.
    pub(super) held_total: u64,
    /// Number of requests rejected since the start for lack of a lease or a policy.
    pub(super) rejected_total: u64,
}

impl FleetPolicy {
    /// Starts with the configured settings, until the fleet agrees on a policy.
    pub fn new(terms: PolicyTerms, me: Peer, backoff_ms: u64, base: Settings) -> FleetPolicy {
        FleetPolicy {
            part: Participant::default(),
            me,
            terms,
            backoff_ms,
            prepared: BTreeMap::from([(0, base.clone())]),
            base,
            held: VecDeque::new(),
            lacks_lease: false,
            calls: PolicyCalls::default(),
            held_total: 0,
            rejected_total: 0,
        }
    }

    /// The admission decision for a new request, given the lease held now.
    pub fn policy_gate(&self, holder: Option<Holder>) -> PolicyGate {
        match (self.part.gate(holder), self.terms.without_lease) {
            (PolicyGate::Refuse, WithoutLease::Stricter) if holder.is_none() => {
                PolicyGate::Admit(self.part.number())
            }
            (policy_gate, _) => policy_gate,
        }
    }

    /// This dispatcher's peer number.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// The settings under the policy with this number, if they are still kept.
    pub fn settings_under(&self, number: u64) -> Option<&Settings> {
        self.prepared.get(&number)
    }

    /// Compares the local state with the fleet's policy state and returns the actions to take.
    pub(super) fn reconcile(
        &mut self,
        now: Micros,
        holder: Option<Holder>,
        agreed: Option<&Policies>,
        names: &Names,
    ) -> Vec<Action> {
        let FleetPolicy { part, prepared, base, .. } = self;
        let acts =
            part.poll(now, self.me, holder, agreed, &mut |p| prepare_settings(p, base, names, prepared));
        // A dispatcher that missed the vote prepares the settings now. Faults are not expected: every
        // dispatcher that had a lease at the time, running the same build, has checked the policy.
        for act in &acts {
            if let Action::InForce(p) = act
                && !prepared.contains_key(&p.number)
            {
                let faults = prepare_settings(p, base, names, prepared);
                if !faults.is_empty() {
                    tracing::error!(
                        number = p.number,
                        faults = faults.join("; "),
                        "policy: can't be applied here"
                    );
                }
            }
        }
        let current = part.number();
        while prepared.len() > MAX_PREPARED {
            let Some(old) = prepared.keys().copied().find(|n| *n != current) else { break };
            prepared.remove(&old);
        }
        acts
    }

    /// The settings to use without a lease: what the policy in force and the pending one, if known, both
    /// allow.
    pub(super) fn fallback(&self) -> Option<Settings> {
        let current = self.settings_under(self.part.number())?;
        let next = self.prepared.range(self.part.number() + 1..).next_back();
        Some(next.map_or_else(|| current.clone(), |(_, next)| stricter(current, next)))
    }
}

/// Prepares the settings under a policy; returns the faults found.
fn prepare_settings(
    p: &Policy,
    base: &Settings,
    names: &Names,
    prepared: &mut BTreeMap<u64, Settings>,
) -> Vec<String> {
    match ready(p, base, names) {
        Ok(settings) => {
            prepared.insert(p.number, settings);
            Vec::new()
        }
        Err(faults) => faults,
    }
}
