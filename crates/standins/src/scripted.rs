//! Scripted peers: a client, an executor, a coordinator, and the program between them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// No story takes this long unless something hangs.
const PATIENCE: Duration = Duration::from_secs(20);

/// Settings with one zone, one kind, a class that may be repeated and one that must not run twice.
pub const SETTINGS: &str = r#"{"areas":["a"],"balancers":1,"kinds":["k"],"domain":{"kindCores":[8],"memoryByKindMb":[16384],"parallelism":[1,2],"grantCap":0.4,"memoryHeeded":true,"takesPriority":true},"permissions":{"cancel":true,"maxAttempts":3,"mayDuplicate":true,"probes":true,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":0.25},"report":{"how":"on_probe"},"requestClasses":[{"name":"read","promise":5.0,"hardLimit":20.0,"effect":"read_like"},{"name":"load","promise":5.0,"hardLimit":20.0,"effect":"non_idempotent","keepOrder":true}],"rules":{"stopSendingWithin":2,"coldFrom":0.3,"rampTime":10,"fall":2,"fallMultiple":3},"zone":"a"}"#;

fn listener() -> (TcpListener, SocketAddr) {
    let l = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = l.local_addr().unwrap();
    (l, address)
}

/// The next connection; none that comes in time is a failed story.
fn accept(listener: &TcpListener) -> TcpStream {
    let begun = Instant::now();
    listener.set_nonblocking(true).unwrap();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return patient(stream);
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                assert!(begun.elapsed() < PATIENCE, "no connection in time");
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(e) => panic!("accept: {e}"),
        }
    }
}

fn patient(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// An entry of the executors' list, of kind `k`.
pub fn target(uid: &str, at: SocketAddr, state: &str) -> String {
    target_of(uid, at, "k", state)
}

/// An entry of the executors' list, of a kind.
pub fn target_of(uid: &str, at: SocketAddr, kind: &str, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{at}","az":"a","model":"{kind}","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":0}}"#
    )
}

/// A numbered event.
pub fn event(index: u64, all: bool, targets: &[String]) -> String {
    let list = targets.join(",");
    format!(r#"{{"index":{index},"endpoints":{{"rev":{index},"all":{all},"targets":[{list}]}}}}"#)
}

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
        let known = event(1, true, targets);
        format!(
            r#"{{"name":"t","listen":"127.0.0.1:0","seed":"1f","limits":{{"sockets":{}}},"coordinator":"{coordinator}",
            "known":{{"index":1,"updates":[{known}]}},"settings":{},"more":0}}"#,
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

/// A coordinator that says what a test has it say.
pub struct Coordinator {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Default for Coordinator {
    fn default() -> Coordinator {
        Coordinator::new()
    }
}

impl Coordinator {
    /// Listens on a port of its own.
    pub fn new() -> Coordinator {
        let (listener, address) = listener();
        Coordinator { listener, address }
    }

    /// The next connection, with the line that it begins with.
    pub fn accept(&self) -> (TcpStream, String) {
        let stream = accept(&self.listener);
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).unwrap();
        (stream, line)
    }
}

/// An executor's listener.
pub struct Executor {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Default for Executor {
    fn default() -> Executor {
        Executor::new()
    }
}

impl Executor {
    /// Listens on a port of its own.
    pub fn new() -> Executor {
        let (listener, address) = listener();
        Executor { listener, address }
    }

    /// The next connection of a dispatcher.
    pub fn accept(&self) -> Peer {
        Peer(BufReader::new(accept(&self.listener)))
    }
}

/// One connection of a dispatcher to an executor.
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    /// The next command, probes answered on the way; a pull's statement is its last word. None at the end.
    pub fn command(&mut self) -> Option<Vec<String>> {
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let mut words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
            match words[0].as_str() {
                "METER" => self.say(&format!("{} UP gauges=inflight:0;x0:0;x1:0 0\r\n\r\n", words[1])),
                "PULL" => {
                    let mut statement = vec![0; words[3].parse::<usize>().unwrap() + 2];
                    self.0.read_exact(&mut statement).unwrap();
                    words[3] = String::from_utf8(statement).unwrap().trim_end_matches("\r\n").into();
                    return Some(words);
                }
                _ => return Some(words),
            }
        }
    }

    /// Says this as it stands; a dispatcher that has gone does not matter.
    pub fn say(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// A page of rows under an id.
    pub fn page(&mut self, id: &str, head: &str, rows: &str) {
        self.say(&format!("{id} {head} {}\r\n{rows}\r\n", rows.len()));
    }
}

