//! An executor's entry in its source, and in the list in force.

use crate::api::Micros;
use crate::codec::coordinator::{State, Target};
use crate::membership::list::Executor;
use std::net::SocketAddr;
use std::sync::Arc;

/// An executor's entry in its source.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Entry {
    FromList(Arc<Executor>),
    FromFeed(Arc<Target>),
}

impl Entry {
    pub(super) fn address(&self) -> Option<SocketAddr> {
        match self {
            Entry::FromList(m) => Some(m.address),
            Entry::FromFeed(t) => t.endpoint,
        }
    }

    pub(super) fn accepts_requests(&self) -> bool {
        match self {
            Entry::FromList(m) => m.accepts_requests(),
            Entry::FromFeed(t) => t.state == State::Up,
        }
    }

    pub(super) fn zone(&self) -> &str {
        match self {
            Entry::FromList(m) => &m.zone,
            Entry::FromFeed(t) => &t.az,
        }
    }

    /// The zone's name, without a copy where the entry shares it.
    pub(super) fn zone_name(&self) -> Arc<str> {
        match self {
            Entry::FromList(m) => m.zone.clone(),
            Entry::FromFeed(t) => t.az.as_str().into(),
        }
    }

    pub(super) fn kind(&self) -> &str {
        match self {
            Entry::FromList(m) => &m.kind,
            Entry::FromFeed(t) => &t.model,
        }
    }

    pub(super) fn weight(&self) -> f64 {
        match self {
            Entry::FromList(m) => m.weight,
            Entry::FromFeed(_) => 1.0,
        }
    }

    pub(super) fn target(&self) -> Target {
        match self {
            Entry::FromFeed(t) => Target::clone(t),
            Entry::FromList(m) => Target {
                uid: m.uid.to_string(),
                endpoint: Some(m.address),
                az: m.zone.to_string(),
                model: m.kind.to_string(),
                pod_group: 0,
                state: if m.accepts_requests() { State::Up } else { State::Draining },
                capacity_hint: None,
                boot_ms: 0,
                weight: Some(m.weight).filter(|w| *w > 0.0),
            },
        }
    }

    pub(super) fn with_state(&self, state: State) -> Target {
        Target { state, ..self.target() }
    }
}

/// An executor of the list in force.
#[derive(Debug, Clone)]
pub(super) struct ActiveEntry {
    /// The rank of the source that owns it; the lowest rank has precedence.
    pub(super) owner: usize,
    pub(super) entry: Entry,
    /// Since when it drains because no source lists it any more.
    pub(super) draining_since: Option<Micros>,
}
