//! Stand-ins for the review's cases, on the standard library alone: executors, a coordinator, MySQL clients, links
//! between dispatchers, and the dispatcher processes themselves.
//!
//! Everything that is sent, answered and run is written to the case's record.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code: the rule held.
pub const HELD: i32 = 0;
/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The case's record: one line an event, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Sleeps until so many seconds after the start.
    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// What a case is given by its script.
pub struct Case {
    pub record: Record,
    /// Whether the disruption is to happen.
    pub trouble: bool,
    /// The deploy file's command of a dispatcher.
    pub run: String,
    /// The repository's root, from which the command is run.
    pub root: PathBuf,
    /// A temporary folder of this run.
    pub work: PathBuf,
}

impl Case {
    pub fn from_environment() -> Case {
        let variable = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} is not set"));
        Case {
            record: Record::create(Path::new(&variable("CASE_RECORD"))),
            trouble: variable("TROUBLE") != "0",
            run: variable("CASE_RUN"),
            root: PathBuf::from(variable("CASE_ROOT")),
            work: PathBuf::from(variable("CASE_WORK")),
        }
    }

    /// Notes the verdict and ends the process. Children were killed by then, as their owners are dropped.
    pub fn finish(&self, code: i32, verdict: &str) -> ! {
        self.record.line(format!("verdict: {verdict} (exit code {code})"));
        println!("{verdict}");
        std::process::exit(code);
    }
}

/// A free port of a loopback address. Each party has an address of its own, on which no outgoing connection begins.
pub fn free_address(host: &str) -> SocketAddr {
    static TAKEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("its address");
        if lock(&TAKEN).insert(address) {
            return address;
        }
    }
}

// ---------------------------------------------------------------------------------------------- dispatcher

/// A dispatcher's configuration and process.
pub struct Dispatcher {
    pub name: String,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    /// Our own settings (HCL), if any.
    pub options: Option<String>,
    /// The platform's configuration but for `name`, `listen`, `operator` and `seed`.
    pub config: String,
    /// What its files are named after.
    pub label: String,
    /// Hex digits for random draws: new with each start unless they are set here.
    pub seed: Option<String>,
    pub child: Option<Child>,
    starts: u32,
}

impl Dispatcher {
    pub fn new(name: &str, host: &str, config: String, options: Option<String>) -> Dispatcher {
        Dispatcher {
            name: name.into(),
            listen: free_address(host),
            operator: free_address(host),
            options,
            config,
            label: name.into(),
            seed: None,
            child: None,
            starts: 0,
        }
    }

    /// Starts the deploy file's command, as the platform does.
    pub fn start(&mut self, case: &Case) {
        let temporary = case.work.join(format!("{}-tmp-{}", self.label, self.starts));
        fs::create_dir_all(&temporary).expect("a temporary folder");
        self.start_in(case, &temporary);
    }

