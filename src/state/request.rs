//! Open requests, their attempts, and the lines of those that share a key.

use super::*;

#[derive(Debug, Clone, Default)]
pub(crate) struct Request {
    pub(crate) class: ClassId,
    pub(crate) key: Option<u64>,
    pub(crate) group: u64,
    /// Executors that read its table group by preference.
    pub(crate) preferred_executors: Vec<ExecutorId>,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) latency_objective: Micros,
    pub(crate) cost: f64,
    pub(crate) estimate: Option<f64>,
    pub(crate) memory_estimate: Option<f64>,
    pub(crate) grant: f64,
    pub(crate) priority: u8,
    pub(crate) attempts: Vec<Attempt>,
    /// Until when it waits for probes.
    pub(crate) probe_wait_until: Option<Micros>,
    /// What it was expected to take when it joined its key's line.
    pub(crate) run: Micros,
    pub(crate) done: bool,
    pub(crate) streaming: bool,
    pub(crate) late: bool,
    /// Where it may go and how often, by the settings that it was admitted by.
    pub(crate) only_zones: Option<Vec<ZoneId>>,
    pub(crate) only_kinds: Option<Vec<KindId>>,
    pub(crate) most_attempts: u32,
}

impl Request {
    /// A request as it arrived, with nothing sent.
    pub(crate) fn new(
        a: &Arrival,
        now: Micros,
        cost: f64,
        latency_objective: Micros,
        preferred_executors: Vec<ExecutorId>,
        class: &Class,
        most_attempts: u32,
    ) -> Request {
        Request {
            class: a.class,
            key: a.key.filter(|_| class.keep_order),
            group: a.group,
            preferred_executors,
            arrived: now,
            deadline: now + a.time_budget,
            latency_objective: now + latency_objective,
            cost,
            estimate: a.estimate_s,
            memory_estimate: a.memory_mb,
            only_zones: class.only_zones.clone(),
            only_kinds: class.only_kinds.clone(),
            most_attempts,
            ..Request::default()
        }
    }

    /// Attempts that are out and not called off.
    pub(crate) fn live(&self) -> Vec<u32> {
        let all = self.attempts.iter().enumerate();
        all.filter(|(_, a)| a.outcome.is_none() && !a.cancelled).map(|(n, _)| n as u32).collect()
    }

    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }

    /// No attempt can have run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran))
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    pub(crate) executor: usize,
    pub(crate) sent: Micros,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) progress: f64,
    pub(crate) noted: Micros,
    /// When any word of it came, or it was sent.
    pub(crate) heard: Micros,
    pub(crate) cancelled: bool,
    pub(crate) spilled: bool,
    pub(crate) grant: f64,
}

impl Attempt {
    /// The attempt among these that word came of.
    pub(crate) fn word(all: &mut [Attempt], n: u32, now: Micros) -> Option<&mut Attempt> {
        let a = all.get_mut(n as usize)?;
        a.heard = now;
        Some(a)
    }

    /// Whether so many paces of notes, and at least so long, have brought no word of it, not even that it waits:
    /// its executor may tell of all others and never have got this one.
    pub(crate) fn mute(&self, now: Micros, pace: Option<Micros>, paces: f64, least: Micros) -> bool {
        pace.is_some_and(|p| now.saturating_sub(self.heard) > ((p as f64 * paces) as Micros).max(least))
    }

    /// Notes how far it is; its executor, and seconds for each whole since the note before.
    pub(crate) fn progressed(&mut self, now: Micros, progress: f64) -> (usize, f64) {
        let span = (now - self.noted) as f64 / 1e6;
        let seconds = span / (progress - self.progress).max(0.001);
        (self.progress, self.noted) = (progress, now);
        (self.executor, seconds)
    }
}

#[derive(Debug, Clone, Default)]
pub(crate) struct KeyLine {
    pub(crate) waiting: VecDeque<RequestId>,
    /// What all that wait were expected to take when they joined.
    pub(crate) work: Micros,
    pub(crate) rest_until: Micros,
}
