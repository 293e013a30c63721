//! Checks the platform's rules against the plan, independently of the program's reading of it.

use crate::plan::{Idempotency, Plan, Reach};
use crate::seen::Seen;
use ottercroft::api::Outcome;
use std::collections::BTreeMap;

/// The fixed properties of an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    pub zone: usize,
    pub kind: usize,
    pub cell: u64,
}

#[derive(Debug, Clone)]
pub struct Attempt {
    pub executor: u32,
    pub sent: u64,
    pub outcome: Option<Outcome>,
}

#[derive(Debug, Clone)]
pub struct Open {
    pub class: usize,
    pub key: Option<u64>,
    pub deadline: u64,
    /// Whether the final answer was given or none is due.
    pub over: bool,
    pub attempts: Vec<Attempt>,
}

impl Open {
    fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran))
    }
}

pub struct Referee {
    pub plan: Plan,
    pub places: BTreeMap<u32, Place>,
    pub open: BTreeMap<u64, Open>,
    /// When executors were first reported as draining or removed.
    pub told: BTreeMap<u32, u64>,
    rested: BTreeMap<u64, u64>,
    taken: Vec<u64>,
    further: Vec<(u64, u64, usize)>,
    pub seen: Seen,
}

impl Referee {
    pub fn new(plan: Plan, places: BTreeMap<u32, Place>) -> Referee {
        let (open, told, rested) = Default::default();
        Referee { plan, places, open, told, rested, taken: vec![], further: vec![], seen: Seen::default() }
    }

    pub fn take(&mut self, now: u64, id: u64, class: usize, key: Option<u64>, time_budget: u64) {
        self.taken.push(now);
        let key = key.filter(|_| self.plan.classes[class].keep_order);
        let open = Open { class, key, deadline: now + time_budget, over: false, attempts: vec![] };
        assert!(self.open.insert(id, open).is_none());
    }

    pub fn send(&mut self, now: u64, id: u64, executor: u32) {
        let (p, seen) = (&self.plan, &mut self.seen);
        let o = &self.open[&id];
        let (c, place) = (&p.classes[o.class], self.places[&executor]);
        assert!(!o.over && now < o.deadline, "sent after the end of the request or its deadline");
        assert!(o.attempts.len() < p.max_attempts as usize, "too many attempts");
        assert!(c.zones.as_ref().is_none_or(|z| z.contains(&place.zone)), "wrong zone");
        assert!(c.kinds.as_ref().is_none_or(|k| k.contains(&place.kind)), "wrong kind");
        seen.bound += u32::from(c.zones.is_some() || c.kinds.is_some());
        let grace_over = |t: &u64| now > *t + p.drain;
        assert!(
            !self.told.get(&executor).is_some_and(grace_over),
            "sent to a draining or removed executor after the grace period"
        );
        seen.drained += u32::from(!self.told.is_empty());
        let out = o.attempts.iter().any(|a| a.outcome.is_none());
        assert!(!out || p.copies == Some(true), "two open attempts without permission for hedging");
        seen.copies += u32::from(out);
        let ran: Vec<&Attempt> =
            o.attempts.iter().filter(|a| !a.outcome.is_some_and(Outcome::never_ran)).collect();
        match c.idempotency {
            Idempotency::ReadLike => {}
            Idempotency::NonIdempotent => {
                assert!(ran.is_empty(), "a non-idempotent request is sent again after it may have run");
                seen.unsafe_again += u32::from(!o.attempts.is_empty());
            }
            Idempotency::Key(reach) => {
                for a in &ran {
                    let there = self.places[&a.executor];
                    let same = match reach {
                        Reach::All => true,
                        Reach::Zone => there.zone == place.zone,
                        Reach::Cell => there.cell == place.cell,
                    };
                    assert!(
                        same && now <= a.sent + c.window,
                        "retried with an idempotency key outside its scope or window"
                    );
                }
                seen.keyed_again += u32::from(!ran.is_empty());
            }
        }
        if let Some(k) = o.key.filter(|_| o.attempts.is_empty()) {
            for (before, x) in self.open.range(..id).filter(|(_, x)| x.key == Some(k)) {
                let over = x.over && x.attempts.iter().all(|a| a.outcome.is_some());
                assert!(over, "{id} sent while {before} of its key is open");
            }
            assert!(self.rested.get(&k).is_none_or(|t| now >= *t), "sent within the quiet period of its key");
        }
        seen.sends += 1;
        if !o.attempts.is_empty() {
            seen.further += 1;
            self.further.push((now, id, o.attempts.len()));
        }
        if let Some(b) = p.budget.as_ref().filter(|_| !o.attempts.is_empty()) {
            // Attempts never sent are not counted here, though the program may count them.
            let moot = |id: &u64, n: usize| {
                self.open[id].attempts.get(n).is_some_and(|a| a.outcome == Some(Outcome::NotSent))
            };
            let counted = self.further.iter().filter(|(t, id, n)| t + b.span >= now && !moot(id, *n));
            let taken = self.taken.iter().filter(|t| **t + b.span > now).count() as f64;
            let most = b.free.unwrap_or(0.0) + b.ratio.unwrap_or(0.0) * taken;
            let n = counted.count() as f64;
            assert!(n <= most + 1e-9, "retry budget: {n} of {most}");
            seen.budget_full += u32::from(n + 1.0 > most);
        }
        self.open.get_mut(&id).unwrap().attempts.push(Attempt { executor, sent: now, outcome: None });
    }

