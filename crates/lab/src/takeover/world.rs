//! A fleet: dispatchers, motores, and a link between every two that talk.

use crate::daemon::{Daemon, Event};
use standins::engine::Engine;
use standins::feed::Feed;
use standins::link::{Link, Weather};
use standins::scripted::Launch;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

/// Motores of a fleet.
pub const MOTORES: usize = 6;
/// How long ended loads are remembered: longer than a client goes on asking.
pub const REMEMBERS: Duration = Duration::from_secs(16);
/// No start takes this long unless something hangs.
const PATIENCE: Duration = Duration::from_secs(20);

/// Where the dispatchers take clients now; `None` while one is down.
pub type Doors = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// A fleet on loopback.
pub struct World {
    launch: Launch,
    folder: PathBuf,
    feed: Feed,
    /// The motores.
    pub engines: Vec<Engine>,
    daemons: Vec<Option<Daemon>>,
    /// From one dispatcher to another.
    peers: BTreeMap<(usize, usize), Link>,
    /// From a dispatcher to a motor.
    motores: Vec<Vec<Link>>,
    /// Where clients go.
    pub doors: Doors,
    /// The operators' addresses.
    operators: Vec<Option<SocketAddr>>,
    /// What the settings say of maintenance.
    maintenance: String,
    /// Whether the dispatchers have peers at all.
    with_peers: bool,
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
    /// Motores.
    pub motores: usize,
    /// What their own settings say of maintenance.
    pub maintenance: &'a str,
    /// How long a motor takes for a request.
    pub work: fn(&standins::engine::Pull) -> Duration,
}

/// A motor's name.
pub fn uid(n: usize) -> String {
    format!("s-{:08x}", n + 1)
}

impl World {
    /// Starts a fleet of so many dispatchers, and waits until all of them serve.
    pub fn start(
        program: &std::path::Path,
        folder: &std::path::Path,
        shape: &Shape<'_>,
    ) -> Result<World, Box<dyn Error>> {
        let Shape { dispatchers, with_peers, settings, motores, maintenance, work } = *shape;
        std::fs::create_dir_all(folder)?;
        let mut engines = Vec::new();
        for _ in 0..motores {
            engines.push(Engine::new(work)?);
        }
        let mut launch = Launch::new(program, folder);
        launch.settings = settings.into();
        launch.sockets = 512;
        let mut world = World {
            launch,
            folder: folder.into(),
            feed: Feed::at("127.0.0.1:0", 1)?,
            engines,
            daemons: (0..dispatchers).map(|_| None).collect(),
            peers: BTreeMap::new(),
            motores: Vec::new(),
            doors: Arc::new(Mutex::new(vec![None; dispatchers])),
            operators: vec![None; dispatchers],
            maintenance: maintenance.into(),
            with_peers,
        };
        for i in 0..dispatchers {
            let mut links = Vec::new();
            for e in &world.engines {
                let link = Link::new()?;
                link.leads_to(e.address);
                links.push(link);
            }
            world.motores.push(links);
            for j in (0..dispatchers).filter(|j| *j != i) {
                world.peers.insert((i, j), Link::new()?);
            }
        }
        (0..dispatchers).try_for_each(|i| world.restart(i))?;
        Ok(world)
    }

    /// How many dispatchers there are.
    pub fn len(&self) -> usize {
        self.daemons.len()
    }

    fn settings_of(&self, i: usize) -> String {
        let mut text = String::from("peers {\n");
        let _ = writeln!(
            text,
            "  me = \"d{i}\"\n  listen = \"127.0.0.1:0\"\n  remember = \"{}s\"",
            REMEMBERS.as_secs()
        );
        text.push_str(&self.maintenance);
        for j in 0..self.len() {
            // Its own address is asked by nobody.
            let own = SocketAddr::from(([127, 0, 0, 1], 1));
            let at = self.peers.get(&(i, j)).map_or(own, |l| l.address);
            let _ = writeln!(text, "  peer \"d{j}\" {{\n    address = \"{at}\"\n  }}");
        }
        text + "}\n"
    }

