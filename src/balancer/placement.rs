//! Placement: which executors the rules permit for an attempt, whatever the draw would like.

use crate::api::{ClassId, DurationUs, Idempotency, KeyScope, Outcome};
use crate::state::{Attempt, Balancer, Executor, Request};

impl Balancer {
    /// Whether requests of a class may go to the executor, by its zone and kind of machine.
    pub(super) fn placement_allows(&self, class: ClassId, executor: &Executor) -> bool {
        let class = &self.settings.classes[class];
        executor.is_within(&class.only_zones, &class.only_kinds)
    }

    /// Whether the rules let an attempt of the request go to the executor now.
    ///
    /// Guards against requests lost on executors that shut down: nothing is sent from the moment that the
    /// endpoint list has one as draining, well inside its grace.
    pub(super) fn permitted(&self, request: &Request, i: usize) -> bool {
        let executor = &self.executors[i];
        executor.listed()
            && executor.is_within(&request.only_zones, &request.only_kinds)
            && self.idempotency_allows(request, executor)
            && self.slow_start_allows(request, executor)
    }

    /// Guards against work that runs twice, which a retry causes if the attempt before ran though it seemed
    /// lost. A request that is not idempotent is sent again only if no attempt can have run; one with an
    /// idempotency key only where and while the executors drop its repeats.
    fn idempotency_allows(&self, request: &Request, executor: &Executor) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => request.never_ran(),
            Idempotency::IdempotencyKey { scope, window } => {
                let may_have_run = |a: &&Attempt| !a.outcome.is_some_and(Outcome::never_ran);
                let mut attempts = request.attempts.iter().filter(may_have_run);
                attempts.all(|attempt| self.drops_repeat(attempt, executor, scope, window))
            }
        }
    }

    /// Whether the executor would drop a repeat of the attempt now.
    fn drops_repeat(
        &self,
        attempt: &Attempt,
        executor: &Executor,
        scope: KeyScope,
        window: DurationUs,
    ) -> bool {
        let tried = &self.executors[attempt.executor].endpoint;
        self.now < attempt.sent_at + window && scope.holds(tried, &executor.endpoint)
    }
}