    /// Ends an attempt. Returns false if it had ended before.
    pub fn end(&mut self, now: u64, id: u64, n: usize, outcome: Outcome) -> bool {
        let o = self.open.get_mut(&id).unwrap();
        let Some(a) = o.attempts.get_mut(n).filter(|a| a.outcome.is_none()) else { return false };
        a.outcome = Some(outcome);
        if let (Some(k), Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) = (o.key, outcome) {
            let rest = now + self.plan.key_quiet.unwrap_or(0);
            let t = self.rested.entry(k).or_default();
            *t = rest.max(*t);
        }
        true
    }

    /// Records a final answer, and counts those given although an attempt may have run.
    fn answer(&mut self, now: u64, id: u64) {
        let o = self.open.get_mut(&id).expect("an answer to an unknown request");
        assert!(!o.over, "a second answer");
        o.over = true;
        assert!(now <= o.deadline + self.plan.slack, "answered late");
        self.seen.overdue += u32::from(now >= o.deadline);
        let (ran, idempotency) = (!o.never_ran(), self.plan.classes[o.class].idempotency);
        self.seen.unsafe_kept += u32::from(ran && idempotency == Idempotency::NonIdempotent);
        self.seen.keyed_kept +=
            u32::from(ran && matches!(idempotency, Idempotency::Key(Reach::Zone | Reach::Cell)));
    }

    pub fn serve(&mut self, now: u64, id: u64) {
        self.seen.served += 1;
        self.answer(now, id);
    }

    pub fn fail(&mut self, now: u64, id: u64) {
        self.seen.failed += 1;
        self.answer(now, id);
    }

    pub fn refuse(&mut self, now: u64, id: u64) {
        let o = &self.open[&id];
        let free = matches!(
            self.plan.classes[o.class].idempotency,
            Idempotency::ReadLike | Idempotency::Key(Reach::All)
        );
        assert!(free || o.never_ran(), "rejected a request that may have run");
        self.seen.refused += 1;
        self.answer(now, id);
    }

    /// Cancels an attempt; at the deadline this is its timeout.
    pub fn cancel(&mut self, now: u64, id: u64, n: usize) {
        let o = &self.open[&id];
        assert!(n < o.attempts.len(), "cancelled an attempt that was never sent");
        assert!(
            self.plan.cancel == Some(true) || now >= o.deadline,
            "cancelled where cancellation is not permitted"
        );
        self.seen.cancels += u32::from(now < o.deadline);
    }

    pub fn probe(&mut self) {
        assert!(self.plan.probes == Some(true), "probed where probes are not permitted");
        self.seen.probes += 1;
    }

    /// Checks the rules that depend on the current time.
    pub fn pass(&mut self, now: u64) {
        let late = |o: &Open| !o.over && now > o.deadline + self.plan.slack;
        assert!(!self.open.values().any(late), "a request was not answered in time");
        let waits = |o: &&Open| !o.over && o.key.is_some() && o.attempts.is_empty();
        self.seen.in_line += u32::from(self.open.values().filter(waits).count() > 0);
        // Finished requests are kept only as long as the retry budget may need them.
        let done = |o: &Open| o.over && o.attempts.iter().all(|a| a.outcome.is_some());
        let span = self.plan.budget.as_ref().map_or(0, |b| b.span) + 1;
        self.open.retain(|_, o| !done(o) || o.deadline + span > now);
        self.further.retain(|(t, ..)| t + span > now);
    }
}
