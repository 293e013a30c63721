//! Carries out each operator's call and formats its answer.

use crate::api::Micros;
use crate::codec::operator::{self as ops, Call, Fault, Readiness};
use crate::dispatch::WatchEvent;
use crate::net::DispatcherServer;
use crate::net::event_loop::poll::Key;
use crate::net::limits::LEAVE_GRACE;
use crate::operator::shared_bans::BanCall;
use std::io;

impl DispatcherServer {
    /// Carries out an operator's call and returns the answer. `None` means that the fleet has to agree first and the answer
    /// follows later.
    pub(in crate::net) fn answer_call(
        &mut self,
        caller: Key,
        now: Micros,
        line: Result<Call, Fault>,
    ) -> Option<String> {
        let call = match self.known_call(line) {
            Ok(call) => call,
            Err(fault) => return Some(ops::refusal(&fault)),
        };
        Some(match call {
            Call::Plan(_) | Call::PlanStatus | Call::PlanAbort | Call::PlanMend(_) => {
                return self.plan_call(caller, now, call);
            }
            Call::Policy(policy_call) => return self.policy_call(caller, now, &policy_call),
            Call::Health => self.readiness().answer(),
            Call::Dump => format!("+OK figures\n{}.", self.dump(now)),
            Call::Leave => self.leave(now),
            Call::Join => self.join(now),
            Call::Offline(id) => self.take_offline(now, &id),
            Call::Online(id) => self.bring_online(now, &id),
        })
    }

    /// Returns the call if this dispatcher supports it: plans need peers, and policy calls an agreed policy.
    fn known_call(&self, line: Result<Call, Fault>) -> Result<Call, Fault> {
        let is_plan_call = matches!(
            line,
            Ok(Call::Plan(_) | Call::PlanStatus | Call::PlanAbort | Call::PlanMend(_))
                | Err(Fault::Missing("DRAIN" | "DRAIN PLAN" | "DRAIN MEND") | Fault::Extra("DRAIN"))
        );
        let is_policy_call =
            matches!(line, Ok(Call::Policy(_)) | Err(Fault::Missing("POLICY") | Fault::Extra("POLICY")));
        if is_plan_call && self.in_flight.is_none() {
            return Err(Fault::Unknown("DRAIN".into()));
        }
        if is_policy_call && self.fleet_policy.is_none() {
            return Err(Fault::Unknown("POLICY".into()));
        }
        line
    }

    /// `LEAVE`: stops accepting clients and closes idle ones.
    fn leave(&mut self, now: Micros) -> String {
        if self.leaving.is_none() {
            tracing::warn!(clients = self.sessions.by_key.len(), open = self.requests.open.len(), "LEAVE");
            self.leaving = Some(now);
            // A load balancer that probes the client port has to find it closed.
            self.stop_accepting(now);
        }
        self.close_idle_clients_while_leaving(now);
        "+OK leaving".into()
    }

    /// `JOIN`: accepts clients again.
    fn join(&mut self, now: Micros) -> String {
        if self.leaving.take().is_some() {
            tracing::warn!("JOIN");
        }
        match self.listen_again(now) {
            Ok(()) => "+OK joined".into(),
            Err(e) => format!("-ERR joined, but can't listen on {}: {e}", self.listener.address()),
        }
    }

    /// `OFFLINE`: bans an executor: it gets no new work.
    fn take_offline(&mut self, now: Micros, id: &str) -> String {
        match self.bans.offline(id, self.endpoints.contains_key(id), now) {
            Ok(call) => {
                if let Some(call) = call {
                    tracing::warn!(executor = id, "OFFLINE: gets no new work until ONLINE");
                    self.ban_called(id, call, now);
                }
                format!("+OK offline {id}")
            }
            Err(e) => format!("-ERR {e}"),
        }
    }

    /// `ONLINE`: lifts a ban.
    fn bring_online(&mut self, now: Micros, id: &str) -> String {
        match self.bans.online(id, self.endpoints.contains_key(id), now) {
            Ok(call) => {
                if let Some(call) = call {
                    tracing::warn!(executor = id, "ONLINE: back in service, in slow start");
                    self.ban_called(id, call, now);
                }
                format!("+OK online {id}")
            }
            Err(e) => format!("-ERR {e}"),
        }
    }

    /// Listens for clients again, even if another process listens on the same port.
    pub(in crate::net) fn listen_again(&mut self, now: Micros) -> io::Result<()> {
        if !self.listener.is_closed() || self.shutdown.is_requested() {
            return Ok(());
        }
        self.listener.reopen(&self.poll)?;
        self.accept_clients(now);
        Ok(())
    }

    pub(in crate::net) fn readiness(&self) -> Readiness {
        match (self.shutdown.is_requested(), self.leaving) {
            (true, _) => Readiness::Stopping,
            (false, Some(_)) => Readiness::Leaving,
            (false, None) => Readiness::Ready,
        }
    }

    /// A ban was set or lifted: updates the executor in the dispatch module. An
    /// executor whose ban was lifted has been restarted meanwhile, so its slow start began with the call.
    pub(in crate::net) fn apply_ban_call(&mut self, id: &str, call: BanCall, now: Micros) {
        if !call.banned {
            self.onlined_at_ms.insert(id.to_string(), call.at.min(now) / 1000);
        }
        if let Some(target) = self.endpoints.get(id).cloned() {
            self.update_endpoints(now, WatchEvent::Changed, &[target]);
        }
    }

    pub(in crate::net) fn dump(&self, now: Micros) -> String {
        let f = &self.metrics;
        f.forwards.inc_by(self.executors.counters.forwards.saturating_sub(f.forwards.get()));
        f.log_lines_dropped.inc_by(self.dropped_lines.count().saturating_sub(f.log_lines_dropped.get()));
        f.outstanding.set(self.requests.open.len() as i64);
        let (listed, avoided) = self.dispatch.listed_and_avoided(now);
        f.discovered.set(listed as i64);
        f.ejected.set(avoided as i64);
        f.text()
    }

    /// After `LEAVE`: nothing more is read from a client without an open request or a partial packet; it is closed once
    /// its last answer is written, so that it reconnects elsewhere.
    pub(in crate::net) fn close_if_idle_while_leaving(&mut self, key: Key, now: Micros) {
        if self.leaving.is_none() {
            return;
        }
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        if s.may_close(now, LEAVE_GRACE) && !s.has_unread() {
            self.finish_client(key, now);
        }
    }

    pub(in crate::net) fn close_idle_clients_while_leaving(&mut self, now: Micros) {
        // This runs ten times a second: don't collect the keys unless the dispatcher is leaving.
        if self.leaving.is_none() {
            return;
        }
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        keys.into_iter().for_each(|key| self.close_if_idle_while_leaving(key, now));
    }
}
