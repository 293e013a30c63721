//! Executor selection: a weighted random draw among the usable executors whose load is known.
//!
//! The steps are: find the usable executors, separate those with a stale load report, probe some of these if
//! the probe budget allows it, and draw one of the others by weight.

mod affinity;
mod candidates;
mod probe_budget;
mod weight;

pub(crate) use probe_budget::ProbeBudget;

use super::load::SPARE_CAPACITY_LOAD;
use crate::api::{Action, DurationUs, Reports, RequestId};
use crate::state::{Balancer, Executor, draw_weighted};

/// Age up to which a load report is fresh.
const REPORT_FRESHNESS_US: DurationUs = 800_000;
/// Number of executors with a known load that a draw needs. If there are fewer, others are probed first.
const MIN_KNOWN_CANDIDATES: usize = 3;
/// Maximum time that a request waits for responses to its probes; several round trips.
pub(super) const PROBE_WAIT_US: DurationUs = 40_000;
/// Time after which an unanswered probe is sent again.
const PROBE_RESEND_AFTER_US: DurationUs = 1_000_000;

/// The usable executors of a draw, as positions in the executor table.
struct Candidates {
    /// Executors with a fresh load report.
    known: Vec<usize>,
    /// Executors with a stale report that are to be probed first.
    to_probe: Vec<usize>,
    /// Other executors with a stale report.
    unknown: Vec<usize>,
    /// Executors in slow start. They are limited by token buckets, so probing them is of no use.
    warming: Vec<usize>,
}

impl Candidates {
    /// The executors to draw from. If few are known, the others are included at the assumed load of their
    /// pool; those with a probe in flight only if there are no others.
    fn into_draw_set(self, few_known: bool, probe_in_flight: impl Fn(usize) -> bool) -> Vec<usize> {
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
    /// Draws an executor for the next attempt of a request and returns its position in the table. Returns
    /// `None` if there is none or, with `may_probe`, if the request now waits for responses to probes.
    pub(super) fn draw_executor(&mut self, id: RequestId, may_probe: bool) -> Option<usize> {
        let usable = self.usable_executors(id);
        let mut candidates = self.classify_candidates(id, usable);
        let choices = self.count_choices(id, &candidates.known);
        if may_probe {
            self.choose_probes(id, choices, &mut candidates);
            if self.send_probes(id, &candidates.to_probe) {
                let wait_until = self.now + PROBE_WAIT_US;
                self.request_mut(id).probe_wait_until.get_or_insert(wait_until);
                return None;
            }
        }
        let few_known = choices < MIN_KNOWN_CANDIDATES;
        let draw_set = candidates.into_draw_set(few_known, |i| self.executors[i].probe_sent_at.is_some());
        self.draw_by_weight(id, draw_set)
    }

    /// Splits the usable executors by whether they are in slow start, have a known load or are to be probed.
    fn classify_candidates(&self, id: RequestId, usable: Vec<usize>) -> Candidates {
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
            seeks_affinity && request.prefers(executor) || self.is_probe_pending(executor)
        };
        let (to_probe, unknown) = unknown.into_iter().partition(is_wanted);
        Candidates { known, to_probe, unknown, warming }
    }

    /// Whether a probe can improve a draw: reports state the load, and there is more than one executor.
    fn probes_help(&self) -> bool {
        let reports_load =
            self.settings.reports != Reports::Off && self.load.reports_state_load != Some(false);
        reports_load && self.settings.probes && self.executors.len() > 1
    }

    /// Whether a probe was sent recently and its response is still expected.
    fn is_probe_pending(&self, executor: &Executor) -> bool {
        executor.probe_sent_at.is_some_and(|sent| self.now < sent + PROBE_RESEND_AFTER_US)
    }

    /// Number of executors with a known load that count as a choice. Preferred executors without spare
    /// capacity do not count; otherwise requests for a few hot table groups would never be sent elsewhere.
    fn count_choices(&self, id: RequestId, known: &[usize]) -> usize {
        let request = &self.requests[&id];
        let is_full = |executor: &Executor| {
            request.prefers(executor) && self.executor_load(executor) > SPARE_CAPACITY_LOAD
        };
        known.iter().filter(|&&i| !is_full(&self.executors[i])).count()
    }

    /// Draws executors of unknown load by weight and adds them to those to probe, until the draw would have
    /// enough candidates.
    fn choose_probes(&mut self, id: RequestId, choices: usize, candidates: &mut Candidates) {
        if candidates.to_probe.len() + choices >= MIN_KNOWN_CANDIDATES {
            return;
        }
        let mut weights = self.weights(id, &candidates.unknown);
        while candidates.to_probe.len() + choices < MIN_KNOWN_CANDIDATES {
            let Some(drawn) = draw_weighted(&weights, self.uniform_random()) else { break };
            weights.remove(drawn);
            candidates.to_probe.push(candidates.unknown.remove(drawn));
        }
    }

    /// Probes executors within the probe budget and returns whether any response is pending.
    fn send_probes(&mut self, id: RequestId, to_probe: &[usize]) -> bool {
        let is_expensive = self.requests[&id].predicted_cost > self.cost_model.mean_cost.value;
        let reserve = if is_expensive { 0.0 } else { ProbeBudget::reserve(self.settings.probe_price) };
        let mut any_pending = false;
        for &i in to_probe {
            if !self.is_probe_pending(&self.executors[i]) {
                if !self.probe_budget.try_spend(reserve) {
                    continue;
                }
                self.send_probe(i);
            }
            any_pending = true;
        }
        any_pending
    }

    fn send_probe(&mut self, i: usize) {
        let executor = &mut self.executors[i];
        executor.probe_sent_at = Some(self.now);
        executor.connected = true;
        self.actions.push(Action::Probe { executor: executor.endpoint.executor });
        self.mark_active(i);
    }

    /// Draws by weight until an executor admits the request; only executors in slow start may not admit it.
    fn draw_by_weight(&mut self, id: RequestId, mut draw_set: Vec<usize>) -> Option<usize> {
        let mut weights = self.weights(id, &draw_set);
        while let Some(drawn) = draw_weighted(&weights, self.uniform_random()) {
            if self.admit_to_warming(id, draw_set[drawn]) {
                return Some(draw_set[drawn]);
            }
            draw_set.remove(drawn);
            weights.remove(drawn);
        }
        None
    }
}
