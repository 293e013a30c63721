//! Outgoing connections.

use crate::net::sockets::system_calls;
use socket2::Domain;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Starts a non-blocking connect; the socket becomes writable once the connection is established or has
/// failed.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = system_calls::socket(Domain::for_address(to))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    system_calls::connect(&socket, &to.into())?;
    Ok(socket.into())
}

/// Checks the result of a connect once the socket is writable.
pub fn check_connected(stream: &TcpStream) -> io::Result<()> {
    match stream.take_error()? {
        Some(e) => Err(e),
        None => stream.peer_addr().map(drop),
    }
}

/// Whether an error means that the process or the system is out of file descriptors.
pub fn out_of_descriptors(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
