//! Connections of followers: handling of their messages and the direct answers.

use super::{Member, MemberView, SessionId, Violation};
use crate::Micros;
use crate::control_plane::messages::{
    FollowerId, FollowerMessage, MAX_NAME_BYTES, MemberMessage, Rejection, Resume, VERSION,
};
use crate::policy::{MAX_FAULT_BYTES, MAX_FAULTS, MAX_TEXT_BYTES, Policy, Revision};

/// The highest policy number that is accepted: at one change per microsecond a fleet reaches it after nine
/// years.
const MAX_POLICY_NUMBER: u64 = 1 << 48;

/// A connection is closed after this many follower leases without a message.
const SILENT_LEASES: u64 = 3;

/// State of a follower's connection.
#[derive(Debug, Clone, Default)]
pub(super) struct Session {
    /// The follower's id and name, once it has subscribed.
    pub(super) subscribed: Option<(FollowerId, String)>,
    /// Id of the log in which its revisions count.
    pub(super) fleet: Option<u64>,
    /// The last revision it has reported as applied.
    pub(super) revision: Revision,
    /// The last revision sent to it; `None` if it needs a snapshot.
    pub(super) sent: Option<Revision>,
    /// The revision of an unacknowledged snapshot.
    pub(super) snapshot: Option<Revision>,
    /// Whether it was granted a lease on this connection.
    pub(super) leased: bool,
    /// Its vote on a change: the change's number and the faults found.
    pub(super) vote: Option<(u64, Vec<String>)>,
    /// The number of the change for which it has stopped admission.
    pub(super) stopped: Option<u64>,
    /// The number of the change it cannot apply, and the reason.
    pub(super) cannot_apply: Option<(u64, String)>,
    /// When its last message arrived.
    pub(super) last_heard: Micros,
    /// Its send buffer is full: no further changes are sent for now.
    pub(super) blocked: bool,
}

impl Member {
    /// A connection was accepted.
    pub fn connected(&mut self, now: Micros, session: SessionId) {
        self.sessions.insert(session, Session { last_heard: now, ..Session::default() });
    }

