//! Lines of the coordinator: new events, numbers of the last event, and lines that can't be parsed.

use super::CoordinatorWatch;
use super::connection::WatchError;
use crate::codec::coordinator::{Line, Update};

impl CoordinatorWatch {
    /// Handles a line that can't be parsed: it is requested again, and skipped the second time.
    pub(super) fn unreadable(&mut self, error: String) -> WatchError {
        self.bad_lines += 1;
        if self.unreadable_after.replace(self.applied) == Some(self.applied) {
            let event = self.applied + 1;
            tracing::error!(event, %error, "feed: skipping an event that can't be parsed");
            self.applied = event;
            self.unreadable_after = None;
        }
        WatchError::BadLine(error)
    }

    /// Applies a line: a new event is an update, one that was applied before is ignored.
    pub(super) fn apply(&mut self, line: Line, updates: &mut Vec<Update>) -> Result<(), WatchError> {
        let applied = self.applied;
        match line {
            Line::Last(last) if last > applied => Err(WatchError::Behind { last, applied }),
            Line::Last(_) => Ok(()),
            Line::Update(update) if update.index <= applied => Ok(()),
            Line::Update(update) if update.index > applied + 1 => {
                Err(WatchError::Gap { index: update.index, applied })
            }
            Line::Update(update) => {
                self.applied = update.index;
                self.unreadable_after = None;
                updates.push(update);
                Ok(())
            }
        }
    }
}
