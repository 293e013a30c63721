//! Counts how often each case occurred.

/// Number of occurrences of each case under test.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub sends: u32,
    pub further: u32,
    pub copies: u32,
    pub unsafe_kept: u32,
    pub unsafe_again: u32,
    pub keyed_again: u32,
    pub keyed_kept: u32,
    pub in_line: u32,
    pub bound: u32,
    pub drained: u32,
    pub budget_full: u32,
    pub probes: u32,
    pub cancels: u32,
    pub refused: u32,
    pub failed: u32,
    pub served: u32,
    pub overdue: u32,
}

impl Seen {
    fn each(&mut self) -> [&mut u32; 17] {
        let s = self;
        [
            &mut s.sends,
            &mut s.further,
            &mut s.copies,
            &mut s.unsafe_kept,
            &mut s.unsafe_again,
            &mut s.keyed_again,
            &mut s.keyed_kept,
            &mut s.in_line,
            &mut s.bound,
            &mut s.drained,
            &mut s.budget_full,
            &mut s.probes,
            &mut s.cancels,
            &mut s.refused,
            &mut s.failed,
            &mut s.served,
            &mut s.overdue,
        ]
    }

    pub fn add(&mut self, other: &Seen) {
        let mut other = other.clone();
        self.each().into_iter().zip(other.each()).for_each(|(a, b)| *a += *b);
    }

    /// Checks that every case but the last, `overdue`, occurred often enough; the caller checks that one.
    pub fn reaches(mut self, least: u32) {
        let text = format!("{self:?}");
        let [met @ .., _] = self.each();
        assert!(met.into_iter().all(|n| *n >= least), "{text}");
    }
}
