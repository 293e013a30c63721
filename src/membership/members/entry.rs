//! An executor, as its owner has it and as it is in force.

use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::membership::list::Executor;
use std::net::SocketAddr;
use std::sync::Arc;

/// An executor, as its owner has it.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Entry {
    Listed(Arc<Executor>),
    Fed(Arc<Target>),
}

impl Entry {
    pub(super) fn address(&self) -> Option<SocketAddr> {
        match self {
            Entry::Listed(m) => Some(m.address),
            Entry::Fed(t) => t.endpoint,
        }
    }

    pub(super) fn takes(&self) -> bool {
        match self {
            Entry::Listed(m) => m.takes(),
            Entry::Fed(t) => t.state == State::Up,
        }
    }

    pub(super) fn room(&self) -> &str {
        match self {
            Entry::Listed(m) => &m.room,
            Entry::Fed(t) => &t.az,
        }
    }

    /// The room's name, shared where that can be.
    pub(super) fn room_name(&self) -> Arc<str> {
        match self {
            Entry::Listed(m) => m.room.clone(),
            Entry::Fed(t) => t.az.as_str().into(),
        }
    }

    pub(super) fn kind(&self) -> &str {
        match self {
            Entry::Listed(m) => &m.kind,
            Entry::Fed(t) => &t.model,
        }
    }

    pub(super) fn weight(&self) -> f64 {
        match self {
            Entry::Listed(m) => m.weight,
            Entry::Fed(_) => 1.0,
        }
    }

    pub(super) fn target(&self) -> Target {
        match self {
            Entry::Fed(t) => Target::clone(t),
            Entry::Listed(m) => Target {
                uid: m.uid.to_string(),
                endpoint: Some(m.address),
                az: m.room.to_string(),
                model: m.kind.to_string(),
                pod_group: 0,
                state: if m.takes() { State::Up } else { State::Draining },
                capacity_hint: None,
                boot_ms: 0,
                weight: Some(m.weight).filter(|w| *w > 0.0),
            },
        }
    }

    pub(super) fn told(&self, state: State) -> Target {
        Target { state, ..self.target() }
    }
}

/// An executor in force.
#[derive(Debug, Clone)]
pub(super) struct Placed {
    /// Its owner, by rank; the lowest goes first.
    pub(super) owner: usize,
    pub(super) entry: Entry,
    /// Since when it drains because no source names it any more.
    pub(super) leaving: Option<Micros>,
}
