//! Random combinations of faults from fixed seeds. At each step the world asserts that no request is admitted
//! under an older policy than an earlier request, and that revisions are consecutive. In the end all
//! followers must admit under the same policy.

use super::world::*;
use fleet::Peer;

fn inject_fault(w: &mut World) {
    let member = 1 + w.random(u64::from(w.count)) as Peer;
    let follower = w.random(w.followers.len() as u64) as usize;
    let until = w.now + (200 + w.random(2_500)) * MS;
    match w.random(9) {
        0 => {
            w.kill_member(member);
        }
        1 => {
            w.paused_members.insert(member, until);
        }
        2 => {
            let other = 1 + w.random(u64::from(w.count)) as Peer;
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
                f.not_reading = !f.not_reading;
            }
        }
        _ => {
            w.cut.clear();
            w.silent.clear();
        }
    }
}

fn restart_members(w: &mut World) {
    // Keeps a majority running: a group that loses it also loses its state, which other tests cover.
    for peer in 1..=w.count {
        if !w.members.contains_key(&peer) && w.random(3) == 0 {
            w.start_member(peer);
        }
    }
}

fn random_faults(count: u8, followers: usize, seed: u64) -> [u64; 3] {
    let mut w = World::new(count, followers, seed);
    w.wait_until_formed();
    for round in 0..40 {
        let down = usize::from(w.count) - w.members.len();
        if down == 0 || w.random(2) == 0 {
            inject_fault(&mut w);
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
        let at = peers[w.random(peers.len() as u64) as usize];
        w.propose(at, &format!("round {round}"));
        let span = (50 + w.random(800)) * MS;
        w.run(span, |_| ());
        restart_members(&mut w);
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
    w.followers.values_mut().for_each(|f| f.not_reading = false);
    w.run_until(60_000 * MS, "all admit under the same policy in the end", |w| {
        let newest = w.followers.values().map(|f| f.part.number()).max().unwrap_or(0);
        let idle =
            w.members.values().all(|n| n.fleet.state().is_some_and(|a| a.policy().pending().is_none()));
        idle && w.all_at(newest)
    });
    w.decisions
}

#[test]
fn no_two_policies_are_in_force_at_once_under_faults() {
    let mut admitted = 0;
    for seed in 0..24 {
        let decisions = random_faults(3, 6, 1_000 + seed);
        admitted += decisions[0];
    }
    assert!(admitted > 100_000, "the faults leave room for requests: {admitted}");
}

#[test]
fn no_two_policies_are_in_force_at_once_in_a_larger_group() {
    for seed in 0..6 {
        random_faults(5, 16, 2_000 + seed);
    }
}