    /// The same with a given `$TMPDIR`.
    pub fn start_in(&mut self, case: &Case, temporary: &Path) {
        let start = self.starts;
        self.starts += 1;
        let drawn = format!("{:016x}", unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(start));
        let seed = self.seed.clone().unwrap_or(drawn);
        let text = format!(
            r#"{{"name":"{}","listen":"{}","operator":"{}","seed":"{seed}",{}}}"#,
            self.name, self.listen, self.operator, self.config
        );
        let file = case.work.join(format!("{}-{start}.json", self.label));
        fs::write(&file, text).expect("a configuration file");
        let log = File::create(case.work.join(format!("{}-{start}.log", self.label))).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &case.run])
            .current_dir(&case.root)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_OPERATOR", self.operator.to_string())
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", temporary)
            .env_remove("OTTERCROFT_SETTINGS")
            .env_remove("OTTERCROFT_LOG_FORMAT")
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        if let Some(options) = &self.options {
            let file = case.work.join(format!("{}-{start}.hcl", self.label));
            fs::write(&file, options).expect("a settings file");
            command.env("OTTERCROFT_SETTINGS", &file);
        }
        let child = command.spawn().expect("the dispatcher can be started");
        let pids = fs::OpenOptions::new().create(true).append(true).open(case.work.join("pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        case.record.line(format!("dispatcher {}: started (process {})", self.label, child.id()));
        self.child = Some(child);
    }

    /// Waits until it answers COM_PING with OK; false if it does not in time.
    pub fn await_ready(&self, case: &Case, limit: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if Client::connect(self.listen).is_some_and(|mut client| client.ping()) {
                case.record.line(format!("dispatcher {}: ready", self.label));
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, name: &str, record: &Record) {
        let Some(child) = &self.child else { return };
        record.line(format!("dispatcher {}: SIG{name}", self.label));
        let _ = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
    }

    /// SIGKILL, and waits for the end of the process.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.line(format!("dispatcher {}: killed", self.label));
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// One call at its operators' address; its answer, empty if there is none.
    pub fn call(&self, line: &str, record: &Record) -> String {
        let answer = operator_call(self.operator, line).unwrap_or_default();
        let first = answer.lines().next().unwrap_or("(no answer)").to_string();
        record.line(format!("operator at {}: {line} -> {first}", self.label));
        answer
    }

    /// The same without a line in the record.
    pub fn quiet_call(&self, line: &str) -> String {
        operator_call(self.operator, line).unwrap_or_default()
    }

    /// Whether any of its logs holds a text.
    pub fn logged(&self, case: &Case, text: &str) -> bool {
        self.count_logged(case, text) > 0
    }

    /// How many lines of its logs hold a text.
    pub fn count_logged(&self, case: &Case, text: &str) -> usize {
        let read =
            |n| fs::read_to_string(case.work.join(format!("{}-{n}.log", self.label))).unwrap_or_default();
        (0..self.starts).map(|n| read(n).lines().filter(|line| line.contains(text)).count()).sum()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn operator_call(to: SocketAddr, line: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    Ok(answer)
}

// ------------------------------------------------------------------------------------------------- client

/// What a client got.
#[derive(Debug, Clone, PartialEq)]
pub enum Got {
    Ok,
    Rows(usize),
    Error(u16, String),
    Closed,
    /// Nothing in the time that it waits.
    Nothing,
}

impl Got {
    /// Whether the dispatcher promised that trying again is harmless.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Got::Error(1040 | 1203 | 1226, _))
    }
}

impl std::fmt::Display for Got {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Got::Ok => write!(f, "OK"),
            Got::Rows(n) => write!(f, "served, {n} rows"),
            Got::Error(code, text) if self.is_refusal() => write!(f, "refused, {code}: {text}"),
            Got::Error(code, text) => write!(f, "failed, {code}: {text}"),
            Got::Closed => write!(f, "connection ended"),
            Got::Nothing => write!(f, "no answer in time"),
        }
    }
}

/// A client of the MySQL protocol.
pub struct Client {
    pub stream: TcpStream,
    /// The connection id of the greeting.
    pub id: u32,
}

fn packet(sequence: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_le_bytes()[..3].to_vec();
    bytes.push(sequence);
    bytes.extend_from_slice(body);
    bytes
}

impl Client {
    /// Connects and logs in; `None` if it is not let in.
    pub fn connect(to: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let mut client = Client { stream, id: 0 };
        let (_, greeting) = client.packet().ok()?;
        let end = greeting.iter().position(|b| *b == 0)?;
        client.id = u32::from_le_bytes(greeting.get(end + 1..end + 5)?.try_into().ok()?);
        let mut body = (0x200_u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
        body.extend_from_slice(&[0; 28]);
        body.extend_from_slice(b"app\0\0main\0");
        client.stream.write_all(&packet(1, &body)).ok()?;
        (client.answer(Duration::from_secs(3)) == Got::Ok).then_some(client)
    }

    pub fn ping(&mut self) -> bool {
        self.stream.write_all(&packet(0, &[14])).is_ok() && self.answer(Duration::from_secs(2)) == Got::Ok
    }

    /// Writes a query.
    pub fn ask(&mut self, sql: &str) -> bool {
        self.stream.write_all(&packet(0, &[b"\x03", sql.as_bytes()].concat())).is_ok()
    }

    fn packet(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head)?;
        let mut body = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
        self.stream.read_exact(&mut body)?;
        Ok((head[3], body))
    }

    /// One whole answer, or what came instead within a time.
    pub fn answer(&mut self, patience: Duration) -> Got {
        let _ = self.stream.set_read_timeout(Some(patience.max(Duration::from_millis(1))));
        self.read_answer().unwrap_or_else(|error| match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Got::Nothing,
            _ => Got::Closed,
        })
    }

    fn read_answer(&mut self) -> io::Result<Got> {
        let (_, body) = self.packet()?;
        match body.first() {
            Some(0) => return Ok(Got::Ok),
            Some(0xff) if body.len() >= 9 => {
                let code = u16::from_le_bytes([body[1], body[2]]);
                return Ok(Got::Error(code, String::from_utf8_lossy(&body[9..]).into_owned()));
            }
            _ => {}
        }
        let (mut rows, mut ends) = (0, 0);
        while ends < 2 {
            let (_, body) = self.packet()?;
            if body.first() == Some(&0xfe) && body.len() == 5 {
                ends += 1;
            } else if ends == 1 {
                rows += 1;
            }
        }
        Ok(Got::Rows(rows))
    }
}