    /// Starts one, or starts it anew.
    pub fn restart(&mut self, i: usize) -> Result<(), Box<dyn Error>> {
        let known: Vec<(String, SocketAddr)> =
            self.motores[i].iter().enumerate().map(|(n, l)| (uid(n), l.address)).collect();
        let known: Vec<(&str, SocketAddr)> = known.iter().map(|(u, a)| (u.as_str(), *a)).collect();
        let name = format!("d{i}-{}", self.folder.display()).replace('/', "-");
        let config = self
            .launch
            .config(self.feed.address, &known)
            .replace(r#""name":"t""#, &format!(r#""name":"{name}""#))
            .replace(r#""more":0"#, r#""operator":"127.0.0.1:0""#);
        let mut launch = self.launch.clone();
        if self.with_peers {
            let file = self.folder.join(format!("d{i}.hcl"));
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

    fn door(&self, i: usize, at: Option<SocketAddr>) {
        self.doors.lock().unwrap_or_else(PoisonError::into_inner)[i] = at;
    }

    /// One call at the operators' address of a dispatcher; empty if it is down.
    pub fn call(&self, i: usize, line: &str) -> String {
        let Some(at) = self.operators[i].filter(|_| self.daemons[i].is_some()) else { return String::new() };
        let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else {
            return String::new();
        };
        let mut answer = String::new();
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
        answer
    }

    /// Tells all dispatchers what the list says of a motor, which they reach without a link from then on.
    pub fn list(&self, motor: usize, state: &str, boot_ms: u64) {
        let entry = standins::scripted::target(&uid(motor), self.engines[motor].address, state);
        self.feed.tell(false, &[entry.replace(r#""boot_ms":0"#, &format!(r#""boot_ms":{boot_ms}"#))]);
    }

    /// Waits until every dispatcher that runs has a lease, by its log.
    pub fn settled(&self, what: &mut dyn FnMut(usize, &Event)) -> bool {
        let end = Instant::now() + PATIENCE;
        let mut held = vec![!self.with_peers; self.len()];
        while Instant::now() < end {
            for (i, d) in self.daemons.iter().enumerate() {
                let Some(d) = d else { continue };
                while let Some(e) = d.event(Duration::from_millis(1)) {
                    held[i] |= e.message() == "fleet: lease held";
                    what(i, &e);
                }
            }
            if held.iter().all(|h| *h) {
                return true;
            }
        }
        false
    }

    /// Hands on what the logs say since they were last read.
    pub fn read_logs(&self, what: &mut dyn FnMut(usize, &Event)) {
        for (i, d) in self.daemons.iter().enumerate() {
            let Some(d) = d else { continue };
            while let Some(e) = d.event(Duration::ZERO) {
                what(i, &e);
            }
        }
    }

    /// Kills one at once; when that was.
    pub fn kill(&mut self, i: usize) -> SystemTime {
        self.door(i, None);
        let at = SystemTime::now();
        if let Some(d) = self.daemons[i].take() {
            d.kill();
        }
        at
    }

    /// Stops one, or lets it go on.
    pub fn pause(&self, i: usize, stop: bool) {
        if let Some(d) = &self.daemons[i] {
            d.signal(if stop { "STOP" } else { "CONT" });
        }
    }

    /// The weather on the links of one to its peers and back; `only_in` leaves the way from it clear.
    pub fn peers(&self, i: usize, weather: Weather, only_in: bool) {
        for ((from, to), link) in &self.peers {
            if *to == i || (*from == i && !only_in) {
                link.set(weather);
            }
        }
    }

    /// The weather on the links of one to every second motor.
    pub fn motores(&self, i: usize, weather: Weather) {
        self.motores[i].iter().step_by(2).for_each(|l| l.set(weather));
    }

    /// Processor time that the dispatchers have used so far, in seconds.
    pub fn cpu_s(&self) -> f64 {
        self.daemons.iter().flatten().map(Daemon::cpu_s).sum()
    }

    /// Ends all of them in order; whether all ended well.
    pub fn end(mut self) -> bool {
        self.daemons.drain(..).flatten().all(Daemon::stop)
    }
}
