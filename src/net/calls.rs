//! What operators ask, and the bans that are handed from one process to the next.

use super::poll::Key;
use super::{LEAVE_PATIENCE, Node, listen};
use crate::api::Micros;
use crate::codec::operator::{self as ops, Call, Fault, Readiness};
use crate::dispatch::WatchEvent;
use std::io;

impl Node {
    /// Carries out an operator's call; the answer to write.
    /// Some wait for the fleet's word, and are answered later.
    pub(super) fn call(&mut self, caller: Key, now: Micros, line: Result<Call, Fault>) -> Option<String> {
        // Without peers there are no plans, and no such call.
        let unknown = || Some(ops::refusal(&Fault::Unknown("DRAIN".into())));
        let call = match line {
            Ok(Call::Plan(_) | Call::PlanStatus | Call::PlanAbort | Call::PlanMend(_))
            | Err(Fault::Missing("DRAIN" | "DRAIN PLAN" | "DRAIN MEND") | Fault::Extra("DRAIN"))
                if self.in_flight.is_none() =>
            {
                return unknown();
            }
            Ok(Call::Policy(_)) | Err(Fault::Missing("POLICY") | Fault::Extra("POLICY"))
                if self.rules.is_none() =>
            {
                return Some(ops::refusal(&Fault::Unknown("POLICY".into())));
            }
            Ok(call) => call,
            Err(fault) => return Some(ops::refusal(&fault)),
        };
        Some(match call {
            Call::Plan(_) | Call::PlanStatus | Call::PlanAbort | Call::PlanMend(_) => {
                return self.plan_call(caller, now, call);
            }
            Call::Policy(ask) => return self.policy_call(caller, now, &ask),
            Call::Health => self.readiness().answer(),
            Call::Dump => format!("+OK figures\n{}.", self.dump(now)),
            Call::Leave => {
                if self.leaving.is_none() {
                    tracing::warn!(clients = self.sessions.by_key.len(), open = self.open.len(), "LEAVE");
                    self.leaving = Some(now);
                    // A front that asks the client port is told no.
                    self.stop_accepting(now);
                }
                self.send_all_away(now);
                "+OK leaving".into()
            }
            Call::Join => {
                if self.leaving.take().is_some() {
                    tracing::warn!("JOIN");
                }
                match self.accept_anew(now) {
                    Ok(()) => "+OK joined".into(),
                    Err(e) => format!("-ERR joined, but can't listen on {}: {e}", self.address),
                }
            }
            Call::Offline(id) => match self.bans.offline(&id, self.targets.contains_key(&id)) {
                Ok(new) => {
                    if new {
                        tracing::warn!(executor = id, "OFFLINE: no new work for it until ONLINE");
                        self.banned(now, &id);
                    }
                    format!("+OK offline {id}")
                }
                Err(e) => format!("-ERR {e}"),
            },
            Call::Online(id) => match self.bans.online(&id, self.targets.contains_key(&id)) {
                Ok(was) => {
                    if was {
                        tracing::warn!(executor = id, "ONLINE: it serves again, cold");
                        self.onlined.insert(id.clone(), now / 1000);
                        self.banned(now, &id);
                    }
                    format!("+OK online {id}")
                }
                Err(e) => format!("-ERR {e}"),
            },
        })
    }

    /// Listens for clients again, beside any other process on the port.
    pub(super) fn accept_anew(&mut self, now: Micros) -> io::Result<()> {
        if self.listener.is_some() || self.paused.is_some() || self.stopping.is_some() {
            return Ok(());
        }
        let listener = listen::bind_shared(self.address).inspect_err(|e| {
            tracing::error!(address = %self.address, error = %e, "JOIN: can't listen");
        })?;
        let key = self.poll.add(&listener, false)?;
        self.listener = Some((key, listener));
        self.accept(now);
        Ok(())
    }

    pub(super) fn readiness(&self) -> Readiness {
        match (self.stopping, self.leaving) {
            (Some(_), _) => Readiness::Stopping,
            (None, Some(_)) => Readiness::Leaving,
            (None, None) => Readiness::Ready,
        }
    }

    /// A ban was put on or lifted: the module hears of the executor anew, and the next process of it.
    pub(super) fn banned(&mut self, now: Micros, id: &str) {
        if let Some(target) = self.targets.get(id).cloned() {
            self.relist(now, WatchEvent::Changed, &[target]);
        }
        self.bans_file.save(&self.bans);
    }

    pub(super) fn dump(&self, now: Micros) -> String {
        let f = &self.figures;
        f.forwards.inc_by(self.executors.wire.forwards.saturating_sub(f.forwards.get()));
        f.outstanding.set(self.open.len() as i64);
        let (listed, avoided) = self.dispatch.listed_and_avoided(now);
        f.discovered.set(listed as i64);
        f.ejected.set(avoided as i64);
        f.text()
    }

    /// After `LEAVE`: a client that has nothing open and nothing in part is taken nothing more from; it closes
    /// once its last answer is written, so that it connects again elsewhere.
    pub(super) fn send_away(&mut self, key: Key, now: Micros) {
        if self.leaving.is_none() {
            return;
        }
        let Some(s) = self.sessions.by_key.get_mut(&key) else { return };
        if s.done_with(now, LEAVE_PATIENCE) && !s.unread() {
            self.finish(key, now);
        }
    }

    pub(super) fn send_all_away(&mut self, now: Micros) {
        // Looked at ten times a second: nothing to collect unless a drain holds.
        if self.leaving.is_none() {
            return;
        }
        let keys: Vec<Key> = self.sessions.by_key.keys().copied().collect();
        keys.into_iter().for_each(|key| self.send_away(key, now));
    }
}
