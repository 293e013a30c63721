//! Other dispatchers, with which open requests are replicated.

use super::MS;
use super::policy::{self, PolicyTerms};
use crate::settings::hcl::{self, Fault, Table};
use std::net::SocketAddr;
use std::time::Duration;

/// Other dispatchers, with which open requests are replicated.
#[derive(Debug, Clone, PartialEq)]
pub struct Peers {
    /// The name of this peer.
    pub me: String,
    /// Listen address for the other peers.
    pub listen: SocketAddr,
    /// All peers including this one, sorted by name; identical at all peers.
    pub peers: Vec<(String, SocketAddr)>,
    /// Lease duration without renewal.
    pub lease: Duration,
    /// How much longer other peers wait before they treat the lease as expired.
    pub margin: Duration,
    /// Tick interval of the replicated log.
    pub tick: Duration,
    /// Maximum delay for batching entries that need not be committed first.
    pub batch: Duration,
    /// Time without a leader after which a fleet whose majority has restarted is abandoned.
    pub give_up: Duration,
    /// How long a request that must not run twice is remembered after its deadline.
    pub remember: Duration,
    /// Maximum number of replicated request records.
    pub max_records: usize,
    /// Maximum number of requests of lost peers taken over concurrently.
    pub max_taken_over: usize,
    /// The longest statement that is replicated, in bytes.
    pub max_statement: u64,
    /// The largest result stored for a client that reconnects, in bytes.
    pub max_result: u64,
    /// The longest message accepted from a peer, in bytes.
    pub max_frame: u64,
    /// Minimum number of executors in service during maintenance.
    pub min_executors: usize,
    /// Minimum ratio of cores in service to busy cores during maintenance.
    pub headroom: f64,
    /// Maximum number of executors out of service at once.
    pub at_once: usize,
    /// How long a drain waits for open work before the executor is handed over for maintenance.
    pub drain_limit: Duration,
    /// How long an executor may be out before the plan stops.
    pub out_limit: Duration,
    /// Agreement on a shared policy; `None` if each peer uses its own settings.
    pub policy: Option<PolicyTerms>,
}

/// Reads the `peers` block.
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
        max_records: 100_000,
        max_taken_over: 1_000,
        max_statement: 4 << 10,
        max_result: 4 << 10,
        max_frame: 64 << 20,
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
    t.set("max_statement", &mut p.max_statement, faults, hcl::size(0..=64 << 10));
    t.set("max_result", &mut p.max_result, faults, hcl::size(0..=64 << 10));
    t.set("max_frame", &mut p.max_frame, faults, hcl::size(64 << 10..=1 << 30));
    if let Some(n) = t.get("max_records", faults, hcl::whole(100..=1_000_000)) {
        p.max_records = n as usize;
    }
    if let Some(n) = t.get("max_taken_over", faults, hcl::whole(0..=100_000)) {
        p.max_taken_over = n as usize;
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
    // An election must complete well within a lease, or all peers lose their leases.
    if p.lease < p.tick * 25 {
        faults.push(t.fault("lease", "shorter than 25 ticks: it would end while a leader is being elected"));
    }
    for (names, b) in t.blocks("peer", 1, faults) {
        b.only(&["address"], &[], faults);
        let name = names[0].to_string();
        if p.peers.iter().any(|(n, _)| *n == name) {
            faults.push(b.fault("", "duplicate peer name"));
        }
        if let Some(at) = b.need("address", faults, hcl::parsed("10.0.0.1:7100")) {
            if p.peers.iter().any(|(_, a)| *a == at) {
                faults.push(b.fault("address", "another peer has this address"));
            }
            p.peers.push((name, at));
        }
    }
    // Indices follow from the sorted names, so that they are the same at all peers regardless of the order in the file.
    p.peers.sort();
    if !p.peers.iter().any(|(n, _)| *n == p.me) {
        faults.push(t.fault("me", "no peer block has this name"));
    }
    if !(3..=9).contains(&p.peers.len()) {
        faults.push(t.fault("", format!("{} peer blocks; 3 to 9 are allowed", p.peers.len())));
    }
    p
}
