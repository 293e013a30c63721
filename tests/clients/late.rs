//! An executor whose connections come up late: its backlog is full until it is let go.

use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener whose one place is taken.
pub struct Late {
    listener: TcpListener,
    filler: TcpStream,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Late {
    /// Listens, and takes the one place itself: whoever dials now is not answered until [`Late::lets_in`], and dials
    /// again by its system's clock.
    pub fn new() -> Late {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let filler = TcpStream::connect(address).unwrap();
        Late { listener, filler, address }
    }

    /// Waits until somebody dials, as the system's table of connections has it.
    pub fn is_dialed(&self) {
        let (begun, port) = (Instant::now(), format!(":{:04X} 02 ", self.address.port()));
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&port) {
            assert!(begun.elapsed() < Duration::from_secs(20), "nobody dials");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Makes room: from now on connections come up. The listener is given back.
    pub fn lets_in(self) -> TcpListener {
        let (taken, _) = self.listener.accept().unwrap();
        drop(self.filler);
        assert_eq!((&taken).read(&mut [0]).unwrap(), 0, "the first to come in was its own");
        self.listener
    }
}
