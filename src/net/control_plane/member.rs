//! The process of a control group member: it replicates the log and serves followers. It serves no clients.

use super::server::{FollowerServer, Heard};
use crate::api::{Micros, Settings};
use crate::clock::Clock;
use crate::logging::DroppedLines;
use crate::net::admin::listener::AdminListener;
use crate::net::event_loop::event_source::EventSource;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::peers::Peers;
use crate::net::policy_calls::PolicyCalls;
use crate::net::setup::context;
use crate::net::signals::Signals;
use crate::policies::ready;
use crate::settings::Names;
use crate::settings::options::PolicyTerms;
use fleet::control_plane::Member;
use fleet::control_plane::member::{MemberLog, Violation};
use fleet::policy::{Action, Policy};
use fleet::{Fleet, FleetEvent};
use std::io;
use std::time::Duration;

/// Time to flush a follower's connection before it is closed.
const CLOSE_TIMEOUT: Micros = 1_000_000;
/// Period of reporting dropped log lines, in microseconds.
const REPORT_PERIOD: Micros = 1_000_000;
/// Longest sleep of the event loop.
const MAX_SLEEP: Micros = 1_000_000;

/// The settings that policies are validated against, and the pending operators' calls.
pub(super) struct MemberPolicy {
    pub(super) terms: PolicyTerms,
    pub(super) base: Settings,
    pub(super) names: Names,
    pub(super) calls: PolicyCalls,
}

/// A member, set up to run.
pub struct ControlMember {
    pub(super) poll: Poll,
    pub(super) clock: Clock,
    pub(super) signals: (Key, Signals),
    pub(super) fleet: Fleet,
    pub(super) peers: Peers,
    pub(super) member: Member,
    pub(super) server: FollowerServer,
    pub(super) operators: Option<AdminListener>,
    pub(super) policy: MemberPolicy,
    /// After SIGTERM: the time by which the followers' leases have ended.
    pub(super) stopping: Option<Micros>,
    /// The lease duration: the longest time that a shutdown may take.
    pub(super) lease: Micros,
    pub(super) dropped_lines: DroppedLines,
    /// When dropped log lines are reported next, if there are any.
    pub(super) report_at: Micros,
}

impl ControlMember {
    /// Reports these dropped log lines from now on.
    pub fn report_dropped_lines(&mut self, dropped_lines: DroppedLines) {
        self.dropped_lines = dropped_lines;
    }

