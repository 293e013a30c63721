//! What a gateway wants done.

use super::{EndReason, EngineId, Micros, QueryId};

/// What a gateway wants done, in this order and at once.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Set memory and priority for the query's further sends; the priority also for what is out.
    Terms {
        /// The request.
        query: QueryId,
        /// Memory in MB; 0 leaves it to the engine.
        memory_mb: f64,
        /// Priority, 0 to 3.
        priority: u8,
    },
    /// Send an attempt.
    Send {
        /// The request.
        query: QueryId,
        /// Where to.
        engine: EngineId,
        /// Its time-out; `None` until the client gives up.
        timeout: Option<Micros>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        query: QueryId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        /// The request.
        query: QueryId,
        /// When to come back.
        retry_after: Option<Micros>,
        /// Why, for the log.
        reason: EndReason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        query: QueryId,
        /// Why, for the log.
        reason: EndReason,
    },
    /// Probe an engine.
    Probe {
        /// The engine.
        engine: EngineId,
    },
    /// Ask for the changes of the engine list from now on.
    Watch,
    /// Stop hearing of changes.
    Unwatch,
    /// Ask for the whole engine list once.
    ReadList,
    /// Close idle connections to an engine.
    CloseIdle {
        /// The engine.
        engine: EngineId,
    },
    /// Tell one gateway of the tier something, or all of them.
    Tell {
        /// Its number; `None` for all.
        to: Option<u32>,
        /// What is told.
        content: String,
    },
    /// Set a timer.
    Wake {
        /// Comes back with the timer.
        token: u64,
        /// From now.
        after: Micros,
    },
    /// A line for the log.
    Log(String),
}