/// A new request id, never given twice in a run.
pub fn new_id() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::SeqCst) + 1;
    (unix_ms() << 20) ^ n.wrapping_mul(0x0000_0100_0000_01b3)
}

/// One request on a connection of its own: what its client got, within its budget.
pub fn ask_once(to: SocketAddr, sql: &str, budget: Duration) -> Got {
    let Some(mut client) = Client::connect(to) else { return Got::Closed };
    if client.ask(sql) { client.answer(budget) } else { Got::Closed }
}

// ----------------------------------------------------------------------------------------------- executor

/// How an executor's run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It ran to its end.
    Whole,
    /// It was given up after it had begun.
    GivenUp,
}

/// A request that reached an executor whole.
#[derive(Debug, Clone)]
pub struct Pull {
    pub id: String,
    pub fields: String,
    pub statement: String,
    /// Seconds since the start of the case.
    pub at: f64,
    pub ended: Option<(f64, End)>,
}

impl Pull {
    pub fn class(&self) -> &str {
        self.fields.split(',').find_map(|field| field.strip_prefix("kind=")).unwrap_or("")
    }
}

type Work = dyn Fn(&Pull) -> Duration + Send + Sync;

struct ExecutorShared {
    uid: String,
    record: Record,
    work: Box<Work>,
    pulls: Mutex<Vec<Pull>>,
    streams: Mutex<BTreeMap<u64, TcpStream>>,
    next: AtomicU64,
    running: AtomicU64,
    /// Classes whose runs are written to the record.
    noted: Vec<String>,
}

/// An executor: it runs all that it is sent at once and answers after a while.
pub struct Executor {
    pub uid: String,
    pub address: SocketAddr,
    shared: Arc<ExecutorShared>,
    listening: Mutex<Option<Arc<AtomicBool>>>,
}

impl Executor {
    /// Listens on a port of its own; `work` tells how long a request takes, `noted` which classes the record names.
    pub fn new(
        uid: &str,
        host: &str,
        record: &Record,
        noted: &[&str],
        work: impl Fn(&Pull) -> Duration + Send + Sync + 'static,
    ) -> Executor {
        let shared = Arc::new(ExecutorShared {
            uid: uid.into(),
            record: record.clone(),
            work: Box::new(work),
            pulls: Mutex::default(),
            streams: Mutex::default(),
            next: AtomicU64::new(0),
            running: AtomicU64::new(0),
            noted: noted.iter().map(|class| (*class).to_string()).collect(),
        });
        let address = free_address(host);
        let executor = Executor { uid: uid.into(), address, shared, listening: Mutex::new(None) };
        executor.start();
        executor
    }

