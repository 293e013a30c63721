//! What is known of a switch.

use super::check::Window;
use super::trouble::Trouble;

/// When what goes wrong began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Struck {
    /// Ahead of the operator's call, or before any dispatcher had heard of it.
    Before,
    /// Between the first vote and the first dispatcher for which it was over.
    Between,
    /// Later, or never.
    After,
}

/// What came of a switch.
#[derive(Debug, Clone)]
pub struct Switch {
    /// What went wrong.
    pub trouble: Trouble,
    /// As seen from outside.
    pub window: Window,
    /// The numbers that its proposals got, as far as anybody was told.
    pub proposed: Vec<u64>,
    /// The number in force at its end.
    pub number: u64,
    /// It was taken back by `POLICY BACK`.
    pub back: bool,
    /// It took hold.
    pub took_hold: bool,
    /// When what goes wrong began, beside the switch itself.
    pub struck: Struck,
    /// All dispatchers told the same in time, and nothing was under way.
    pub settled: bool,
    /// What the calls were answered; where it did not settle, the last answers on how policies stand too.
    pub answers: Vec<String>,
}