/// What a client got.
#[derive(Debug, PartialEq)]
pub enum Got {
    /// OK without rows.
    Ok,
    /// Rows of text.
    Rows(Vec<Vec<String>>),
    /// An error: number and text.
    Error(u16, String),
    /// The end of the connection.
    Closed,
}

/// A client of the MySQL protocol.
pub struct Client {
    /// Its connection.
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

fn query(sql: &str) -> Vec<u8> {
    packet(0, &[b"\x03", sql.as_bytes()].concat())
}

impl Client {
    /// Connects, and writes login and first statement before it has read anything.
    pub fn says(to: SocketAddr, sql: &str) -> Client {
        let mut stream = patient(TcpStream::connect(to).unwrap());
        let mut login = (0x200u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
        login.extend_from_slice(&[0; 28]);
        login.extend_from_slice(b"app\0\0main\0");
        let _ = stream.write_all(&[packet(1, &login), query(sql)].concat());
        let mut client = Client { stream, id: 0 };
        if let Some((_, greeting)) = client.packet() {
            let at = greeting.iter().position(|b| *b == 0).unwrap() + 1;
            client.id = u32::from_le_bytes(greeting[at..at + 4].try_into().unwrap());
        }
        client
    }

    /// Connects, logs in and asks, none of it for longer than a time; `None` if nobody takes it.
    pub fn dials(to: SocketAddr, sql: &str, connect: Duration, answer: Duration) -> Option<Client> {
        let mut stream = TcpStream::connect_timeout(&to, connect).ok()?;
        stream.set_read_timeout(Some(answer)).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut login = (0x200u32 | 0x8000 | 0x8).to_le_bytes().to_vec();
        login.extend_from_slice(&[0; 28]);
        login.extend_from_slice(b"app\0\0main\0");
        stream.write_all(&[packet(1, &login), query(sql)].concat()).ok()?;
        let mut client = Client { stream, id: 0 };
        let (_, greeting) = client.packet()?;
        let at = greeting.iter().position(|b| *b == 0)? + 1;
        client.id = u32::from_le_bytes(greeting.get(at..at + 4)?.try_into().ok()?);
        (client.got() == Got::Ok).then_some(client)
    }

    /// The same, and logs in.
    pub fn asks(to: SocketAddr, sql: &str) -> Client {
        let mut client = Client::says(to, sql);
        assert_eq!(client.got(), Got::Ok);
        client
    }

    /// Writes a query.
    pub fn ask(&mut self, sql: &str) {
        self.stream.write_all(&query(sql)).unwrap();
    }

    fn packet(&mut self) -> Option<(u8, Vec<u8>)> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
        self.stream.read_exact(&mut body).ok()?;
        Some((head[3], body))
    }

    /// One whole answer; every packet has to carry the next sequence id.
    pub fn got(&mut self) -> Got {
        let Some((mut last, body)) = self.packet() else { return Got::Closed };
        match body[0] {
            0 => return Got::Ok,
            0xff => {
                let code = u16::from_le_bytes([body[1], body[2]]);
                return Got::Error(code, String::from_utf8_lossy(&body[9..]).into_owned());
            }
            _ => {}
        }
        let (mut rows, mut ends) = (Vec::new(), 0);
        while ends < 2 {
            let Some((sequence, body)) = self.packet() else { return Got::Closed };
            last = last.wrapping_add(1);
            assert_eq!(sequence, last, "sequence id");
            match (body[0] == 0xfe && body.len() == 5, ends) {
                (true, _) => ends += 1,
                (false, 0) => {}
                (false, _) => {
                    let (mut cells, mut rest) = (Vec::new(), &body[..]);
                    while let Some((n, tail)) = rest.split_first() {
                        let (cell, tail) = tail.split_at(usize::from(*n));
                        cells.push(String::from_utf8(cell.to_vec()).unwrap());
                        rest = tail;
                    }
                    rows.push(cells);
                }
            }
        }
        Got::Rows(rows)
    }
}
