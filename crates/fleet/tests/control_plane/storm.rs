//! Random combinations of faults from fixed seeds. At each step the world asserts that no request is admitted
//! under an older policy than an earlier request, and that revisions are consecutive. In the end all
//! followers must admit under the same policy.

use super::world::*;
use fleet::Peer;

fn strike(w: &mut World) {
    let member = 1 + w.draw(u64::from(w.count)) as Peer;
    let follower = w.draw(w.followers.len() as u64) as usize;
    let until = w.now + (200 + w.draw(2_500)) * MS;
    match w.draw(9) {
        0 => {
            w.kill_member(member);
        }
        1 => {
            w.paused_members.insert(member, until);
        }
        2 => {
            let other = 1 + w.draw(u64::from(w.count)) as Peer;
            w.cut.insert((member, other));
        }
        3 => {
            w.paused_followers.insert(follower, until);
        }
        4 => {
            w.silent.insert(follower);
        }
        5 => w.start_follower(follower),
        6 => {
            if let Some(node) = w.members.get_mut(&member) {
                node.member.leave();
            }
        }
        7 => {
            if let Some(f) = w.followers.get_mut(&follower) {
                f.deaf = !f.deaf;
            }
        }
        _ => {
            w.cut.clear();
            w.silent.clear();
        }
    }
}

fn mend_members(w: &mut World) {
    // Keeps a majority running: a group that loses it also loses its state, which other tests cover.
    for peer in 1..=w.count {
        if !w.members.contains_key(&peer) && w.draw(3) == 0 {
            w.start_member(peer);
        }
    }
}

fn storm(count: u8, followers: usize, seed: u64) -> [u64; 3] {
    let mut w = World::new(count, followers, seed);
    w.formed();
    for round in 0..40 {
        let down = usize::from(w.count) - w.members.len();
        if down == 0 || w.draw(2) == 0 {
            strike(&mut w);
        }
        // At most one member is down at a time.
        if usize::from(w.count) - w.members.len() > 1 {
            (1..=w.count).for_each(|p| {
                if !w.members.contains_key(&p) {
                    w.start_member(p);
                }
            });
        }
        let peers: Vec<Peer> = w.members.keys().copied().collect();
        let at = peers[w.draw(peers.len() as u64) as usize];
        w.propose(at, &format!("round {round}"));
        let span = (50 + w.draw(800)) * MS;
        w.run(span, |_| ());
        mend_members(&mut w);
    }
    w.cut.clear();
    w.silent.clear();
    (1..=w.count).for_each(|p| {
        // Members that were told to leave end here at the latest.
        w.kill_member(p);
        w.run(100 * MS, |_| ());
        w.start_member(p);
        w.run(6_000 * MS, |_| ());
    });
    w.followers.values_mut().for_each(|f| f.deaf = false);
    w.until(60_000 * MS, "all admit alike in the end", |w| {
        let newest = w.followers.values().map(|f| f.part.number()).max().unwrap_or(0);
        let idle =
            w.members.values().all(|n| n.fleet.state().is_some_and(|a| a.policy().pending().is_none()));
        idle && w.all_at(newest)
    });
    w.gates
}

#[test]
fn no_two_policies_hold_at_once_under_faults() {
    let mut admitted = 0;
    for seed in 0..24 {
        let gates = storm(3, 6, 1_000 + seed);
        admitted += gates[0];
    }
    assert!(admitted > 100_000, "the storms leave room for requests: {admitted}");
}

#[test]
fn no_two_policies_hold_at_once_in_a_larger_group() {
    for seed in 0..6 {
        storm(5, 16, 2_000 + seed);
    }
}
