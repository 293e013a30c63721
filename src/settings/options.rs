//! Our own settings, from an HCL file beside the platform's JSON: what only some installations have.
//!
//! All of it is off unless the file says otherwise. Every fault of the file is told, with its place.

use crate::membership::check::Terms;
use crate::membership::{FEED, Guard};
use crate::settings::hcl::{self, Fault, Table, Text};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum LogFormat {
    /// Time, level, module, message, fields.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// All settings of the file.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Options {
    /// How log lines are written.
    pub log_format: Option<LogFormat>,
    /// Motor lists from files; none where the coordinator's feed is the only source.
    pub lists: Option<Lists>,
    /// Retry storms; none where the decisions alone see to refusals.
    pub storms: Option<Storms>,
    /// Other dispatchers; none where every dispatcher is alone.
    pub peers: Option<Peers>,
}

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
    /// While motores are taken out for work: how many stay in service at least.
    pub min_motores: usize,
    /// Cores that stay in service for each that works, at least.
    pub headroom: f64,
    /// Motores that may be missing at once.
    pub at_once: usize,
    /// How long work on a motor is waited for before it is handed over.
    pub drain_limit: Duration,
    /// How long a motor may be out before the plan stops.
    pub out_limit: Duration,
}

/// Retry storms.
#[derive(Debug, Clone, PartialEq)]
pub struct Storms {
    /// The longest wait that clients honour; else what the platform's settings say, else a second.
    pub longest_wait: Option<Duration>,
    /// Share of what passes that repeats without a promise may be.
    pub repeats: f64,
    /// Asks remembered after they were turned away.
    pub remembered: usize,
}

/// What to do at a start with neither a usable list nor a good copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Empty {
    /// Serve without motores from it: requests are refused with a time to come back.
    Serve,
    /// End with an error.
    Exit,
}

/// One list: a file, or a directory of files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Its name, as log lines and the precedence have it.
    pub name: String,
    /// The file or directory.
    pub path: PathBuf,
    /// Where `lists accept` writes what a person confirmed.
    pub accept: PathBuf,
}

/// Motor lists from files.
#[derive(Debug, Clone, PartialEq)]
pub struct Lists {
    /// The lists.
    pub sources: Vec<Source>,
    /// Names of sources, the one that goes first ahead; `feed` is the coordinator's.
    pub precedence: Vec<String>,
    /// What a list may hold.
    pub terms: Terms,
    /// How long nothing may have changed before a list without seal is taken.
    pub settle: Duration,
    /// How often files are looked at without any notification.
    pub poll: Duration,
    /// The largest file read, in bytes, and the most files of a directory.
    pub most_bytes: u64,
    /// The most files of a directory.
    pub most_files: usize,
    /// What holds a list back.
    pub guard: Guard,
    /// How long a motor that was taken out of its list may go on with what it has.
    pub drain_limit: Duration,
    /// Where the last good lists are kept, where a disk lasts.
    pub last_good: Option<PathBuf>,
    /// What to do at a start without any list.
    pub empty: Empty,
    /// For tests alone: safeguards that are left out.
    pub without: BTreeSet<Safeguard>,
}

/// What guards a list. Tests leave single ones out, to see the harm that each keeps away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Safeguard {
    /// A list is checked against its seal.
    Seal,
    /// A list without seal has to have settled.
    Settle,
    /// Files are looked at again after they were read, and a young one a second time.
    Again,
    /// A list is checked before use.
    Check,
    /// What takes away much is held back.
    Guard,
    /// What was taken out of a list drains.
    Drain,
    /// The file system notifies of changes.
    Notify,
}

const SAFEGUARDS: [(&str, Safeguard); 7] = [
    ("seal", Safeguard::Seal),
    ("settle", Safeguard::Settle),
    ("again", Safeguard::Again),
    ("check", Safeguard::Check),
    ("guard", Safeguard::Guard),
    ("drain", Safeguard::Drain),
    ("notify", Safeguard::Notify),
];

const MS: fn(u64) -> Duration = Duration::from_millis;

impl Options {
    /// Reads a file; all that is wrong with it is told.
    pub fn load(path: &Path) -> Result<Options, Vec<Fault>> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| vec![Fault::of_file(&name, e)])?;
        Options::parse(&name, &text)
    }

    /// Reads a text.
    pub fn parse(name: &str, text: &str) -> Result<Options, Vec<Fault>> {
        let text = Text::new(name, text);
        let body = text.parse().map_err(|e| vec![e])?;
        let (root, mut faults) = (Table::root(&text, &body), Vec::new());
        root.only(&[], &["log", "motor_lists", "retry_storms", "peers"], &mut faults);
        let mut options = Options::default();
        if let Some(log) = root.block("log", &mut faults) {
            log.only(&["format"], &[], &mut faults);
            let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
            options.log_format = log.get("format", &mut faults, hcl::one_of(&formats));
        }
        options.lists = root.block("motor_lists", &mut faults).map(|t| lists(&t, &mut faults));
        options.storms = root.block("retry_storms", &mut faults).map(|t| storms(&t, &mut faults));
        options.peers = root.block("peers", &mut faults).map(|t| peers(&t, &mut faults));
        if faults.is_empty() { Ok(options) } else { Err(faults) }
    }
}

