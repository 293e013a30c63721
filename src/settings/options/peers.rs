//! Other dispatchers, with which work in hand is kept on record.

use super::MS;
use super::policy::{self, PolicyTerms};
use crate::settings::hcl::{self, Fault, Table};
use std::net::SocketAddr;
use std::time::Duration;

/// Other dispatchers, with which work in hand is kept on record.
#[derive(Debug, Clone, PartialEq)]
pub struct Peers {
    /// Which of the peers this one is, by its name.
    pub me: String,
    /// Where it listens for the others.
    pub listen: SocketAddr,
    /// All peers, this one included, by name: the same names at all of them.
    pub peers: Vec<(String, SocketAddr)>,
    /// How long a lease lasts without a renewal.
    pub lease: Duration,
    /// How much longer the others wait before they say that it is over.
    pub margin: Duration,
    /// The log's tick.
    pub tick: Duration,
    /// How long what need not be agreed first may wait.
    pub batch: Duration,
    /// Without a leader for this long, a fleet whose majority has started anew is given up.
    pub give_up: Duration,
    /// How long after its deadline what must not run twice is remembered.
    pub remember: Duration,
    /// Requests on record at most.
    pub most_records: usize,
    /// Requests of lost peers taken in hand at once, at most.
    pub most_taken_over: usize,
    /// The longest statement on record, in bytes.
    pub most_statement: u64,
    /// The largest result kept for a client that comes back, in bytes.
    pub most_result: u64,
    /// The longest message of a peer, in bytes.
    pub most_frame: u64,
    /// While executors are taken out for work: how many stay in service at least.
    pub min_executors: usize,
    /// Cores that stay in service for each that works, at least.
    pub headroom: f64,
    /// Executors that may be missing at once.
    pub at_once: usize,
    /// How long work on an executor is waited for before it is handed over.
    pub drain_limit: Duration,
    /// How long an executor may be out before the plan stops.
    pub out_limit: Duration,
    /// What all admit requests by; none where each goes by its own settings.
    pub policy: Option<PolicyTerms>,
}

/// Reads the block.
pub(super) fn read(t: &Table<'_>, faults: &mut Vec<Fault>) -> Peers {
    let keys = [
        "me",
        "listen",
        "lease",
        "margin",
        "tick",
        "batch",
        "give_up",
        "remember",
        "max_records",
        "max_taken_over",
        "max_statement",
        "max_result",
        "max_frame",
    ];
    t.only(&keys, &["peer", "maintenance", "policy"], faults);
    let mut p = Peers {
        me: t.need("me", faults, hcl::string).unwrap_or_default(),
        listen: t.need("listen", faults, hcl::parsed("10.0.0.1:7100")).unwrap_or(([127, 0, 0, 1], 0).into()),
        peers: Vec::new(),
        lease: MS(1_000),
        margin: MS(100),
        tick: MS(30),
        batch: MS(10),
        give_up: MS(10_000),
        remember: MS(30_000),
        most_records: 100_000,
        most_taken_over: 1_000,
        most_statement: 4 << 10,
        most_result: 4 << 10,
        most_frame: 64 << 20,
        min_executors: 2,
        headroom: 1.3,
        at_once: 1,
        drain_limit: MS(600_000),
        out_limit: MS(1_800_000),
        policy: t.block("policy", faults).map(|b| policy::read(&b, faults)),
    };
    t.set("lease", &mut p.lease, faults, hcl::duration(MS(200)..=MS(60_000)));
    t.set("margin", &mut p.margin, faults, hcl::duration(MS(10)..=MS(60_000)));
    t.set("tick", &mut p.tick, faults, hcl::duration(MS(5)..=MS(5_000)));
    t.set("batch", &mut p.batch, faults, hcl::duration(MS(1)..=MS(1_000)));
    t.set("give_up", &mut p.give_up, faults, hcl::duration(MS(1_000)..=MS(600_000)));
    t.set("remember", &mut p.remember, faults, hcl::duration(MS(1_000)..=MS(3_600_000)));
    t.set("max_statement", &mut p.most_statement, faults, hcl::size(0..=64 << 10));
    t.set("max_result", &mut p.most_result, faults, hcl::size(0..=64 << 10));
    t.set("max_frame", &mut p.most_frame, faults, hcl::size(64 << 10..=1 << 30));
    if let Some(n) = t.get("max_records", faults, hcl::whole(100..=1_000_000)) {
        p.most_records = n as usize;
    }
    if let Some(n) = t.get("max_taken_over", faults, hcl::whole(0..=100_000)) {
        p.most_taken_over = n as usize;
    }
    if let Some(m) = t.block("maintenance", faults) {
        m.only(&["min_motores", "headroom", "at_once", "drain_limit", "out_limit"], &[], faults);
        if let Some(n) = m.get("min_motores", faults, hcl::whole(1..=10_000)) {
            p.min_executors = n as usize;
        }
        if let Some(n) = m.get("at_once", faults, hcl::whole(1..=100)) {
            p.at_once = n as usize;
        }
        m.set("headroom", &mut p.headroom, faults, hcl::number(1.0..=100.0));
        m.set("drain_limit", &mut p.drain_limit, faults, hcl::duration(MS(100)..=MS(86_400_000)));
        m.set("out_limit", &mut p.out_limit, faults, hcl::duration(MS(100)..=MS(86_400_000)));
    }
    // A leader has to be found well within a lease, or all lose theirs with it.
    if p.lease < p.tick * 25 {
        faults.push(t.fault("lease", "shorter than 25 ticks: it would end while a leader is being elected"));
    }
    for (names, b) in t.blocks("peer", 1, faults) {
        b.only(&["address"], &[], faults);
        let name = names[0].to_string();
        if p.peers.iter().any(|(n, _)| *n == name) {
            faults.push(b.fault("", "a second peer of this name"));
        }
        if let Some(at) = b.need("address", faults, hcl::parsed("10.0.0.1:7100")) {
            if p.peers.iter().any(|(_, a)| *a == at) {
                faults.push(b.fault("address", "another peer has this address"));
            }
            p.peers.push((name, at));
        }
    }
    // Places come from the names, so that they are alike at all peers, whatever the order in the files.
    p.peers.sort();
    if !p.peers.iter().any(|(n, _)| *n == p.me) {
        faults.push(t.fault("me", "no peer block has this name"));
    }
    if !(3..=9).contains(&p.peers.len()) {
        faults.push(t.fault("", format!("{} peer blocks; 3 to 9 are allowed", p.peers.len())));
    }
    p
}
