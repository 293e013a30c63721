//! The system calls of the loop, in one place: which of their failures pass by themselves, and where tests have them fail.

use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};

/// A kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::net) enum Call {
    Accept,
    Socket,
    Connect,
    Read,
    Write,
    Watch,
    Rewatch,
}

/// Whether a failure is of this process or machine and passes: the same call may do a moment later.
pub(in crate::net) fn passes(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::ENOMEM | libc::ENOBUFS | libc::ENOSPC))
}

/// Whether accept failed for a connection that is over before it was taken, or was interrupted: the next call may do.
/// Linux hands network errors of the new connection to accept, which are to be taken as a call for another try.
pub(in crate::net) fn takes_another(e: &io::Error) -> bool {
    let network = [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETDOWN,
        libc::EPROTO,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
        libc::EPERM,
    ];
    e.raw_os_error().is_some_and(|code| network.contains(&code))
}

/// Whether a dial failed on this side, before anything reached the other: no proof of what the other side does.
pub(in crate::net) fn of_our_side(e: &io::Error) -> bool {
    let ours =
        [libc::EMFILE, libc::ENFILE, libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENETDOWN, libc::EAGAIN];
    passes(e) || e.raw_os_error().is_some_and(|code| ours.contains(&code))
}

/// A read or write that failed for want of memory is one that would block: the socket stays ready, and is tried again.
fn waits_if_it_passes(e: io::Error) -> io::Error {
    if passes(&e) { io::ErrorKind::WouldBlock.into() } else { e }
}

/// The next connection of a listener.
pub(in crate::net) fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    fault(Call::Accept)?;
    listener.accept().map(|(stream, _)| stream)
}

/// A socket for an outgoing connection.
pub(in crate::net) fn socket(domain: Domain) -> io::Result<Socket> {
    fault(Call::Socket)?;
    Socket::new(domain, Type::STREAM, None)
}

/// Begins to connect. An interrupted call goes on by itself, as one that would block does.
pub(in crate::net) fn connect(socket: &Socket, to: &SockAddr) -> io::Result<()> {
    let begun = socket.connect(to);
    match fault(Call::Connect).and(begun) {
        Err(e) if matches!(e.raw_os_error(), Some(libc::EINPROGRESS | libc::EINTR)) => Ok(()),
        begun => begun,
    }
}

/// Reads what is there.
pub(in crate::net) fn read(stream: &mut impl Read, bytes: &mut [u8]) -> io::Result<usize> {
    let most = shortened(bytes.len());
    fault(Call::Read).and_then(|()| stream.read(&mut bytes[..most])).map_err(waits_if_it_passes)
}

/// Looks at what is there; `None` if nothing is.
pub(in crate::net) fn peek(stream: &TcpStream) -> io::Result<Option<usize>> {
    loop {
        match fault(Call::Read).and_then(|()| stream.peek(&mut [0])) {
            Ok(n) => return Ok(Some(n)),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || passes(&e) => return Ok(None),
            Err(e) => return Err(e),
        }
    }
}

/// Writes what is taken.
pub(in crate::net) fn write(stream: &mut impl Write, bytes: &[u8]) -> io::Result<usize> {
    let most = shortened(bytes.len());
    fault(Call::Write).and_then(|()| stream.write(&bytes[..most])).map_err(waits_if_it_passes)
}

#[cfg(not(test))]
fn fault(_: Call) -> io::Result<()> {
    Ok(())
}

#[cfg(not(test))]
fn shortened(length: usize) -> usize {
    length
}

/// Has a call to the poller fail where a test wants it.
pub(in crate::net) fn watching(call: Call) -> io::Result<()> {
    fault(call)
}

#[cfg(test)]
pub(in crate::net) use tests::{fault, shortened};

#[cfg(test)]
pub(in crate::net) mod tests;
