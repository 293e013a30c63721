//! Placement: hard constraints on the executors that an attempt may be sent to, independent of their weights.

use crate::api::{ClassId, DurationUs, Idempotency, KeyScope, Outcome};
use crate::state::{Attempt, Balancer, Executor, Request};

impl Balancer {
    /// Whether the zone and kind of an executor are allowed for a class.
    pub(super) fn placement_allows(&self, class: ClassId, executor: &Executor) -> bool {
        let class = &self.settings.classes[class];
        executor.is_within(&class.only_zones, &class.only_kinds)
    }

    /// Whether an attempt of the request may be sent to the executor now.
    ///
    /// An executor gets no attempts from the moment that the endpoint list has it as draining, well within
    /// its grace period. Otherwise requests would be lost on executors that shut down.
    pub(super) fn is_permitted(&self, request: &Request, i: usize) -> bool {
        let executor = &self.executors[i];
        executor.is_listed()
            && executor.is_within(&request.only_zones, &request.only_kinds)
            && self.idempotency_allows(request, executor)
            && self.slow_start_allows(request, executor)
    }

    /// Prevents duplicate execution, which a retry causes if an earlier attempt ran although it seemed lost.
    /// A non-idempotent request is retried only if no attempt can have run; one with an idempotency key only
    /// on executors, and within the time, in which duplicates of its earlier attempts are recognised.
    fn idempotency_allows(&self, request: &Request, executor: &Executor) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => request.never_ran(),
            Idempotency::IdempotencyKey { scope, window } => {
                let may_have_run = |a: &&Attempt| !a.outcome.is_some_and(Outcome::never_ran);
                let mut attempts = request.attempts.iter().filter(may_have_run);
                attempts.all(|attempt| self.recognises_duplicate(attempt, executor, scope, window))
            }
        }
    }

    /// Whether the executor would recognise a duplicate of the attempt now.
    fn recognises_duplicate(
        &self,
        attempt: &Attempt,
        executor: &Executor,
        scope: KeyScope,
        window: DurationUs,
    ) -> bool {
        let tried = &self.executors[attempt.executor].endpoint;
        self.now < attempt.sent_at + window && scope.is_shared_by(tried, &executor.endpoint)
    }
}
