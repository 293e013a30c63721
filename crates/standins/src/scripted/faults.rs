//! What goes wrong on sockets, brought about every time: resets, backlogs that are full, addresses that refuse.

use super::*;
use socket2::{Domain, SockRef, Socket, Type};

/// Waits until something holds; what never does is a failed story.
pub fn awaited(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "never came: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until so many connections to an address wait to come up.
pub fn dialed(to: SocketAddr, connections: usize) {
    let far = format!(":{:04X}", to.port());
    let waits = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.len() > 3 && words[2].ends_with(&far) && words[3] == "02"
    };
    awaited("a dial", || {
        std::fs::read_to_string("/proc/net/tcp").unwrap().lines().filter(|l| waits(l)).count() >= connections
    });
}

/// Both ends' ports of a connection.
fn ports(stream: &TcpStream) -> (u16, u16) {
    (stream.local_addr().unwrap().port(), stream.peer_addr().unwrap().port())
}

/// The state and the bytes not yet acknowledged of a connection's end, while the system has it.
fn end(near: u16, far: u16) -> Option<(String, u64)> {
    let (near, far) = (format!(":{near:04X}"), format!(":{far:04X}"));
    let all = std::fs::read_to_string("/proc/net/tcp").unwrap();
    all.lines().find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let queued = words.get(4)?.split(':').next()?;
        let found = words[1].ends_with(&near) && words[2].ends_with(&far);
        found.then(|| (words[3].to_string(), u64::from_str_radix(queued, 16).unwrap_or(0)))
    })
}

/// Waits until all that was written is at the other machine, where a process that stands still will find it: what
/// is written to two connections may else arrive in another order on a busy machine.
pub fn arrived(stream: &TcpStream) {
    let (near, far) = ports(stream);
    awaited("an acknowledgement", || end(near, far).is_none_or(|(_, unacknowledged)| unacknowledged == 0));
}

/// Ends a connection with a reset, and waits until that has arrived.
pub fn resets(stream: TcpStream) {
    let (near, far) = ports(&stream);
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    drop(stream);
    awaited("a reset", || end(far, near).is_none());
}

/// Ends a connection in order, and waits until that has arrived.
pub fn closes(stream: TcpStream) {
    let (near, far) = ports(&stream);
    drop(stream);
    // Still 1 or 4 while the close is on its way.
    awaited("a close", || end(near, far).is_none_or(|(state, _)| state != "01" && state != "04"));
}

/// An address that refuses connections, until something listens there.
pub struct Refusing {
    socket: Socket,
    /// The address.
    pub address: SocketAddr,
}

impl Default for Refusing {
    fn default() -> Refusing {
        Refusing::new()
    }
}

impl Refusing {
    /// An address of its own, held so that nobody else listens there.
    pub fn new() -> Refusing {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Refusing { socket, address }
    }

    /// A coordinator listens there from now on.
    pub fn coordinator(self) -> Coordinator {
        self.socket.listen(128).unwrap();
        Coordinator { listener: self.socket.into(), address: self.address }
    }
}

/// An address that stays free for a program, which listens there with `SO_REUSEPORT`, between two lives of it.
pub struct Reserved {
    _socket: Socket,
    /// The address.
    pub address: SocketAddr,
}

impl Reserved {
    /// An address of its own, at which nobody listens yet.
    pub fn new() -> std::io::Result<Reserved> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(true)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = socket.local_addr()?.as_socket();
        let address = address.ok_or_else(|| std::io::Error::other("not an address of the internet"))?;
        Ok(Reserved { _socket: socket, address })
    }
}

impl Executor {
    /// New connections don't come up from now on, as the backlog is full: of what it holds by then only the
    /// returned one, to be given to [`Executor::widens`]. Connections before it have to be accepted by now.
    pub fn narrows(&self) -> TcpStream {
        SockRef::from(&self.listener).listen(0).unwrap();
        let filler = TcpStream::connect(self.address).unwrap();
        let more = TcpStream::connect_timeout(&self.address, Duration::from_millis(50));
        assert!(more.is_err(), "the backlog is full");
        filler
    }

    /// New connections come up again; those that wait do when their machine asks again, within a second or so.
    pub fn widens(&self, filler: TcpStream) {
        SockRef::from(&self.listener).listen(128).unwrap();
        let first = accept(&self.listener);
        assert_eq!(first.peer_addr().unwrap(), filler.local_addr().unwrap(), "nothing came before");
    }

    /// The next connection, if one is there already.
    pub fn accepts(&self) -> Option<Peer> {
        self.listener.set_nonblocking(true).unwrap();
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        Some(Peer(BufReader::new(patient(stream))))
    }

    /// The next connection at any of some executors, and at which.
    pub fn any(executors: &[&Executor]) -> (usize, Peer) {
        let mut found = None;
        awaited("a connection", || {
            found = (0..).zip(executors).find_map(|(n, e)| e.accepts().map(|peer| (n, peer)));
            found.is_some()
        });
        found.unwrap()
    }

    /// The commands that are here by now on connections that were not accepted yet.
    pub fn came(&self) -> Vec<Vec<String>> {
        let mut all = Vec::new();
        while let Some(mut peer) = self.accepts() {
            all.extend(peer.came());
        }
        all
    }
}

impl Peer {
    /// The commands that are here by now.
    pub fn came(&mut self) -> Vec<Vec<String>> {
        self.0.get_ref().set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let all = std::iter::from_fn(|| self.command()).collect();
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        all
    }

    /// The next line as it stands, a probe too.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        line.trim_end().into()
    }

    /// Waits until something is here to be read, and leaves it unread.
    pub fn unread(&mut self) {
        assert!(self.0.get_ref().peek(&mut [0]).unwrap() > 0, "something is here");
    }

    /// Its stream.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Reads so many bytes.
    pub fn bytes(&mut self, n: usize) {
        self.0.read_exact(&mut vec![0; n]).unwrap();
    }

    /// Ends its connection with a reset, whatever was read, and waits until that has arrived.
    pub fn resets(self) {
        resets(self.0.into_inner());
    }

    /// Ends its connection in order, and waits until that has arrived.
    pub fn closes(self) {
        closes(self.0.into_inner());
    }
}
