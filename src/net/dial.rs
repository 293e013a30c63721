//! Connections that go out.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Begins to connect; the socket is writable once it is up or has failed.
pub fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Err(e) if e.kind() != io::ErrorKind::WouldBlock && e.raw_os_error() != Some(EINPROGRESS) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// What connect says on Linux while it goes on; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Whether a socket that became writable is up.
pub fn up(stream: &TcpStream) -> io::Result<()> {
    match stream.take_error()? {
        Some(e) => Err(e),
        None => stream.peer_addr().map(drop),
    }
}

/// Whether an error means that this process or the system has no descriptor left.
pub fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