fn lists(t: &Table<'_>, faults: &mut Vec<Fault>) -> Lists {
    let keys = [
        "precedence",
        "settle",
        "poll",
        "max_size",
        "max_files",
        "max_motores",
        "max_weight",
        "networks",
        "allow_loopback",
        "seals",
        "drain_limit",
        "last_good",
        "on_empty",
    ];
    t.only(&keys, &["source", "guard", "test_only"], faults);
    let mut l = Lists {
        sources: Vec::new(),
        precedence: Vec::new(),
        terms: Terms::default(),
        settle: MS(300),
        poll: MS(1_000),
        most_bytes: 8 << 20,
        most_files: 256,
        guard: Guard::default(),
        drain_limit: MS(600_000),
        last_good: None,
        empty: Empty::Serve,
        without: BTreeSet::new(),
    };
    t.set("settle", &mut l.settle, faults, hcl::duration(MS(10)..=MS(60_000)));
    t.set("poll", &mut l.poll, faults, hcl::duration(MS(20)..=MS(60_000)));
    t.set("max_size", &mut l.most_bytes, faults, hcl::size(1 << 10..=64 << 20));
    t.set("drain_limit", &mut l.drain_limit, faults, hcl::duration(MS(1_000)..=MS(86_400_000)));
    t.set("max_weight", &mut l.terms.most_weight, faults, hcl::number(0.001..=1e6));
    t.set("allow_loopback", &mut l.terms.loopback, faults, hcl::boolean);
    t.set("seals", &mut l.terms.sealed, faults, hcl::one_of(&[("required", true), ("optional", false)]));
    let on_empty = [("serve", Empty::Serve), ("exit", Empty::Exit)];
    t.set("on_empty", &mut l.empty, faults, hcl::one_of(&on_empty));
    l.last_good = t.get("last_good", faults, hcl::string).map(PathBuf::from);
    if let Some(n) = t.get("max_files", faults, hcl::whole(1..=4_096)) {
        l.most_files = n as usize;
    }
    if let Some(n) = t.get("max_motores", faults, hcl::whole(1..=100_000)) {
        l.terms.most_motores = n as usize;
    }
    if let Some(nets) = t.get("networks", faults, hcl::list(hcl::parsed("10.0.0.0/8"))) {
        if nets.is_empty() {
            faults.push(t.fault("networks", "an empty list allows no address; leave it out to allow all"));
        }
        l.terms.networks = Some(nets);
    }
    for (names, s) in t.blocks("source", 1, faults) {
        s.only(&["path", "accept"], &[], faults);
        let name = names[0].to_string();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name == FEED || name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
            let what = "1 to 64 letters, digits, '-', '_' or '.' are allowed, and not \"feed\"";
            faults.push(s.fault("", what));
        }
        if l.sources.iter().any(|o| o.name == name) {
            faults.push(s.fault("", "a second source of this name"));
        }
        let path = s.need("path", faults, hcl::string).map(PathBuf::from).unwrap_or_default();
        let accept = s.get("accept", faults, hcl::string).map(PathBuf::from);
        if l.sources.iter().any(|o| o.path == path) {
            faults.push(s.fault("path", "another source reads this path"));
        }
        l.sources.push(Source { name, accept: accept.unwrap_or_else(|| accept_path(&path)), path });
    }
    if l.sources.is_empty() {
        faults.push(t.fault("", "no source block; at least one is needed"));
    }
    let names = || l.sources.iter().map(|s| s.name.as_str());
    match t.get("precedence", faults, hcl::list(hcl::string)) {
        None => l.precedence = names().chain([FEED]).map(String::from).collect(),
        Some(given) => {
            let once: BTreeSet<&str> = given.iter().map(String::as_str).collect();
            let all: BTreeSet<&str> = names().collect();
            if once.len() != given.len() {
                faults.push(t.fault("precedence", "a name stands there twice"));
            }
            if let Some(unknown) = once.iter().find(|n| **n != FEED && !all.contains(**n)) {
                let allowed: Vec<&str> = names().chain([FEED]).collect();
                let what = format!("unknown source {unknown:?}; allowed: {}", allowed.join(", "));
                faults.push(t.fault("precedence", what));
            }
            if let Some(missing) = all.iter().find(|n| !once.contains(**n)) {
                faults.push(t.fault("precedence", format!("source {missing:?} is missing")));
            }
            l.precedence = given;
        }
    }
    if let Some(g) = t.block("guard", faults) {
        g.only(&["max_loss", "window", "remind", "accepted_for"], &[], faults);
        g.set("max_loss", &mut l.guard.most_loss, faults, hcl::number(0.0..=1.0));
        g.set("window", &mut l.guard.window, faults, hcl::duration(MS(0)..=MS(86_400_000)));
        g.set("remind", &mut l.guard.remind, faults, hcl::duration(MS(1_000)..=MS(86_400_000)));
        g.set("accepted_for", &mut l.guard.accepted_for, faults, hcl::duration(MS(1_000)..=MS(86_400_000)));
    }
    if let Some(tests) = t.block("test_only", faults) {
        tests.only(&["without"], &[], faults);
        let without = tests.get("without", faults, hcl::list(hcl::one_of(&SAFEGUARDS)));
        l.without = without.into_iter().flatten().collect();
    }
    l
}

