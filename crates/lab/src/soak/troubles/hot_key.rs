//! One key of which its client wants more than it may write: what it holds back grows old meanwhile.

use crate::soak::clients::{answer, statement};
use crate::soak::records::{End, Request};
use crate::soak::world::{World, lock};
use rand::Rng;
use rand::rngs::StdRng;
use standins::scripted::{Ended, SpacedClient};
use std::time::Duration;

/// How many requests it wants to make.
const REQUESTS: u64 = 40;
/// Keys of the other traffic lie below.
const KEYS_FROM: u64 = 1_000;

/// Asks for a key of its own, at a pace that no spacing keeps up with.
pub fn asks(world: &World, rng: &mut StdRng) {
    let Some(class) = world.plan.classes.iter().find(|c| c.once) else { return };
    let (dispatcher, key) =
        (rng.random_range(0..world.plan.dispatchers), KEYS_FROM + rng.random_range(0..1_000));
    let pace = Duration::from_millis(rng.random_range(30..150));
    let (address, process) = world.dispatcher(dispatcher);
    let client = SpacedClient { dispatcher: address, budget: class.deadline, spaces: true };
    let rids: Vec<u64> = (0..REQUESTS).map(|_| world.rid()).collect();
    let begun = world.now();
    for request in client.ask(pace, &rids, |rid| statement(class, rid, Some(key), class.deadline)) {
        let Some(written) = request.written else { continue };
        let at = begun + request.at;
        let end = match &request.ended {
            Ended::NeverWritten => continue,
            Ended::Lost if request.at < request.wanted + class.deadline => End::Closed(at),
            Ended::Lost => End::Unanswered(at),
            Ended::Answered(got) => {
                answer(got, request.rid).map_or(End::Closed(at), |a| End::Answered(a, at))
            }
        };
        lock(&world.records).requests.push(Request {
            rid: request.rid,
            once: class.once,
            key: Some(key),
            process,
            wanted: begun + request.wanted,
            written: begun + written,
            budget: class.deadline,
            end,
            more: false,
            on_new_connection: true,
        });
    }
}
