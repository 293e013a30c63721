//! The dispatcher on real sockets: one loop, clients on one side, executors and the coordinator on the other.

mod buffers;
mod calls;
mod clients;
mod connection;
mod dial;
mod door;
mod ending;
mod executors;
mod feed;
mod hands;
mod limits;
mod listen;
mod lists;
mod operator;
mod orders;
mod peers;
mod policy;
mod policy_calls;
mod poll;
mod room;
mod rules;
mod session;
mod setup;
pub mod signals;
mod timers;
mod upkeep;

use crate::api::Micros;
use crate::codec::coordinator::Target;
use crate::dispatch::Dispatch;
use crate::operator::bans::Bans;
use crate::operator::figures::Figures;
use crate::settings::Names;
use crate::settings::config::{Config, ConfigError};
use crate::storm::Storm;
use buffers::Pool;
use executors::{Executors, Job, Rows};
use feed::Feed;
use hands::Hands;
use limits::*;
use lists::Lists;
use operator::Operators;
use poll::{Key, Poll};
use room::Room;
use session::Sessions;
use setup::context;
use signals::Signals;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;
use timers::Clock;

/// A dispatcher that is set up and has not begun to serve.
pub struct Node {
    poll: Poll,
    clock: Clock,
    pool: Pool,
    names: Names,
    dispatch: Dispatch<Rows>,
    sessions: Sessions,
    executors: Executors,
    /// The coordinator's, unless lists from files stand instead of it.
    feed: Option<Feed>,
    lists: Option<Lists>,
    storm: Option<Storm>,
    /// Work in hand on the record of a fleet, where our settings name peers.
    hands: Option<Hands>,
    jobs: BTreeMap<u64, (Key, Job)>,
    listener: Option<(Key, TcpListener)>,
    /// The listener while accepting pauses.
    paused: Option<TcpListener>,
    signals: (Key, Signals),
    /// Reads the configuration again.
    load: fn() -> Result<Config, ConfigError>,
    most_sessions: usize,
    next_id: u32,
    accept_at: Option<Micros>,
    /// How long ago what is read now may have come.
    behind: Micros,
    sweep_at: Micros,
    clients_at: Micros,
    counters_at: Micros,
    stopping: Option<Micros>,
    given_up: bool,
    refused_clients: u64,
    /// Clients closed to make room for others.
    made_room: u64,
    /// Idle clients closed because descriptors ran out.
    shed: u64,
    /// The operators' address, where the configuration names one.
    operators: Option<Operators>,
    /// Since when `LEAVE` holds, until `JOIN`.
    leaving: Option<Micros>,
    figures: Figures,
    bans: Bans,
    /// Where bans are handed to the next process.
    bans_file: PathBuf,
    /// This dispatcher's name, the same in the next process.
    name: String,
    /// Where clients connect; the listener is closed while leaving, and bound here again on `JOIN`.
    address: SocketAddr,
    /// The last that the list said of each executor on it, by uid.
    targets: BTreeMap<String, Target>,
    /// When executors on the list were let back by hand, in milliseconds.
    onlined: BTreeMap<String, u64>,
}

