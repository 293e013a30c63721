//! Listening sockets.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Length of the accept backlog.
pub(in crate::net) const BACKLOG: usize = 1024;

/// Listens on the client address, which a process of the next version may share during an upgrade
/// (`SO_REUSEPORT`).
pub fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    reserve_shared(address)?.listen()
}

/// Binds the client address without accepting connections yet.
pub(in crate::net) fn reserve_shared(address: SocketAddr) -> io::Result<Reserved> {
    bind_socket(address, true).map(Reserved)
}

/// A bound address that accepts no connections yet.
pub(in crate::net) struct Reserved(Socket);

impl Reserved {
    /// The address, with the port that was assigned if none was asked for.
    pub(in crate::net) fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()?.as_socket().ok_or_else(|| io::Error::other("not an internet address"))
    }

    /// Accepts connections from now on.
    pub(in crate::net) fn listen(self) -> io::Result<TcpListener> {
        self.0.listen(BACKLOG as i32)?;
        Ok(self.0.into())
    }
}

/// Listens on an address exclusively. `SO_REUSEADDR` lets a restarted process bind it immediately.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    Reserved(bind_socket(address, false)?).listen()
}

fn bind_socket(address: SocketAddr, shared: bool) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if shared {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