    /// Listens; after [`Executor::stop`] as a new process.
    pub fn start(&self) {
        let listener = TcpListener::bind(self.address).expect("the executor's address");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let open = Arc::new(AtomicBool::new(true));
        *lock(&self.listening) = Some(open.clone());
        let shared = self.shared.clone();
        thread::spawn(move || {
            while open.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let shared = shared.clone();
                        thread::spawn(move || serve_connection(stream, &shared));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// The process ends: its connections end and new ones are refused.
    pub fn stop(&self) {
        if let Some(open) = lock(&self.listening).take() {
            open.store(false, Ordering::SeqCst);
        }
        for stream in std::mem::take(&mut *lock(&self.shared.streams)).into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.record.line(format!("executor {}: its process ends", self.uid));
        thread::sleep(Duration::from_millis(20));
    }

    pub fn pulls(&self) -> Vec<Pull> {
        lock(&self.shared.pulls).clone()
    }
}

struct Back {
    to: Mutex<TcpStream>,
    killed: Mutex<BTreeSet<String>>,
    over: AtomicBool,
}

fn serve_connection(stream: TcpStream, shared: &Arc<ExecutorShared>) {
    let Ok(for_end) = stream.try_clone() else { return };
    let number = shared.next.fetch_add(1, Ordering::SeqCst);
    lock(&shared.streams).insert(number, for_end);
    let _ = stream.set_nodelay(true);
    if let Ok(from) = stream.try_clone() {
        let back =
            Arc::new(Back { to: Mutex::new(stream), killed: Mutex::default(), over: AtomicBool::new(false) });
        let _ = serve_commands(&mut BufReader::new(from), shared, &back);
        back.over.store(true, Ordering::SeqCst);
    }
    lock(&shared.streams).remove(&number);
}

fn serve_commands(
    from: &mut BufReader<TcpStream>,
    shared: &Arc<ExecutorShared>,
    back: &Arc<Back>,
) -> io::Result<()> {
    let mut line = String::new();
    while from.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["METER" | "ECHO", tag] => {
                let running = shared.running.load(Ordering::SeqCst);
                let report = format!("{tag} UP gauges=inflight:{running};x1:0.0;x0:0.0 0\r\n\r\n");
                lock(&back.to).write_all(report.as_bytes())?;
            }
            ["PULL", id, fields, length] => {
                let length: usize = length.parse().map_err(|_| io::Error::other("length"))?;
                let mut statement = vec![0; length + 2];
                from.read_exact(&mut statement)?;
                let statement = String::from_utf8_lossy(&statement[..length]).into_owned();
                let at = shared.record.now();
                run(Pull { id: id.into(), fields: fields.into(), statement, at, ended: None }, shared, back);
            }
            ["KILL", id] => {
                lock(&back.killed).insert(id.to_string());
            }
            _ => {} // BOOST, SCROLL and DISCARD need nothing: results have one page.
        }
        line.clear();
    }
    Ok(())
}

/// Runs a request on a thread of its own.
fn run(pull: Pull, shared: &Arc<ExecutorShared>, back: &Arc<Back>) {
    let (shared, back) = (shared.clone(), back.clone());
    let place = {
        let mut pulls = lock(&shared.pulls);
        pulls.push(pull.clone());
        pulls.len() - 1
    };
    let noted = shared.noted.iter().any(|class| class == pull.class());
    if noted {
        shared.record.line(format!(
            "executor {}: request {} reached it whole and begins: {}",
            shared.uid, pull.id, pull.statement
        ));
    }
    shared.running.fetch_add(1, Ordering::SeqCst);
    thread::spawn(move || {
        let end = Instant::now() + (shared.work)(&pull);
        let mut given_up = false;
        while !given_up && Instant::now() < end {
            thread::sleep(end.saturating_duration_since(Instant::now()).min(Duration::from_millis(5)));
            given_up = lock(&back.killed).contains(&pull.id) || back.over.load(Ordering::SeqCst);
        }
        shared.running.fetch_sub(1, Ordering::SeqCst);
        let how = if given_up { End::GivenUp } else { End::Whole };
        lock(&shared.pulls)[place].ended = Some((shared.record.now(), how));
        if noted {
            shared.record.line(format!("executor {}: request {} ends: {how:?}", shared.uid, pull.id));
        }
        if given_up {
            return;
        }
        let rows = "a\tb\tc\n";
        let answer = format!("{} OK pages=1 {}\r\n{rows}\r\n", pull.id, rows.len());
        let _ = lock(&back.to).write_all(answer.as_bytes());
    });
}

/// An entry of the executors' list.
pub fn target(executor: &Executor, zone: &str, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{}","endpoint":"{}","az":"{zone}","model":"ocho-nucleos","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":{boot_ms}}}"#,
        executor.uid, executor.address
    )
}

/// A numbered event of the coordinator.
pub fn event(index: u64, all: bool, targets: &[String]) -> String {
    let targets = targets.join(",");
    format!(r#"{{"index":{index},"endpoints":{{"rev":{index},"all":{all},"targets":[{targets}]}}}}"#)
}

// -------------------------------------------------------------------------------------------- coordinator

/// A coordinator that pushes its events to whoever follows it.
pub struct Coordinator {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
}

impl Coordinator {
    /// Begins with the list of the start, which is event 1.
    pub fn new(host: &str, first: String) -> Coordinator {
        let listener = TcpListener::bind((host, 0)).expect("the coordinator's address");
        let address = listener.local_addr().expect("its address");
        let events = Arc::new(Mutex::new(vec![first]));
        let shared = events.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = shared.clone();
                thread::spawn(move || tell(stream, &events));
            }
        });
        Coordinator { address, events }
    }

    /// Appends a change of the list.
    pub fn change(&self, targets: &[String]) {
        let mut events = lock(&self.events);
        let index = events.len() as u64 + 1;
        events.push(event(index, false, targets));
    }
}

