//! Listening sockets.

use std::io;
use std::net::{SocketAddr, TcpListener};

/// Length of the accept backlog.
pub(in crate::net) const BACKLOG: usize = 1024;

/// Listens on the client address, which a process of the next version may share during an upgrade
/// (`SO_REUSEPORT`).
pub fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address, true)
}

/// Listens on an address exclusively. `SO_REUSEADDR` lets a restarted process bind it immediately.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    listen(address, false)
}

fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG as i32)?;
    Ok(socket.into())
}
