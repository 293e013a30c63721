//! A fleet: dispatchers, executors, and a link between every two that talk.

use super::{Failure, PATIENCE};
use crate::daemon::{Daemon, Event};
use standins::executor::{Executor, Pull};
use standins::feed::Feed;
use standins::link::Link;
use standins::scripted::{Launch, target_of};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Executors of a fleet.
pub const EXECUTORS: usize = 6;
/// How long ended loads are remembered: longer than a client goes on asking.
pub const REMEMBERS: Duration = Duration::from_secs(16);

/// Where the dispatchers take clients now; `None` while one is down.
pub type Doors = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// A fleet on loopback.
pub struct World {
    launch: Launch,
    pub(super) folder: PathBuf,
    pub(super) feed: Feed,
    /// The executors.
    pub executors: Vec<Executor>,
    pub(super) daemons: Vec<Option<Daemon>>,
    /// From one dispatcher to another.
    pub(super) peers: BTreeMap<(usize, usize), Link>,
    /// From a dispatcher to an executor.
    pub(super) executor_links: Vec<Vec<Link>>,
    /// Where clients go.
    pub doors: Doors,
    /// The operators' addresses.
    pub(super) operators: Vec<Option<SocketAddr>>,
    /// What the settings say in their `peers` block beside the peers.
    in_peers: String,
    remember: Duration,
    beside: fn(usize) -> String,
    /// The platform's settings as each dispatcher has them.
    pub(super) platform: Vec<String>,
    pub(super) kind: fn(usize) -> &'static str,
    /// Whether the dispatchers have peers at all.
    pub(super) with_peers: bool,
    /// What killed ones said that nobody had read.
    pub(super) last_words: Vec<(usize, Event)>,
}

/// What a fleet is made of.
#[derive(Clone, Copy)]
pub struct Shape<'a> {
    /// Dispatchers.
    pub dispatchers: usize,
    /// Whether they know each other.
    pub with_peers: bool,
    /// The platform's settings.
    pub settings: &'a str,
    /// Dispatchers whose platform's settings are others, by place.
    pub differing: &'a [(usize, &'a str)],
    /// Executors.
    pub executors: usize,
    /// The kind of each executor, by place.
    pub kind: fn(usize) -> &'static str,
    /// What their own settings say in their `peers` block beside the peers.
    pub in_peers: &'a str,
    /// What each dispatcher's own settings say beside that block, by place.
    pub beside: fn(usize) -> String,
    /// How long ended loads are remembered.
    pub remember: Duration,
    /// What they log, as a filter's text; their own choice if none.
    pub log: Option<&'a str>,
    /// How long an executor takes for a request.
    pub work: fn(&Pull) -> Duration,
}

impl Default for Shape<'_> {
    fn default() -> Self {
        Shape {
            dispatchers: 3,
            with_peers: true,
            settings: super::SETTINGS,
            differing: &[],
            executors: EXECUTORS,
            kind: |_| "k",
            in_peers: "",
            beside: |_| String::new(),
            remember: REMEMBERS,
            log: None,
            work: super::quick,
        }
    }
}

/// An executor's name.
pub fn uid(n: usize) -> String {
    format!("s-{:08x}", n + 1)
}

impl World {
    /// Starts a fleet, and waits until all of its dispatchers serve.
    pub fn start(program: &Path, folder: &Path, shape: &Shape<'_>) -> Result<World, Failure> {
        let Shape { dispatchers, work, .. } = *shape;
        let mut executors = Vec::new();
        for _ in 0..shape.executors {
            executors.push(Executor::new(work)?);
        }
        let mut launch = Launch::new(program, folder);
        launch.sockets = 512;
        launch.log = shape.log.map(String::from);
        let mut world = World {
            launch,
            folder: folder.into(),
            feed: Feed::at("127.0.0.1:0", 1)?,
            executors,
            daemons: (0..dispatchers).map(|_| None).collect(),
            peers: BTreeMap::new(),
            executor_links: Vec::new(),
            doors: Arc::new(Mutex::new(vec![None; dispatchers])),
            operators: vec![None; dispatchers],
            in_peers: shape.in_peers.into(),
            remember: shape.remember,
            beside: shape.beside,
            platform: vec![shape.settings.into(); dispatchers],
            kind: shape.kind,
            with_peers: shape.with_peers,
            last_words: Vec::new(),
        };
        shape.differing.iter().for_each(|(i, settings)| world.tell_platform(*i, settings));
        for i in 0..dispatchers {
            std::fs::create_dir_all(world.own(i))?;
            let mut links = Vec::new();
            for e in &world.executors {
                let link = Link::new()?;
                link.leads_to(e.address);
                links.push(link);
            }
            world.executor_links.push(links);
            for j in (0..dispatchers).filter(|j| *j != i) {
                world.peers.insert((i, j), Link::new()?);
            }
        }
        (0..dispatchers).try_for_each(|i| world.restart(i))?;
        Ok(world)
    }

    fn settings_of(&self, i: usize) -> String {
        let mut text = String::from("peers {\n");
        let _ = writeln!(
            text,
            "  me = \"d{i}\"\n  listen = \"127.0.0.1:0\"\n  remember = \"{}s\"",
            self.remember.as_secs()
        );
        text.push_str(&self.in_peers);
        for j in 0..self.len() {
            // Its own address is asked by nobody.
            let own = SocketAddr::from(([127, 0, 0, 1], 1));
            let at = self.peers.get(&(i, j)).map_or(own, |l| l.address);
            let _ = writeln!(text, "  peer \"d{j}\" {{\n    address = \"{at}\"\n  }}");
        }
        text + "}\n" + &(self.beside)(i)
    }

    /// Starts one, or starts it anew.
    pub fn restart(&mut self, i: usize) -> Result<(), Failure> {
        let links = self.executor_links[i].iter().enumerate();
        let known: Vec<String> =
            links.map(|(n, l)| target_of(&uid(n), l.address, (self.kind)(n), "up")).collect();
        let name = format!("d{i}-{}", self.folder.display()).replace('/', "-");
        let own = self.own(i);
        let mut launch =
            Launch { folder: own.clone(), settings: self.platform[i].clone(), ..self.launch.clone() };
        let config = launch
            .config_of(self.feed.address, &known)
            .replace(r#""name":"t""#, &format!(r#""name":"{name}""#))
            .replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
        if self.with_peers {
            let file = own.join("settings.hcl");
            std::fs::write(&file, self.settings_of(i))?;
            launch = launch.with(&["--settings", &file.display().to_string()]);
        }
        let daemon = Daemon::start(&launch, &config)?;
        let at = daemon.address;
        let said = daemon.until(PATIENCE, |e| e.message().starts_with("operators' address "));
        let text = said.last().map_or("", |e| e.message()).trim_start_matches("operators' address ");
        self.operators[i] = text.parse().ok();
        if self.with_peers {
            let said = daemon.until(PATIENCE, |e| e.message().starts_with("peers' address "));
            let text = said.last().map_or("", |e| e.message()).trim_start_matches("peers' address ");
            let here: SocketAddr = text.parse().map_err(|_| "no word of the peers' address")?;
            for j in (0..self.len()).filter(|j| *j != i) {
                if let Some(link) = self.peers.get(&(j, i)) {
                    link.leads_to(here);
                }
            }
        }
        self.daemons[i] = Some(daemon);
        self.door(i, Some(at));
        Ok(())
    }
}