fn tell(mut stream: TcpStream, events: &Mutex<Vec<String>>) {
    let Ok(from) = stream.try_clone() else { return };
    let mut line = String::new();
    let _ = BufReader::new(from).read_line(&mut line);
    let Some(Ok(mut told)) = line.trim().strip_prefix("follow ").map(str::parse::<usize>) else { return };
    let _ = stream.set_nodelay(true);
    let mut last_number = Instant::now() - Duration::from_secs(1);
    loop {
        let (new, last) = {
            let events = lock(events);
            (events.get(told..).unwrap_or_default().to_vec(), events.len())
        };
        for event in new {
            told += 1;
            if stream.write_all(format!("{event}\n").as_bytes()).is_err() {
                return;
            }
        }
        if last_number.elapsed() >= Duration::from_secs(1) {
            last_number = Instant::now();
            if stream.write_all(format!("{last}\n").as_bytes()).is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}

// --------------------------------------------------------------------------------------------------- link

/// A one-way link between two dispatchers: connections to its address lead to another one. While it is silent, nothing
/// passes and nothing ends.
pub struct Link {
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Link {
    pub fn new(host: &str, to: SocketAddr) -> Link {
        let listener = TcpListener::bind((host, 0)).expect("the link's address");
        let address = listener.local_addr().expect("its address");
        let silent = Arc::new(AtomicBool::new(false));
        let shared = silent.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let silent = shared.clone();
                thread::spawn(move || forward(near, to, &silent));
            }
        });
        Link { address, silent }
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }
}

fn await_clear(silent: &AtomicBool) {
    while silent.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10));
    }
}

fn forward(near: TcpStream, to: SocketAddr, silent: &Arc<AtomicBool>) {
    await_clear(silent);
    let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (Ok(near_back), Ok(far_back)) = (near.try_clone(), far.try_clone()) else { return };
    let back = silent.clone();
    thread::spawn(move || pass(far_back, near_back, &back));
    pass(near, far, silent);
}

fn pass(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let read = from.read(&mut bytes);
        await_clear(silent);
        match read {
            Ok(n) if n > 0 && to.write_all(&bytes[..n]).is_ok() => {}
            _ => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

// ----------------------------------------------------------------------------------------------- settings

/// The settings of a small deployment: one zone, executors of one kind with 8 cores, three classes.
pub fn settings(dispatchers: usize) -> String {
    format!(
        r#""settings":{{"areas":["sala-norte"],"zone":"sala-norte","balancers":{dispatchers},"kinds":["ocho-nucleos"],
  "domain":{{"classLoad":[false,false,true],"yieldsToLoads":[true,true,false],"parallelism":[1,4,2],"kindCores":[8],
    "memoryByKindMb":[16384],"grantCap":0.4,"memoryHeeded":true,"takesPriority":true,"onShortage":"queue","progressPace":0}},
  "permissions":{{"cancel":true,"connIdle":30.0,"dialTimeout":0.25,"maxAttempts":6,"maxRetryAfter":1.0,"mayDuplicate":true,
    "mostHeld":20000,"probes":true,"retryAfter":true,"streamsPerConn":100}},
  "report":{{"how":"on_probe","fields":["concurrent","x1","x0"]}},
  "requestClasses":[
    {{"name":"short","promise":1.2,"aimStretch":1.5,"hardLimit":6.0,"effect":"read_like","credit":1}},
    {{"name":"report","promise":1.5,"aimStretch":2.5,"hardLimit":20.0,"effect":"read_like","credit":6,"lateWorth":0.3}},
    {{"name":"load","promise":3.0,"aimStretch":3.0,"hardLimit":25.0,"effect":"non_idempotent","credit":10,"lateWorth":0.6,"keepOrder":true}}],
  "rules":{{"stopSendingWithin":2.0,"coldFrom":0.3,"rampTime":15.0,"fall":2.0,"fallMultiple":3.0}}}}"#
    )
}

/// The configuration of a dispatcher but for its name, addresses and seed.
pub fn config(coordinator: &Coordinator, first: &str, dispatchers: usize) -> String {
    format!(
        r#""limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"coordinator":"{}","known":{{"index":1,"updates":[{first}]}},{}"#,
        coordinator.address,
        settings(dispatchers)
    )
}

/// The `peers` block of one dispatcher, with the defaults of the fleet's settings file in `deploy`. `others` has the
/// names of all and the addresses at which this one reaches them.
pub fn peers(me: &str, listen: SocketAddr, others: &[(&str, SocketAddr)], more: &str) -> String {
    let block =
        |(name, at): &(&str, SocketAddr)| format!("  peer \"{name}\" {{\n    address = \"{at}\"\n  }}\n");
    let blocks: String = others.iter().map(block).collect();
    format!(
        "peers {{\n  me = \"{me}\"\n  listen = \"{listen}\"\n{blocks}  lease = \"1s\"\n  margin = \"100ms\"\n  tick = \"30ms\"\n  batch = \"10ms\"\n  give_up = \"10s\"\n  remember = \"30s\"\n{more}}}\n"
    )
}