    /// Runs until SIGTERM, and then until the leases of its followers have ended.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = polling::Events::new();
        loop {
            let now = self.clock.now();
            if self.stopping.is_some_and(|by| by <= now || self.member.leases(now) == 0) {
                break;
            }
            let wait = self.next_due(now).saturating_sub(now);
            self.poll.wait(&mut events, Duration::from_micros(wait)).map_err(context("poller"))?;
            let woke = self.clock.now();
            // Drops a lease that expired while the process was stalled before anything is done under it.
            self.advance(woke);
            for event in events.iter() {
                self.ready(event.key, woke);
            }
            self.advance(woke);
            if self.report_at <= woke {
                self.report_at = woke + REPORT_PERIOD;
                self.dropped_lines.report();
            }
        }
        self.end();
        Ok(())
    }

    fn next_due(&self, now: Micros) -> Micros {
        let operators = self.operators.as_ref().and_then(EventSource::next_due);
        let due = [Some(self.member.next_due()), self.server.next_due(), self.peers.next_due(), operators];
        due.into_iter().flatten().fold(self.fleet.next_due().min(now + MAX_SLEEP), Micros::min)
    }

    fn ready(&mut self, key: Key, now: Micros) {
        if key == self.signals.0 {
            let raised = self.signals.1.take();
            if raised.reload {
                tracing::info!("SIGHUP: a member's settings take a restart");
            }
            if raised.terminate && self.stopping.is_none() {
                tracing::info!(followers = self.member.followers(), "stopping");
                self.stopping = Some(now + self.lease);
                self.member.leave();
            }
        } else if self.server.owns(key) {
            let heard = self.server.ready(key, now, &self.poll);
            self.hear(heard, now);
        } else if self.operators.as_ref().is_some_and(|o| o.owns(key)) {
            let lines = self.operators.as_mut().map(|o| o.ready(key, now, &self.poll)).unwrap_or_default();
            for (caller, line) in lines {
                let answer = self.call(caller, now, line);
                if let (Some(o), Some(answer)) = (&mut self.operators, answer) {
                    o.answer(caller, &answer, &self.poll);
                }
            }
        } else {
            self.peers.ready(key, now, &self.poll);
        }
    }

    /// Handles events of the followers' connections.
    fn hear(&mut self, heard: Vec<Heard>, now: Micros) {
        for one in heard {
            match one {
                Heard::Connected(session) => self.member.connected(now, session),
                Heard::Blocked(session, blocked) => self.member.blocked(session, blocked),
                Heard::Over(session) => self.member.disconnected(session),
                Heard::Said(session, message) => {
                    let view = self.fleet.view(now);
                    if let Err(why) = self.member.handle_message(now, session, message, view) {
                        self.violated(session, &why);
                    }
                }
            }
        }
    }

    fn violated(&mut self, session: u64, why: &Violation) {
        tracing::warn!(follower = self.member.name(session), error = %why, "control: follower's connection ends");
        self.member.disconnected(session);
        self.member.closing.push(session);
    }

    /// Advances the clock and processes all input until nothing is left to do.
    fn advance(&mut self, now: Micros) {
        let heard = self.server.tick(now, &self.poll);
        self.hear(heard, now);
        self.member.tick(now);
        if let Some(operators) = &mut self.operators {
            operators.tick(now, &self.poll);
        }
        self.peers.hello = fleet::wire::encode_frame(&self.fleet.hello());
        self.peers.tick(now, &self.poll);
        loop {
            for (from, message) in std::mem::take(&mut self.peers.heard) {
                self.fleet.handle_message(now, from, message);
            }
            if self.fleet.next_due() <= now {
                self.fleet.tick(now);
            }
            self.look(now);
            for (to, message) in std::mem::take(&mut self.fleet.messages) {
                self.peers.send(to, &message, now);
            }
            self.peers.flush(now, &self.poll);
            let heard = self.send(now);
            if heard.is_empty() && self.peers.heard.is_empty() {
                break;
            }
            self.hear(heard, now);
        }
        self.answer_calls(now);
    }

    /// Handles fleet events and polls the member state machine.
    fn look(&mut self, now: Micros) {
        while let Some(event) = self.fleet.events.pop_front() {
            match event {
                FleetEvent::LeaseAcquired(_) => tracing::info!("lease held"),
                FleetEvent::LeaseLost(_) => tracing::warn!("lease lost"),
                FleetEvent::LeaderChanged(leader) => tracing::info!(leader, "control: leader"),
                FleetEvent::FleetAbandoned(_) => tracing::error!("control: the group has lost its record"),
                _ => {}
            }
        }
        let MemberPolicy { base, names, .. } = &self.policy;
        let mut check = |policy: &Policy| ready(policy, base, names).err().unwrap_or_default();
        for act in self.member.poll(now, &mut self.fleet, &mut check) {
            tell(&act);
        }
        if self.fleet.next_due() <= now {
            self.fleet.tick(now);
        }
    }

    /// Sends pending messages to followers and closes connections.
    fn send(&mut self, now: Micros) -> Vec<Heard> {
        let mut heard = self.server.send(std::mem::take(&mut self.member.outgoing), &self.poll);
        for session in std::mem::take(&mut self.member.closing) {
            heard.extend(self.server.end(session, now + CLOSE_TIMEOUT, &self.poll));
        }
        heard
    }

    /// Shuts down. The lease is returned only if no follower acts under it any more; otherwise the others wait until it
    /// expires.
    fn end(&mut self) {
        let now = self.clock.now();
        if self.member.leases(now) == 0 {
            self.fleet.leave(now);
            for (to, message) in std::mem::take(&mut self.fleet.messages) {
                self.peers.send(to, &message, now);
            }
            self.peers.flush(now, &self.poll);
        }
        tracing::info!(tally = ?self.member.counters, "stopped");
    }
}

/// Logs a step of a policy change.
fn tell(act: &Action) {
    match act {
        Action::Submit(_) => {}
        Action::Voted(number, faults) => {
            tracing::info!(number, yes = faults.is_empty(), faults = faults.join("; "), "policy: checked");
        }
        Action::Closing(number) => tracing::info!(number, "policy: closing"),
        Action::GivenUp(number, why, faults) => tracing::warn!(number, why, ?faults, "policy: given up"),
        Action::InForce(policy) => tracing::info!(number = policy.number, "policy: in force"),
    }
}
