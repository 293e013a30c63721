//! Recording of requests in the replicated record: their arrival, their attempts and their results.

use super::InFlight;
use crate::api::Micros;
use crate::dispatch::{Answer, AttemptId, Request};
use crate::net::DispatcherServer;
use crate::net::executors::{Job, Rows};
use crate::net::sockets::buffers::{Block, Pool};
use crate::takeover::{AbandonedOutcome, Gate, Pages, RecordId, Reply, RequestContent, TakeoverAction, Try};
use fleet::ledger::Record;

impl InFlight {
    fn attempt(&self, now: Micros, r: &Request, job: &Job, policy: u64) -> Try {
        let index = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        let repeatable = self.repeats.get(r.class).copied().unwrap_or(false);
        let content = RequestContent {
            id: r.client_request_id.map_or(RecordId::Try(r.id), RecordId::Ask),
            class: &job.class_name,
            tenant: r.tenant.and_then(|tenant| self.tenants.get(tenant)).map(|name| &**name),
            key: r.key,
            token: job.token.as_deref(),
            statement: &job.statement,
        };
        let is_recorded = r.client_request_id.is_some() || !repeatable;
        Try {
            ask: r.client_request_id,
            again: r.is_client_retry,
            record: Record {
                attempt_id: r.id,
                class: index(r.class),
                tenant: r.tenant.map(index),
                key: r.key,
                group: r.table_group,
                work_s: r.estimated_thread_seconds,
                memory_mb: r.estimated_memory_mb,
                repeatable,
                // Another dispatcher would send the request without its idempotency token, so the statement
                // is left out and it does not send it at all.
                statement: r
                    .client_request_id
                    .filter(|_| job.token.is_none())
                    .map(|_| job.statement.to_string()),
                deadline: now + r.time_budget,
                executors_tried: Vec::new(),
                policy,
                digest: is_recorded.then(|| content.digest()),
            },
        }
    }
}

fn pages(rows: &Rows) -> Pages {
    rows.iter().map(|b| b.bytes().to_vec()).collect()
}

/// Copies pages into buffers; each page fits, because it came from a buffer of the same size.
fn rows(pages: &Pages, pool: &Pool) -> Rows {
    let block = |page: &Vec<u8>| {
        let mut block: Block = pool.block();
        block.append(page);
        block
    };
    pages.iter().map(block).collect()
}

impl DispatcherServer {
    /// Registers an admitted request with the record. Returns whether it may be submitted now.
    pub(in crate::net) fn begin_in_flight(&mut self, now: Micros, request: &Request, job: &Job) -> Gate {
        let policy = self.policy_number();
        let Some(in_flight) = &mut self.in_flight else { return Gate::Go };
        let attempt = in_flight.attempt(now, request, job, policy);
        in_flight.takeover.handle_request(now, attempt)
    }

    /// Whether an attempt may be sent under the lease; if not, the request is released.
    pub(in crate::net) fn lease_allows_send(
        &mut self,
        now: Micros,
        attempt_id: AttemptId,
        executor: u32,
    ) -> bool {
        let Some(in_flight) = &mut self.in_flight else { return true };
        let may = in_flight.takeover.may_send(now, attempt_id.request);
        match may {
            true => in_flight.takeover.record_attempt(now, attempt_id.request, executor),
            false => in_flight.takeover.actions.push_back(TakeoverAction::LetGo(attempt_id.request)),
        }
        may
    }

    /// Records the final answer of a request.
    pub(in crate::net) fn end_in_flight(&mut self, now: Micros, request: u64, answer: &Answer<Rows>) {
        let Some(in_flight) =
            self.in_flight.as_mut().filter(|in_flight| in_flight.takeover.is_tracked(request))
        else {
            return;
        };
        let reply = match answer {
            Answer::Served(rows) if in_flight.takeover.keeps_result(request) => Reply::Served(pages(rows)),
            Answer::Served(_) => Reply::Served(Vec::new()),
            Answer::Rejected(ms) => Reply::Refused(*ms),
            Answer::Failed => Reply::Failed,
        };
        in_flight.takeover.handle_answer(now, request, reply);
    }

    /// Converts a recorded reply to an answer.
    pub(in crate::net) fn to_answer(&self, reply: Reply) -> Answer<Rows> {
        match reply {
            Reply::Served(pages) => Answer::Served(rows(&pages, &self.pool)),
            Reply::Refused(ms) => Answer::Rejected(ms),
            Reply::Failed => Answer::Failed,
        }
    }

    /// Ends the record of a request that the dispatch logic did not accept.
    pub(in crate::net) fn end_unsubmitted_in_flight(&mut self, now: Micros, request: u64) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.takeover.handle_answer(now, request, Reply::Refused(0));
        }
    }

    /// Records that the client of a request has disconnected.
    pub(in crate::net) fn record_client_left(&mut self, now: Micros, request: u64) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.takeover.handle_disconnect(now, request);
        }
    }

    /// Records the outcome of a request whose client had disconnected.
    pub(in crate::net) fn record_abandoned(
        &mut self,
        now: Micros,
        request: u64,
        served: Option<Rows>,
        never_ran: bool,
    ) {
        let Some(in_flight) =
            self.in_flight.as_mut().filter(|in_flight| in_flight.takeover.is_tracked(request))
        else {
            return;
        };
        let outcome = match (served, never_ran) {
            (Some(rows), _) => AbandonedOutcome::Served(pages(&rows)),
            (None, true) => AbandonedOutcome::NeverRan,
            (None, false) => AbandonedOutcome::MayHaveRan,
        };
        in_flight.takeover.handle_abandoned_outcome(now, request, outcome);
    }
}
