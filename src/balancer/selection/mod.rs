//! Which executor an attempt goes to: a weighted random draw among the usable executors whose load is
//! known.
//!
//! The steps of a draw: find the usable executors, set apart those whose load report is old, probe some of
//! these if the probe budget allows it, and draw one of the rest by weight.

mod affinity;
mod candidates;
mod probe_budget;
mod weight;

pub(crate) use probe_budget::ProbeBudget;

use super::load::SPARE_CAPACITY_LOAD;
use crate::api::{Action, DurationUs, Reports, RequestId};
use crate::state::{Balancer, Executor, draw_weighted};

/// A load report is fresh for this long.
const REPORT_FRESHNESS_US: DurationUs = 800_000;
/// Executors with a known load that a draw needs; with fewer of them others are probed first.
const CANDIDATES_WANTED: usize = 3;
/// Longest wait of a request for the answers to its probes; some round trips.
pub(super) const PROBE_WAIT_US: DurationUs = 40_000;
/// A probe without an answer is sent again after this long.
const PROBE_RESEND_AFTER_US: DurationUs = 1_000_000;

/// The usable executors of a draw, by position in the executor table.
struct Candidates {
    /// Their load is known well enough to draw one.
    known: Vec<usize>,
    /// Their report is old, and they are to be probed first.
    to_probe: Vec<usize>,
    /// Their report is old.
    unknown: Vec<usize>,
    /// In slow start: they are admitted to by tokens, which no probe changes.
    warming: Vec<usize>,
}

impl Candidates {
    /// The executors to draw from. Where few are known, the others are drawn as well, as loaded as their
    /// pool; those with a probe in flight only if there is nobody else.
    fn into_drawn_from(self, few_known: bool, probe_in_flight: impl Fn(usize) -> bool) -> Vec<usize> {
        let mut all = self.known;
        if few_known {
            let others = self.unknown.into_iter().chain(self.to_probe);
            let (probed, unprobed): (Vec<usize>, Vec<usize>) = others.partition(|&i| probe_in_flight(i));
            all.extend(unprobed);
            if all.is_empty() {
                all = probed;
            }
        }
        all.extend(self.warming);
        all
    }
}

impl Balancer {
    /// Draws an executor for the next attempt of a request; its position in the table. `None` if there is
    /// none, or, with `may_probe`, if the request now waits for the answers to probes.
    pub(super) fn draw_executor(&mut self, id: RequestId, may_probe: bool) -> Option<usize> {
        let usable = self.usable_executors(id);
        let mut candidates = self.sort_by_knowledge(id, usable);
        let choices = self.count_choices(id, &candidates.known);
        if may_probe {
            self.choose_probes(id, choices, &mut candidates);
            if self.send_probes(id, &candidates.to_probe) {
                let wait_until = self.now + PROBE_WAIT_US;
                self.request_mut(id).probe_wait_until.get_or_insert(wait_until);
                return None;
            }
        }
        let few_known = choices < CANDIDATES_WANTED;
        let drawn_from = candidates.into_drawn_from(few_known, |i| self.executors[i].probe_sent_at.is_some());
        self.draw_by_weight(id, drawn_from)
    }

    /// Sets apart the executors whose load is known, those to probe first and those in slow start.
    fn sort_by_knowledge(&self, id: RequestId, usable: Vec<usize>) -> Candidates {
        let probes_help = self.probes_help();
        let (warming, warm): (Vec<usize>, Vec<usize>) =
            usable.into_iter().partition(|&i| self.warming_rate(&self.executors[i]).is_some());
        let is_known = |i: &usize| {
            !probes_help || self.now < self.executors[*i].report_received_at + REPORT_FRESHNESS_US
        };
        let (known, unknown): (Vec<usize>, Vec<usize>) = warm.into_iter().partition(is_known);
        let request = &self.requests[&id];
        let seeks_affinity = !self.settings.classes[request.class].yields_to_loads;
        let is_wanted = |i: &usize| {
            let executor = &self.executors[*i];
            seeks_affinity && request.prefers(executor) || self.awaits_probe(executor)
        };
        let (to_probe, unknown) = unknown.into_iter().partition(is_wanted);
        Candidates { known, to_probe, unknown, warming }
    }

    /// Whether a probe can improve a draw: only where reports tell of load, and there is a choice.
    fn probes_help(&self) -> bool {
        let reports_load =
            self.settings.reports != Reports::Off && self.load.reports_tell_load != Some(false);
        reports_load && self.settings.probes && self.executors.len() > 1
    }

    /// A probe was sent lately and its answer is still expected.
    fn awaits_probe(&self, executor: &Executor) -> bool {
        executor.probe_sent_at.is_some_and(|sent| self.now < sent + PROBE_RESEND_AFTER_US)
    }

    /// The known executors that count as a choice. Preferred executors without room do not: else a few hot
    /// table groups would never leave theirs.
    fn count_choices(&self, id: RequestId, known: &[usize]) -> usize {
        let request = &self.requests[&id];
        let is_full = |executor: &Executor| {
            request.prefers(executor) && self.executor_load(executor) > SPARE_CAPACITY_LOAD
        };
        known.iter().filter(|&&i| !is_full(&self.executors[i])).count()
    }

    /// Adds unknown executors, drawn by weight, to those to probe until the draw would have enough
    /// candidates.
    fn choose_probes(&mut self, id: RequestId, choices: usize, candidates: &mut Candidates) {
        if candidates.to_probe.len() + choices >= CANDIDATES_WANTED {
            return;
        }
        let mut weights = self.weights(id, &candidates.unknown);
        while candidates.to_probe.len() + choices < CANDIDATES_WANTED {
            let Some(drawn) = draw_weighted(&weights, self.chance()) else { break };
            weights.remove(drawn);
            candidates.to_probe.push(candidates.unknown.remove(drawn));
        }
    }

    /// Probes executors as far as the probe budget goes; whether any answer is awaited now.
    fn send_probes(&mut self, id: RequestId, to_probe: &[usize]) -> bool {
        let is_expensive = self.requests[&id].cost > self.cost_model.mean_cost.value;
        let reserve = if is_expensive { 0.0 } else { ProbeBudget::reserve(self.settings.probe_price) };
        let mut awaited = false;
        for &i in to_probe {
            if !self.awaits_probe(&self.executors[i]) {
                if !self.probe_budget.try_spend(reserve) {
                    continue;
                }
                self.send_probe(i);
            }
            awaited = true;
        }
        awaited
    }

    fn send_probe(&mut self, i: usize) {
        let executor = &mut self.executors[i];
        executor.probe_sent_at = Some(self.now);
        executor.connected = true;
        self.actions.push(Action::Probe { executor: executor.endpoint.executor });
        self.mark_active(i);
    }

    /// Draws by weight until an executor takes the request: one in slow start may not.
    fn draw_by_weight(&mut self, id: RequestId, mut drawn_from: Vec<usize>) -> Option<usize> {
        let mut weights = self.weights(id, &drawn_from);
        while let Some(drawn) = draw_weighted(&weights, self.chance()) {
            if self.admit_to_warming(id, drawn_from[drawn]) {
                return Some(drawn_from[drawn]);
            }
            drawn_from.remove(drawn);
            weights.remove(drawn);
        }
        None
    }
}