impl Node {
    /// Serves until SIGTERM, then until all that was taken has its answer.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = polling::Events::new();
        let mut worked = 0;
        loop {
            let now = self.clock.now();
            if self.over(now) {
                break;
            }
            let wait = self.next_due().saturating_sub(now);
            self.poll.wait(&mut events, Duration::from_micros(wait)).map_err(context("poller"))?;
            let woke = self.clock.now();
            // What came while this process did not look came at any time since it last did.
            self.behind = (woke - now).saturating_sub(wait) + worked;
            self.keep_hands(woke);
            for event in events.iter() {
                self.ready(event.key, event.readable, event.writable, woke);
            }
            self.tick();
            let (asleep, busy) = (woke - now, self.clock.now() - woke);
            if busy > SLOW_TURN || asleep > wait + SLOW_TURN {
                tracing::warn!(slept_us = asleep, wanted_us = wait, worked_us = busy, "slow turn");
            }
            worked = busy;
        }
        self.leave_fleet(self.clock.last());
        self.count();
        tracing::info!("stopped");
        Ok(())
    }

    /// The sides that have sockets and timers of their own.
    fn rooms(&self) -> impl Iterator<Item = &dyn Room> {
        let feed = self.feed.as_ref().map(|f| f as &dyn Room);
        let hands = self.hands.as_ref().map(|h| h as &dyn Room);
        let operators = self.operators.as_ref().map(|o| o as &dyn Room);
        std::iter::once(&self.executors as &dyn Room).chain(feed).chain(operators).chain(hands)
    }

    fn next_due(&self) -> Micros {
        let lists = self.lists.as_ref().filter(|l| l.pending()).map(|_| self.clock.last());
        let rooms = self.rooms().map(Room::next_due);
        let due = [self.dispatch.next_due(), self.accept_at, lists].into_iter().chain(rooms);
        // While stopping, a look every now and then is near enough to each of its limits.
        let own = if self.stopping.is_some() { self.clock.last() + STOP_LOOK } else { self.clients_at };
        due.flatten().fold(own, Micros::min)
    }

    fn ready(&mut self, key: Key, readable: bool, writable: bool, now: Micros) {
        if self.listener.as_ref().is_some_and(|(k, _)| *k == key) {
            self.accept(now);
        } else if key == self.signals.0 {
            let (stop, reread) = self.signals.1.take();
            if reread {
                self.reread(now);
            }
            if stop {
                self.stop(now);
            }
        } else if self.operators.as_ref().is_some_and(|o| o.owns(key)) {
            let lines = self.operators.as_mut().map(|o| o.ready(key, now, &self.poll)).unwrap_or_default();
            for (caller, line) in lines {
                let asked = tracing::enabled!(tracing::Level::DEBUG).then(|| format!("{line:?}"));
                let answer = self.call(caller, now, line);
                if let Some(asked) = asked {
                    let answer = answer.as_ref().and_then(|a| a.lines().next());
                    tracing::debug!(asked, answer, "operator call");
                }
                if let (Some(o), Some(answer)) = (&mut self.operators, answer) {
                    o.answer(caller, &answer, &self.poll);
                }
            }
        } else if self.feed.as_ref().is_some_and(|f| f.owns(key)) {
            let updates = self.feed.as_mut().map(|f| f.ready(now, &self.poll));
            updates.into_iter().flatten().for_each(|update| self.update(now, update));
        } else if self.lists.as_ref().is_some_and(|l| l.owns(key)) {
            self.with_lists(now, |lists, _| lists.ready(now));
        } else if self.hands.as_ref().is_some_and(|h| h.owns(key)) {
            if let Some(h) = &mut self.hands {
                h.peers.ready(key, now, &self.poll);
            }
            self.move_hands(now);
        } else if self.executors.owns(key) {
            self.executors.ready(key, readable, writable, now, &self.poll);
            self.settle(now, Vec::new());
        } else if self.sessions.by_key.contains_key(&key) {
            if readable {
                self.read(key, now);
            }
            if writable {
                self.flush(key);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let orders = self.dispatch.tick(now);
        self.settle(now, orders);
        self.executors.tick(now, &self.poll);
        self.settle(now, Vec::new());
        if let Some(feed) = &mut self.feed {
            feed.tick(now, &self.poll);
        }
        if self.lists.as_ref().is_some_and(Lists::pending) {
            self.with_lists(now, |_, _| ());
        }
        if self.accept_at.is_some_and(|t| t <= now) {
            self.accept_at = None;
            self.accept_again(now);
        }
        if let Some(o) = &mut self.operators {
            o.tick(now, &self.poll);
        }
        if let Some(h) = &mut self.hands {
            h.tick(now, &self.poll);
        }
        self.keep_hands(now);
        self.keep_plan(now);
        self.keep_policy(now);
        if self.clients_at <= now {
            self.clients_at = now + CLIENTS;
            self.look_after_clients(now);
            self.send_all_away(now);
            self.watch_storm(now);
            self.with_lists(now, |lists, executors| lists.tick(now, &|uid| executors.busy(uid)));
        }
        if self.sweep_at <= now {
            self.sweep_at = now + SWEEP;
            self.sweep(now);
        }
        if self.counters_at <= now {
            self.counters_at = now + COUNTERS;
            self.count();
        }
    }
}
