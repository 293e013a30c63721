//! The dispatcher's program: how it is started, and what it says.

use super::*;

/// A started dispatcher; it is killed at the end if it still runs.
pub struct Dispatcher {
    /// The process.
    pub child: Child,
    /// Its configuration.
    pub config: String,
    /// The file that holds it.
    pub file: PathBuf,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Its log.
    log: Option<BufReader<std::process::ChildStderr>>,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Dispatcher {
    /// Sends it a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    /// Stands still, until [`Dispatcher::goes_on`]: what comes meanwhile comes in one moment, in its order. It
    /// rests before, so that nothing of what came earlier is still on its list of what is ready.
    pub fn stands_still(&self) {
        let stat = format!("/proc/{}/stat", self.child.id());
        let is = |state: &str| std::fs::read_to_string(&stat).is_ok_and(|s| s.contains(state));
        awaited("a process that rests", || is(") S "));
        self.signal("STOP");
        awaited("a process that stands still", || is(") T "));
    }

    /// Goes on after it stood still.
    pub fn goes_on(&self) {
        self.signal("CONT");
    }

    /// Whether it ends by itself and in order.
    pub fn ends(&mut self) -> bool {
        let mut status = None;
        awaited("the end of the program", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.is_some_and(|s| s.success())
    }

    /// Its operators' address, which it logs once after its start.
    pub fn operators_address(&mut self) -> SocketAddr {
        let line = self.logs("operators' address ");
        let (_, address) = line.split_once("operators' address ").unwrap();
        address.trim().parse().unwrap()
    }

    /// Takes its log, from where it was read to.
    pub fn take_log(&mut self) -> Option<BufReader<std::process::ChildStderr>> {
        self.log.take()
    }

    /// Reads its log until a line holds the text.
    pub fn logs(&mut self, text: &str) -> String {
        let (mut line, begun) = (String::new(), Instant::now());
        // Counters come every 10 s, so that it is looked at the clock from time to time.
        while !line.contains(text) {
            assert!(begun.elapsed() < PATIENCE, "no {text} in time");
            line.clear();
            let log = self.log.as_mut().expect("its log was taken");
            assert!(log.read_line(&mut line).unwrap() > 0, "no {text}");
        }
        line
    }
}

/// How to start the program: which file, where its configuration goes, and with what beside it.
#[derive(Debug, Clone)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// A folder for configuration files.
    pub folder: PathBuf,
    /// Arguments.
    pub arguments: Vec<String>,
    /// The settings of the configuration, as JSON.
    pub settings: String,
    /// Descriptors that it may use.
    pub sockets: usize,
    /// What it logs, as a filter's text; its own choice if none.
    pub log: Option<String>,
}

impl Launch {
    /// The program with no arguments and the stories' settings.
    pub fn new(program: impl Into<PathBuf>, folder: impl Into<PathBuf>) -> Launch {
        let (program, folder) = (program.into(), folder.into());
        Launch { program, folder, arguments: Vec::new(), settings: SETTINGS.into(), sockets: 256, log: None }
    }

    /// Adds arguments.
    pub fn with(mut self, arguments: &[&str]) -> Launch {
        self.arguments.extend(arguments.iter().map(|a| (*a).to_string()));
        self
    }

    /// Writes a configuration text to a file of its own.
    pub fn file(&self, config: &str) -> PathBuf {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = Path::new(&self.folder).join(format!("config-{}-{n}", std::process::id()));
        // An earlier process with this id may have left a pipe there, which would wait for a reader.
        let _ = std::fs::remove_file(&path);
        std::fs::write(&path, config).unwrap();
        path
    }

    /// Runs the program on a configuration text, from a file that is named too.
    pub fn spawn(&self, config: &str) -> (Child, PathBuf) {
        let path = self.file(config);
        let mut command = Command::new(&self.program);
        command
            .args(&self.arguments)
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &self.folder)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_NAME")
            .env_remove("OTTERCROFT_SETTINGS")
            .env_remove("OTTERCROFT_LOG_FORMAT")
            .env_remove("RUST_LOG");
        command.envs(self.log.iter().map(|filter| ("RUST_LOG", filter)));
        (command.stderr(Stdio::piped()).spawn().unwrap(), path)
    }

    /// The configuration of a dispatcher that follows a coordinator and knows these executors.
    pub fn config(&self, coordinator: SocketAddr, executors: &[(&str, SocketAddr)]) -> String {
        let targets: Vec<String> = executors.iter().map(|(uid, at)| target(uid, *at, "up")).collect();
        self.config_of(coordinator, &targets)
    }

    /// The same, with entries of the executors' list.
    pub fn config_of(&self, coordinator: SocketAddr, targets: &[String]) -> String {
        self.config_since(coordinator, 1, targets)
    }

    /// The same, where the list is that of a later event.
    pub fn config_since(&self, coordinator: SocketAddr, index: u64, targets: &[String]) -> String {
        let known = event(index, true, targets);
        format!(
            r#"{{"name":"t","listen":"127.0.0.1:0","seed":"1f","limits":{{"sockets":{}}},"coordinator":"{coordinator}",
            "known":{{"index":{index},"updates":[{known}]}},"settings":{},"more":0}}"#,
            self.sockets, self.settings
        )
    }

    /// The program with these executors known, and its coordinator, once it listens.
    pub fn dispatcher(&self, executors: &[(&str, SocketAddr)]) -> (Dispatcher, Coordinator) {
        let coordinator = Coordinator::new();
        let d = self.serving(&self.config(coordinator.address, executors));
        (d, coordinator)
    }

    /// The program on a configuration, once it listens.
    pub fn serving(&self, config: &str) -> Dispatcher {
        let (mut child, file) = self.spawn(config);
        let log = child.stderr.take().map(BufReader::new);
        let address = "127.0.0.1:0".parse().unwrap();
        let mut d = Dispatcher { child, config: config.into(), file, address, log };
        let line = d.logs(" listens on ");
        let after = line.split(" listens on ").nth(1).unwrap();
        let end = after.find([' ', '"']).unwrap_or(after.len());
        d.address = after[..end].trim().parse().unwrap();
        d
    }
}
