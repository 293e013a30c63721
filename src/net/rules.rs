//! One dispatcher's share in the policy that its fleet holds alike: what it acts by, and what waits for a change.

use super::policy_calls::PolicyCalls;
use crate::api::Micros;
use crate::api::Settings;
use crate::dispatch::Request;
use crate::policies::{ready, stricter};
use crate::settings::Names;
use crate::settings::options::{PolicyTerms, WithoutLease};
use fleet::policy::{self as machine, Action, Gate as Door, Participant, Policies, Policy};
use fleet::{Holder, Peer};
use std::collections::{BTreeMap, VecDeque};

/// Settings kept ready: those of the policy in force, of the ones before it that work in hand may be under, and of the
/// one that is under way.
const READY: usize = machine::MAX_PAST + 2;

/// A request that waits for a change to take hold or to be given up.
pub(super) struct Held {
    pub(super) rid: u64,
    /// None if it is on the fleet's record already.
    pub(super) request: Option<Request>,
}

/// One dispatcher's share in the fleet's policy.
pub struct Rules {
    pub(super) part: Participant,
    me: Peer,
    pub(super) terms: PolicyTerms,
    /// What a refusal for want of a lease tells a client to wait, in milliseconds.
    pub(super) backoff_ms: u64,
    /// What the settings say, which is policy 0.
    pub(super) base: Settings,
    /// By number.
    ready: BTreeMap<u64, Settings>,
    pub(super) held: VecDeque<Held>,
    /// Acts by what the last two policies known here both allow, as it has no lease.
    pub(super) fallen_back: bool,
    /// Operators' calls that wait to be agreed.
    pub(super) calls: PolicyCalls,
    /// Requests that waited, and that were refused for want of a lease or of a policy.
    pub(super) tally: [u64; 2],
}

impl Rules {
    /// Acts by the settings until the fleet says something else.
    pub fn new(terms: PolicyTerms, me: Peer, backoff_ms: u64, base: Settings) -> Rules {
        Rules {
            part: Participant::default(),
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

    /// What a request that arrives meets, with the lease that holds at this very moment.
    pub fn door(&self, holder: Option<Holder>) -> Door {
        match (self.part.gate(holder), self.terms.without_lease) {
            (Door::Refuse, WithoutLease::Stricter) if holder.is_none() => Door::Admit(self.part.number()),
            (door, _) => door,
        }
    }

    /// Which peer this is.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// The settings under the policy of a number, if it is still known.
    pub fn under(&self, number: u64) -> Option<&Settings> {
        self.ready.get(&number)
    }

    /// Looks at the fleet's state: what is to be done.
    pub(super) fn look(
        &mut self,
        now: Micros,
        holder: Option<Holder>,
        agreed: Option<&Policies>,
        names: &Names,
    ) -> Vec<Action> {
        let Rules { part, ready: all, base, .. } = self;
        let acts = part.poll(now, self.me, holder, agreed, &mut |p| make_ready(p, base, names, all));
        // One that took part in no vote, as it was away, makes it ready now. What it can't make sense of was checked by
        // all who had a lease then, and by no other build than they have.
        for act in &acts {
            if let Action::InForce(p) = act
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
        while all.len() > READY {
            let Some(old) = all.keys().copied().find(|n| *n != current) else { break };
            all.remove(&old);
        }
        acts
    }

    /// What it acts by without a lease: what the one in force and the one under way, as far as known, both allow.
    pub(super) fn fallback(&self) -> Option<Settings> {
        let current = self.under(self.part.number())?;
        let next = self.ready.range(self.part.number() + 1..).next_back();
        Some(next.map_or_else(|| current.clone(), |(_, next)| stricter(current, next)))
    }
}

/// Has the settings under a policy at hand; what is wrong with it here.
fn make_ready(p: &Policy, base: &Settings, names: &Names, all: &mut BTreeMap<u64, Settings>) -> Vec<String> {
    match ready(p, base, names) {
        Ok(settings) => {
            all.insert(p.number, settings);
            Vec::new()
        }
        Err(faults) => faults,
    }
}
