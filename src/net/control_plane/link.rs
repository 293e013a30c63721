//! A follower's connection to the member that it follows.

use super::stream::{Ended, FrameStream};
use crate::api::Micros;
use crate::net::event_loop::poll::{Key, Poll};
use crate::net::sockets::dial;
use crate::settings::options::Control;
use fleet::control_plane::follower::{ConnectionAction, FollowerEvent};
use fleet::control_plane::messages::{MAX_MEMBER_FRAME, MemberMessage};
use fleet::control_plane::{Follower, FollowerConfig};
use std::io;
use std::net::SocketAddr;

/// A follower and its connection.
pub struct ControlLink {
    /// The protocol state.
    pub follower: Follower,
    members: Vec<(String, SocketAddr)>,
    connection: Option<FrameStream>,
    up: bool,
    /// Bytes received and sent over closed connections.
    past_bytes: [u64; 2],
}

impl ControlLink {
    /// Starts disconnected; the first tick dials. `name` is the dispatcher's own name.
    pub fn new(settings: &Control, name: &str, seed: u64, now: Micros) -> ControlLink {
        let near = |region: &Option<String>| settings.region.is_some() && *region == settings.region;
        let config = FollowerConfig {
            group: settings.group.clone(),
            name: name.to_string(),
            same_region: settings.members.iter().map(|m| near(&m.region)).collect(),
            timing: settings.timing,
        };
        ControlLink {
            follower: Follower::new(config, seed, now),
            members: settings.members.iter().map(|m| (m.name.clone(), m.followers)).collect(),
            connection: None,
            up: false,
            past_bytes: [0; 2],
        }
    }

    /// Bytes received and sent so far.
    pub fn bytes(&self) -> [u64; 2] {
        let now = self.connection.as_ref().map_or([0; 2], |c| c.bytes);
        [self.past_bytes[0] + now[0], self.past_bytes[1] + now[1]]
    }

    /// The poll key of its socket, if it has one.
    pub fn key(&self) -> Option<Key> {
        self.connection.as_ref().map(FrameStream::key)
    }

    /// Whether a poll key belongs to its socket.
    pub fn owns(&self, key: Key) -> bool {
        self.connection.as_ref().is_some_and(|c| c.key() == key)
    }

    /// When [`ControlLink::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        self.follower.next_due()
    }

    /// Handles readiness of its socket. The host applies the policy before it calls [`ControlLink::flush`].
    pub fn ready(&mut self, now: Micros, poll: &Poll) {
        let Some(connection) = &mut self.connection else { return };
        if !self.up {
            match dial::check_connected(&connection.stream) {
                Ok(()) => {
                    self.up = true;
                    self.follower.connected(now);
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.over(now, poll, None),
            }
        }
        let (messages, ended) = connection.read::<MemberMessage>();
        messages.into_iter().for_each(|message| self.follower.handle_message(now, message));
        match ended {
            Some(Ended::Closed) => self.over(now, poll, None),
            Some(Ended::Fault(fault)) => self.over(now, poll, Some(fault)),
            None => {}
        }
    }

    /// Advances the clock.
    pub fn tick(&mut self, now: Micros) {
        if self.next_due() <= now {
            self.follower.tick(now);
        }
    }

    /// Carries out the follower's pending actions: dials, closes and writes.
    pub fn flush(&mut self, now: Micros, poll: &Poll) {
        for action in std::mem::take(&mut self.follower.connection_actions) {
            self.close(poll);
            if let ConnectionAction::Dial(member) = action
                && let Err(e) = self.dial(member, poll)
            {
                tracing::debug!(error = %e, "control: can't dial a member");
                self.follower.disconnected(now);
            }
        }
        if let Some(connection) = self.connection.as_mut().filter(|_| self.up) {
            self.follower.outgoing.drain(..).for_each(|message| connection.push(&message));
            if connection.flush(poll).is_err() {
                self.over(now, poll, None);
            }
        }
        self.tell();
    }

    fn dial(&mut self, member: usize, poll: &Poll) -> io::Result<()> {
        let Some((_, address)) = self.members.get(member) else { return Err(io::ErrorKind::NotFound.into()) };
        let stream = dial::connect(*address)?;
        let key = poll.add(&stream, true)?;
        self.connection = Some(FrameStream::new(stream, key, MAX_MEMBER_FRAME, true));
        self.up = false;
        Ok(())
    }

    fn over(&mut self, now: Micros, poll: &Poll, fault: Option<fleet::wire::FrameError>) {
        if let Some(fault) = fault {
            tracing::warn!(error = %fault, "control: connection to a member closed");
        }
        self.close(poll);
        self.follower.disconnected(now);
    }

    fn close(&mut self, poll: &Poll) {
        self.up = false;
        if let Some(connection) = self.connection.take() {
            self.past_bytes[0] += connection.bytes[0];
            self.past_bytes[1] += connection.bytes[1];
            connection.close(poll);
        }
    }

    fn tell(&mut self) {
        let name = |member: usize| self.members.get(member).map_or("", |(name, _)| name.as_str());
        for event in std::mem::take(&mut self.follower.events) {
            match event {
                FollowerEvent::Following(member) => {
                    tracing::info!(member = name(member), "control: following");
                }
                FollowerEvent::Disconnected(member, why) => {
                    tracing::info!(member = name(member), ?why, "control: member lost");
                }
                FollowerEvent::LeaseHeld => tracing::info!("control: lease held"),
                FollowerEvent::LeaseLost => tracing::warn!("control: lease lost"),
            }
        }
    }

    /// Shuts down: tells the member that nothing more is admitted here.
    pub fn leave(&mut self, now: Micros, poll: &Poll) {
        self.follower.leave();
        self.flush(now, poll);
        self.close(poll);
    }
}
