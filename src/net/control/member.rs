//! The process of one member of a control group: it takes part in the log and serves followers, and no clients.

use super::server::{FollowerServer, Heard};
use crate::api::{Micros, Settings};
use crate::net::buffers::Pool;
use crate::net::descriptors::Descriptors;
use crate::net::operator::Operators;
use crate::net::peers::Peers;
use crate::net::policy_calls::PolicyCalls;
use crate::net::poll::{Key, Poll};
use crate::net::room::Room;
use crate::net::setup::context;
use crate::net::signals::Signals;
use crate::net::timers::Clock;
use crate::policies::ready;
use crate::settings::Names;
use crate::settings::config::Config;
use crate::settings::options::{Control, PolicyTerms};
use fleet::control::member::{MemberRecord, Violation};
use fleet::control::{Member, MemberConfig};
use fleet::ledger::Limits;
use fleet::policy::{Act, Policy};
use fleet::{Fleet, News, Peer, Terms};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a follower's connection that is ending may take to be written out.
const LAST_WORDS: Micros = 1_000_000;
/// A look at least this often.
const LOOK: Micros = 1_000_000;
/// Without a leader for this long, a group whose majority has started anew is given up: as many leases.
const GIVE_UP_LEASES: u64 = 10;
/// The longest message between members: a record has policies and changes that wait, which are bounded.
const MOST_MEMBER_MESSAGE: usize = 16 << 20;
/// Callers at the operators' address; a burst of changes has a caller each.
const CALLERS: usize = 128;

/// What policies are checked against, and the calls that wait.
pub(super) struct MemberPolicy {
    pub(super) terms: PolicyTerms,
    pub(super) base: Settings,
    pub(super) names: Names,
    pub(super) calls: PolicyCalls,
}

/// A member that is set up and does not run yet.
pub struct ControlMember {
    pub(super) poll: Poll,
    clock: Clock,
    signals: (Key, Signals),
    pub(super) fleet: Fleet,
    pub(super) peers: Peers,
    pub(super) member: Member,
    pub(super) server: FollowerServer,
    pub(super) operators: Option<Operators>,
    pub(super) policy: MemberPolicy,
    /// When followers' leases are over, once it was told to end.
    pub(super) stopping: Option<Micros>,
    lease: Micros,
}

impl ControlMember {
    /// Listens for members, followers and operators.
    pub fn new(config: Config, settings: &Control, signals: Signals) -> io::Result<ControlMember> {
        let seed = config.seed();
        let operator = config.operator().map_err(context("configuration: operator"))?;
        let (base, names) = config.settings.settings().map_err(context("configuration"))?;
        let poll = Poll::new().map_err(context("poller"))?;
        let mut clock = Clock::default();
        let now = clock.now();
        let place = |n: usize| (n + 1) as Peer;
        let me = settings.members.iter().position(|m| Some(&m.name) == settings.me.as_ref()).map(place);
        let me = me.ok_or_else(|| io::Error::other("control: no member block has this name"))?;
        let members: Vec<(Peer, SocketAddr)> =
            settings.members.iter().enumerate().map(|(n, m)| (place(n), m.address)).collect();
        let others: Vec<(Peer, SocketAddr)> = members.iter().copied().filter(|(p, _)| *p != me).collect();
        let timing = settings.timing;
        let terms = Terms {
            me,
            peers: members.iter().map(|(p, _)| *p).collect(),
            lease: timing.lease,
            margin: timing.margin,
            tick: timing.tick,
            batch: timing.tick,
            give_up: GIVE_UP_LEASES * timing.lease,
            limits: Limits { records: 0, remember: 0 },
        };
        let listen = settings.listen.ok_or_else(|| io::Error::other("control: listen is missing"))?;
        let at_followers =
            settings.followers.ok_or_else(|| io::Error::other("control: followers is missing"))?;
        let peers = Peers::bind(listen, &others, MOST_MEMBER_MESSAGE, now, &poll)
            .map_err(context(&format!("control: listen on {listen}")))?;
        // Those beyond the bound are told so, which takes a connection.
        let connections = settings.most_followers + settings.most_followers / 8 + 8;
        let server = FollowerServer::bind(at_followers, connections, &poll)
            .map_err(context(&format!("control: listen on {at_followers}")))?;
        let callers = CALLERS.max(Descriptors::of(config.limits.sockets).callers);
        let bind = |at| Operators::bind(at, callers, &poll, &Pool::new(0));
        let operators =
            operator.map(|at| bind(at).map_err(context(&format!("listen on {at}")))).transpose()?;
        let name_of = |(p, _): &(Peer, SocketAddr)| settings.members[usize::from(*p) - 1].name.clone();
        let member = Member::new(MemberConfig {
            group: settings.group.clone(),
            me,
            others: others.iter().map(name_of).collect(),
            timing,
            most_followers: settings.most_followers,
            most_snapshots: settings.most_snapshots,
        });
        tracing::info!(name = settings.me, group = settings.group, "control member");
        tracing::info!("members' address {}", peers.address()?);
        tracing::info!("followers' address {}", server.address()?);
        if let Some(operators) = &operators {
            tracing::info!("operators' address {}", operators.address()?);
        }
        let signal_key = poll.add(&signals.stream, false)?;
        Ok(ControlMember {
            poll,
            clock,
            signals: (signal_key, signals),
            fleet: Fleet::new(terms, seed, now),
            peers,
            member,
            server,
            operators,
            policy: MemberPolicy { terms: settings.policy, base, names, calls: PolicyCalls::default() },
            stopping: None,
            lease: timing.lease,
        })
    }

