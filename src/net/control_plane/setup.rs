//! Sets up a member's process.

use super::member::{ControlMember, MemberPolicy};
use super::server::FollowerServer;
use crate::clock::Clock;
use crate::logging::DroppedLines;
use crate::net::admin::listener::AdminListener;
use crate::net::event_loop::poll::Poll;
use crate::net::peers::Peers;
use crate::net::policy_calls::PolicyCalls;
use crate::net::setup::context;
use crate::net::signals::Signals;
use crate::net::sockets::buffers::Pool;
use crate::net::sockets::descriptors::DescriptorShares;
use crate::settings::config::Config;
use crate::settings::options::Control;
use fleet::control_plane::{Member, MemberConfig};
use fleet::ledger::Limits;
use fleet::{Fleet, FleetConfig, Peer};
use std::io;
use std::net::SocketAddr;

/// A group whose majority restarted without its state is abandoned after this long without a leader, in leases.
const GIVE_UP_LEASES: u64 = 10;

/// The longest message between members: a snapshot with its policies and pending changes, whose size is limited.
const MAX_MEMBER_MESSAGE: usize = 16 << 20;

/// Connections at the operators' address; in a burst of changes each call has its own.
const CALLERS: usize = 128;

impl ControlMember {
    /// Binds the addresses for members, followers and operators.
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
        let group = FleetConfig {
            me,
            peers: members.iter().map(|(p, _)| *p).collect(),
            lease: timing.lease,
            margin: timing.margin,
            tick: timing.tick,
            batch_delay: timing.tick,
            abandon_after: GIVE_UP_LEASES * timing.lease,
            limits: Limits { records: 0, retention: 0 },
        };
        let listen = settings.listen.ok_or_else(|| io::Error::other("control: listen is missing"))?;
        let at_followers =
            settings.followers.ok_or_else(|| io::Error::other("control: followers is missing"))?;
        let peers = Peers::bind(listen, &others, MAX_MEMBER_MESSAGE, now, &poll)
            .map_err(context(&format!("control: listen on {listen}")))?;
        // Followers beyond the limit get a rejection, which takes a connection.
        let connections = settings.max_followers + settings.max_followers / 8 + 8;
        let server = FollowerServer::bind(at_followers, connections, &poll)
            .map_err(context(&format!("control: listen on {at_followers}")))?;
        let callers = CALLERS.max(DescriptorShares::new(config.limits.sockets).callers);
        let bind = |at| AdminListener::bind(at, callers, &poll, &Pool::new(0));
        let operators =
            operator.map(|at| bind(at).map_err(context(&format!("listen on {at}")))).transpose()?;
        let name_of = |(p, _): &(Peer, SocketAddr)| settings.members[usize::from(*p) - 1].name.clone();
        let member = Member::new(MemberConfig {
            group: settings.group.clone(),
            me,
            others: others.iter().map(name_of).collect(),
            timing,
            max_followers: settings.max_followers,
            max_snapshots: settings.max_snapshots,
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
            fleet: Fleet::new(group, seed, now),
            peers,
            member,
            server,
            operators,
            policy: MemberPolicy { terms: settings.policy, base, names, calls: PolicyCalls::default() },
            stopping: None,
            dropped_lines: DroppedLines::default(),
            report_at: now,
            lease: timing.lease,
        })
    }
}