    /// Closes connections that have been silent for too long; a follower renews several times per lease. The
    /// check runs once per follower lease.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_check_at {
            return;
        }
        self.next_check_at = now + self.config.timing.follower_lease;
        self.drop_expired_leases(now);
        let limit = SILENT_LEASES * self.config.timing.follower_lease;
        let silent: Vec<SessionId> =
            self.sessions.iter().filter(|(_, s)| now >= s.last_heard + limit).map(|(id, _)| *id).collect();
        for session in silent {
            self.disconnected(session);
            self.closing.push(session);
            self.counters.silent += 1;
        }
    }

    /// When [`Member::tick`] or [`Member::poll`] has to be called next because of a timer.
    pub fn next_due(&self) -> Micros {
        let lease = self.deferred.and_then(|_| self.next_lease_end());
        lease.map_or(self.next_check_at, |end| end.min(self.next_check_at))
    }

    /// A connection was closed. A lease granted on it remains valid until it expires.
    pub fn disconnected(&mut self, session: SessionId) {
        self.sessions.remove(&session);
        self.snapshot_queue.retain(|s| *s != session);
    }

    /// The send buffer of a connection became full, or writable again.
    pub fn blocked(&mut self, session: SessionId, blocked: bool) {
        if let Some(s) = self.sessions.get_mut(&session) {
            s.blocked = blocked;
        }
        self.sent_up_to = None;
    }

    /// The follower's name, for operators.
    pub fn name(&self, session: SessionId) -> &str {
        let subscribed = self.sessions.get(&session).and_then(|s| s.subscribed.as_ref());
        subscribed.map_or("", |(_, name)| name)
    }

    /// Handles a message from a follower. [`Member::poll`] must be called before the event loop waits again.
    pub fn handle_message(
        &mut self,
        now: Micros,
        session: SessionId,
        message: FollowerMessage,
        view: Option<MemberView<'_>>,
    ) -> Result<(), Violation> {
        if let FollowerMessage::Subscribe { version, group, follower, name, resume, policy } = message {
            if group.len() > MAX_NAME_BYTES || name.len() > MAX_NAME_BYTES {
                return Err(Violation::TooLong);
            }
            if policy > MAX_POLICY_NUMBER {
                return Err(Violation::Policy(policy));
            }
            self.followers_policy = self.followers_policy.max(policy);
            let rejection = self.rejection(version, &group, view);
            if let Some(rejection) = rejection {
                self.counters.rejected += 1;
                self.outgoing.push((session, MemberMessage::Rejected(rejection.clone())));
                return Err(Violation::Rejected(rejection));
            }
            return self.subscribe(session, follower, name, resume, view);
        }
        let Some(s) = self.sessions.get_mut(&session) else { return Ok(()) };
        s.last_heard = now;
        let Some((follower, name)) = s.subscribed.clone() else { return Err(Violation::NotSubscribed) };
        match message {
            FollowerMessage::Subscribe { .. } => {}
            FollowerMessage::Renew { at, requested_at } => {
                return self.renew(now, session, follower, &name, (at, requested_at), view);
            }
            FollowerMessage::Vote(number, mut faults) => {
                faults.truncate(MAX_FAULTS);
                s.vote = Some((number, faults));
            }
            FollowerMessage::Stopped(number) => s.stopped = Some(number),
            FollowerMessage::CannotApply(number, why) if why.len() <= MAX_FAULT_BYTES * MAX_FAULTS => {
                s.cannot_apply = Some((number, why));
            }
            FollowerMessage::Restore { number, .. } if number > MAX_POLICY_NUMBER => {
                return Err(Violation::Policy(number));
            }
            FollowerMessage::Restore { number, text, digest } if text.len() <= MAX_TEXT_BYTES => {
                self.restore_proposal = Some(Policy { number, text, digest });
            }
            FollowerMessage::CannotApply(..) | FollowerMessage::Restore { .. } => {
                return Err(Violation::TooLong);
            }
            FollowerMessage::Leave => drop(self.granted.remove(&follower)),
        }
        Ok(())
    }

    fn rejection(&self, version: u32, group: &str, view: Option<MemberView<'_>>) -> Option<Rejection> {
        if version != VERSION {
            return Some(Rejection::Version(VERSION));
        }
        if group != self.config.group {
            return Some(Rejection::Group(self.config.group.clone()));
        }
        if self.followers() >= self.config.max_followers {
            return Some(Rejection::Full(self.config.others.clone()));
        }
        (view.is_none() || self.leaving).then_some(Rejection::NotReady)
    }

    fn subscribe(
        &mut self,
        session: SessionId,
        follower: FollowerId,
        name: String,
        resume: Option<Resume>,
        view: Option<MemberView<'_>>,
    ) -> Result<(), Violation> {
        // A follower process has one connection: a new one replaces the old one, even if its end has not been
        // noticed yet.
        let same = |s: &Session| s.subscribed.as_ref().is_some_and(|(f, _)| *f == follower);
        let former = self.sessions.iter().find(|(id, s)| **id != session && same(s)).map(|(id, _)| *id);
        if let Some(former) = former {
            self.disconnected(former);
            self.closing.push(former);
        }
        let Some(s) = self.sessions.get_mut(&session) else { return Ok(()) };
        if s.subscribed.is_some() {
            return Err(Violation::SubscribedTwice);
        }
        s.subscribed = Some((follower, name));
        let resume = resume.filter(|r| view.is_some_and(|v| v.fleet == r.fleet));
        if let Some(resume) = resume {
            s.fleet = Some(resume.fleet);
            s.sent = Some(resume.revision);
            self.counters.resumed += 1;
        }
        self.counters.subscribed += 1;
        let welcome = MemberMessage::Welcome { group: self.config.group.clone(), member: self.config.me };
        self.outgoing.push((session, welcome));
        self.sent_up_to = None;
        Ok(())
    }

    fn renew(
        &mut self,
        now: Micros,
        session: SessionId,
        follower: FollowerId,
        name: &str,
        (at, requested_at): (Option<Resume>, Micros),
        view: Option<MemberView<'_>>,
    ) -> Result<(), Violation> {
        let Some(s) = self.sessions.get_mut(&session) else { return Ok(()) };
        if s.blocked {
            // The follower does not read: a lease it does not receive would only delay changes for the
            // others.
            return Ok(());
        }
        // The reported revision counts only if it belongs to the log sent on this connection, and not while
        // the session waits for a snapshot.
        if let (Some(at), Some(sent)) = (at.filter(|at| Some(at.fleet) == s.fleet), s.sent) {
            if at.revision > sent {
                return Err(Violation::Revision(at.revision));
            }
            s.revision = s.revision.max(at.revision);
            if s.snapshot.is_some_and(|wanted| s.revision >= wanted) {
                s.snapshot = None;
                self.sent_up_to = None;
            }
        }
        let session_now = self.sessions.get(&session);
        let lease = session_now.zip(view).and_then(|(s, view)| self.lease_for(now, s, view));
        match lease {
            Some(length) => {
                self.grant(now, follower, name, length);
                self.sessions.entry(session).and_modify(|s| s.leased = true);
            }
            None => self.counters.denied += 1,
        }
        let revision = view.map_or(0, |v| v.policies.revision());
        self.outgoing.push((session, MemberMessage::Keepalive { requested_at, lease, revision }));
        Ok(())
    }
}