    /// Runs until SIGTERM, and then until the leases of its followers are over.
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
            // A lease that ran out while this process stood still is over before it is acted on.
            self.advance(woke);
            for event in events.iter() {
                self.ready(event.key, woke);
            }
            self.advance(woke);
        }
        self.end();
        Ok(())
    }

    fn next_due(&self, now: Micros) -> Micros {
        let operators = self.operators.as_ref().and_then(Room::next_due);
        let due = [Some(self.member.next_due()), self.server.next_due(), self.peers.next_due(), operators];
        due.into_iter().flatten().fold(self.fleet.next_due().min(now + LOOK), Micros::min)
    }

    fn ready(&mut self, key: Key, now: Micros) {
        if key == self.signals.0 {
            let (stop, reread) = self.signals.1.take();
            if reread {
                tracing::info!("SIGHUP: a member's settings take a restart");
            }
            if stop && self.stopping.is_none() {
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

    /// What followers' connections came to.
    fn hear(&mut self, heard: Vec<Heard>, now: Micros) {
        for one in heard {
            match one {
                Heard::Connected(session) => self.member.connected(now, session),
                Heard::Blocked(session, blocked) => self.member.blocked(session, blocked),
                Heard::Over(session) => self.member.disconnected(session),
                Heard::Said(session, message) => {
                    let view = self.fleet.view(now);
                    if let Err(why) = self.member.hear(now, session, message, view) {
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

    /// Lets time pass and lets all that came take effect, until nothing moves.
    fn advance(&mut self, now: Micros) {
        let heard = self.server.tick(now, &self.poll);
        self.hear(heard, now);
        self.member.tick(now);
        if let Some(operators) = &mut self.operators {
            operators.tick(now, &self.poll);
        }
        self.peers.hello = fleet::wire::frame(&self.fleet.hello());
        self.peers.tick(now, &self.poll);
        loop {
            for (from, message) in std::mem::take(&mut self.peers.heard) {
                self.fleet.hear(now, from, message);
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

    /// Looks at what is agreed.
    fn look(&mut self, now: Micros) {
        while let Some(news) = self.fleet.news.pop_front() {
            match news {
                News::Held(_) => tracing::info!("lease held"),
                News::Lost(_) => tracing::warn!("lease lost"),
                News::Leader(leader) => tracing::info!(leader, "control: leader"),
                News::GivenUp(_) => tracing::error!("control: the group has lost its record"),
                _ => {}
            }
        }
        let MemberPolicy { base, names, .. } = &self.policy;
        let mut check = |policy: &Policy| ready(policy, base, names).err().unwrap_or_default();
        for act in self.member.look(now, &mut self.fleet, &mut check) {
            tell(&act);
        }
        if self.fleet.next_due() <= now {
            self.fleet.tick(now);
        }
    }

    /// Sends what followers are to get.
    fn send(&mut self, now: Micros) -> Vec<Heard> {
        let mut heard = self.server.send(std::mem::take(&mut self.member.outgoing), &self.poll);
        for session in std::mem::take(&mut self.member.closing) {
            heard.extend(self.server.end(session, now + LAST_WORDS, &self.poll));
        }
        heard
    }

    /// Ends. The lease goes back only if no follower acts under it any more; else the others see it run out.
    fn end(&mut self) {
        let now = self.clock.now();
        if self.member.leases(now) == 0 {
            self.fleet.leave(now);
            for (to, message) in std::mem::take(&mut self.fleet.messages) {
                self.peers.send(to, &message, now);
            }
            self.peers.flush(now, &self.poll);
        }
        tracing::info!(tally = ?self.member.tally, "stopped");
    }
}

/// Tells of a step of a change.
fn tell(act: &Act) {
    match act {
        Act::Say(_) => {}
        Act::Voted(number, faults) => {
            tracing::info!(number, yes = faults.is_empty(), faults = faults.join("; "), "policy: checked");
        }
        Act::Closing(number) => tracing::info!(number, "policy: closing"),
        Act::GivenUp(number, why, faults) => tracing::warn!(number, why, ?faults, "policy: given up"),
        Act::InForce(policy) => tracing::info!(number = policy.number, "policy: in force"),
    }
}
