//! Runs that leave a safeguard out, and the harm that it keeps away.

use super::ways::Way;
use super::world::Wrong;
use super::{Outcome, Plan};
use std::time::Duration;

const NO_WAYS: &[Way] = &[Way::Rename];

/// Runs that leave a safeguard out, each beside the same run with it, and the harm that it keeps away.
pub(super) fn safeguards(swaps: u32) -> Vec<(&'static str, Plan, Harm)> {
    let plan =
        |seals, without, wrongs, ways| Plan { swaps, seals, without, wrongs, ways, pause: Duration::ZERO };
    vec![
        ("seal", plan(true, &["seal"], &[Wrong::CutBetween, Wrong::Edited, Wrong::Mixed], NO_WAYS), |o| {
            o.wrongly_taken
        }),
        ("settle", plan(false, &["settle"], &[], &[Way::Pieces, Way::Over]), |o| o.wrongly_taken),
        (
            "check",
            plan(
                true,
                &["check"],
                &[Wrong::SameUid, Wrong::SameAddress, Wrong::NoWeight, Wrong::UnknownRoom],
                NO_WAYS,
            ),
            |o| o.wrongly_taken,
        ),
        ("guard", plan(true, &["guard"], &[Wrong::Emptied], NO_WAYS), |o| o.emptied_taken),
        ("drain", Plan { pause: Duration::from_millis(70), ..plan(true, &["drain"], &[], NO_WAYS) }, |o| {
            o.after_told
        }),
    ]
}

/// What counts as the harm of a safeguard that is left out.
type Harm = fn(&Outcome) -> u64;
