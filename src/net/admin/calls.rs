//! What each operator's call does, and its answer.

use crate::api::Micros;
use crate::codec::operator::{self as ops, Call, Fault, Readiness};
use crate::dispatch::WatchEvent;
use crate::net::DispatcherServer;
use crate::net::event_loop::poll::Key;
use crate::net::limits::LEAVE_GRACE;
use std::io;

impl DispatcherServer {
    /// Carries an operator's call out; the answer to write. `None`: the fleet has to agree first, and the answer comes
    /// later.
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

    /// The call, if this dispatcher has it: without peers there are no plans, and without an agreed policy no calls on
    /// it.
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

    /// `LEAVE`: accepts no clients, and closes those that are idle.
    fn leave(&mut self, now: Micros) -> String {
        if self.leaving.is_none() {
            tracing::warn!(clients = self.sessions.by_key.len(), open = self.requests.open.len(), "LEAVE");
            self.leaving = Some(now);
            // A load balancer that probes the clients' port has to see it closed.
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

    /// `OFFLINE`: bans an executor, so that it gets no new work.
    fn take_offline(&mut self, now: Micros, id: &str) -> String {
        match self.bans.offline(id, self.endpoints.contains_key(id)) {
            Ok(is_new) => {
                if is_new {
                    tracing::warn!(executor = id, "OFFLINE: no new work for it until ONLINE");
                    self.ban_changed(now, id);
                }
                format!("+OK offline {id}")
            }
            Err(e) => format!("-ERR {e}"),
        }
    }

    /// `ONLINE`: lifts a ban. The executor was restarted meanwhile: it warms up from now on.
    fn bring_online(&mut self, now: Micros, id: &str) -> String {
        match self.bans.online(id, self.endpoints.contains_key(id)) {
            Ok(was_banned) => {
                if was_banned {
                    tracing::warn!(executor = id, "ONLINE: it serves again, cold");
                    self.onlined_at_ms.insert(id.to_string(), now / 1000);
                    self.ban_changed(now, id);
                }
                format!("+OK online {id}")
            }
            Err(e) => format!("-ERR {e}"),
        }
    }

    /// Listens for clients again, beside any other process on the port.
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

    /// A ban was put on or lifted: the module hears of the executor anew, and the next process of it.
    pub(in crate::net) fn ban_changed(&mut self, now: Micros, id: &str) {
        if let Some(target) = self.endpoints.get(id).cloned() {
            self.update_endpoints(now, WatchEvent::Changed, &[target]);
        }
        self.bans_file.save(&self.bans);
    }

    pub(in crate::net) fn dump(&self, now: Micros) -> String {
        let f = &self.figures;
        f.forwards.inc_by(self.executors.counters.forwards.saturating_sub(f.forwards.get()));
        f.outstanding.set(self.requests.open.len() as i64);
        let (listed, avoided) = self.dispatch.listed_and_avoided(now);
        f.discovered.set(listed as i64);
        f.ejected.set(avoided as i64);
        f.text()
    }

    /// After `LEAVE`: a client that has nothing open and nothing in part is taken nothing more from; it closes
    /// once its last answer is written, so that it connects again elsewhere.
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
        // Looked at ten times a second: nothing to collect unless a drain holds.
        if self.leaving.is_none() {
            return;
        }
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        keys.into_iter().for_each(|key| self.close_if_idle_while_leaving(key, now));
    }
}