fn storms(t: &Table<'_>, faults: &mut Vec<Fault>) -> Storms {
    t.only(&["longest_wait", "repeats", "remembered"], &[], faults);
    let mut s = Storms { longest_wait: None, repeats: 0.3, remembered: 20_000 };
    s.longest_wait = t.get("longest_wait", faults, hcl::duration(MS(100)..=MS(60_000)));
    t.set("repeats", &mut s.repeats, faults, hcl::number(0.0..=1.0));
    if let Some(n) = t.get("remembered", faults, hcl::whole(100..=200_000)) {
        s.remembered = n as usize;
    }
    s
}

fn peers(t: &Table<'_>, faults: &mut Vec<Fault>) -> Peers {
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
    t.only(&keys, &["peer", "maintenance"], faults);
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
        min_motores: 2,
        headroom: 1.3,
        at_once: 1,
        drain_limit: MS(600_000),
        out_limit: MS(1_800_000),
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
            p.min_motores = n as usize;
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

/// Where acceptances of a list stand if nothing else is said: beside it.
pub fn accept_path(list: &Path) -> PathBuf {
    let mut name = list.file_name().unwrap_or_default().to_os_string();
    name.push(".accepted");
    list.with_file_name(name)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lists_have_defaults_and_one_source_is_enough() {
        let o = Options::parse("o", "motor_lists {\n source \"salas\" { path = \"/x/motores\" }\n}").unwrap();
        let l = o.lists.unwrap();
        assert_eq!(l.precedence, ["salas", "feed"]);
        assert_eq!(l.sources[0].accept, Path::new("/x/motores.accepted"));
        assert!(l.terms.sealed && l.without.is_empty() && !l.terms.loopback);
    }

    const PEERS: &str = "peers {\n  me = \"b\"\n  listen = \"10.0.0.2:7100\"\n  peer \"c\" { address = \"10.0.0.3:7100\" }\n  \
                         peer \"a\" { address = \"10.0.0.1:7100\" }\n  peer \"b\" { address = \"10.0.0.2:7100\" }\n}\n";

    // Places in the fleet come from the names: files that list the peers in another order must not differ.
    #[test]
    fn peers_are_in_the_order_of_their_names() {
        let p = Options::parse("o", PEERS).unwrap().peers.unwrap();
        let names: Vec<&str> = p.peers.iter().map(|(n, _)| n.as_str()).collect();
        assert_eq!((names, p.me.as_str(), p.lease), (vec!["a", "b", "c"], "b", MS(1_000)));
        assert_eq!(Options::parse("o", "").unwrap().peers, None, "off unless the block is there");
    }

    // A lease that ends while a leader is elected takes everybody's with it; a fleet of two survives nobody.
    #[test]
    fn a_fleet_that_could_not_work_is_refused_with_the_reason() {
        let all = |text: &str| -> String {
            Options::parse("o", text).unwrap_err().iter().map(|f| f.to_string() + "\n").collect()
        };
        let short = PEERS.replacen('{', "{\n  lease = \"500ms\"\n  tick = \"30ms\"", 1);
        assert!(all(&short).contains("peers.lease: shorter than 25 ticks"), "{}", all(&short));
        let two = PEERS.replace("  peer \"c\" { address = \"10.0.0.3:7100\" }\n", "");
        assert!(all(&two).contains("2 peer blocks; 3 to 9 are allowed"), "{}", all(&two));
        assert!(all(&PEERS.replace("me = \"b\"", "me = \"x\"")).contains("no peer block has this name"));
        assert!(all(&PEERS.replace("10.0.0.3", "10.0.0.1")).contains("another peer has this address"));
    }

    // A setting that is wrong by a letter or a unit must not be a setting that silently is not there.
    #[test]
    fn a_wrong_key_unit_or_name_is_told_with_its_place() {
        let text = "motor_lists {\n  setle = \"1s\"\n  poll = \"0.5\"\n  precedence = [\"a\", \"b\"]\n  \
                    source \"a\" { path = \"p\" }\n  source \"feed\" { path = \"q\" }\n}\nlgo {}\n";
        let all: Vec<String> =
            Options::parse("o.hcl", text).unwrap_err().iter().map(Fault::to_string).collect();
        for t in [
            "o.hcl:2:3: motor_lists.setle: unknown key",
            "o.hcl:3:10: motor_lists.poll: \"0.5\" where a time",
            "o.hcl:4:16: motor_lists.precedence: unknown source \"b\"",
            "o.hcl:6:3: motor_lists.source.feed: 1 to 64",
            "o.hcl:8:1: lgo: unknown block; allowed: log, motor_lists, retry_storms, peers",
        ] {
            assert!(all.iter().any(|a| a.starts_with(t)), "{t}\nin {all:#?}");
        }
    }
}
