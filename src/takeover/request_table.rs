//! The requests that a dispatcher owns or whose tries wait there, by ask and by the id of their result.

use super::types::Local;
use std::collections::BTreeMap;

/// The requests, one for each ask.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    by_ask: BTreeMap<u64, Local>,
    /// The ask of each request that has a digest, by the id of its result.
    asks_by_result: BTreeMap<u64, u64>,
}

impl RequestTable {
    pub(super) fn get(&self, ask: &u64) -> Option<&Local> {
        self.by_ask.get(ask)
    }

    /// A request to be changed. What it asks for has to stay the same.
    pub(super) fn get_mut(&mut self, ask: &u64) -> Option<&mut Local> {
        self.by_ask.get_mut(ask)
    }

    pub(super) fn insert(&mut self, ask: u64, local: Local) {
        self.remove(&ask);
        self.asks_by_result.extend(result_id(&local).map(|id| (id, ask)));
        self.by_ask.insert(ask, local);
    }

    pub(super) fn remove(&mut self, ask: &u64) -> Option<Local> {
        let local = self.by_ask.remove(ask)?;
        if let Some(id) = result_id(&local) {
            self.asks_by_result.remove(&id);
        }
        Some(local)
    }

    /// The ask of the request whose result has this id.
    pub(super) fn ask_of_result(&self, result_id: u64) -> Option<u64> {
        self.asks_by_result.get(&result_id).copied()
    }

    pub(super) fn asks(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_ask.keys().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.by_ask.len()
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.by_ask.is_empty() && self.asks_by_result.is_empty()
    }
}

fn result_id(local: &Local) -> Option<u64> {
    local.record.digest.map(|digest| digest.result_id())
}
