//! Wrappers of the event loop's system calls: they classify failures as temporary or permanent, and let tests
//! inject faults.

use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};

/// Kinds of system calls.
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

/// Whether the kernel is temporarily out of memory or buffers: the same call may succeed later.
pub(in crate::net) fn is_temporary(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::ENOMEM | libc::ENOBUFS | libc::ENOSPC))
}

/// Whether accept failed because it was interrupted or because the new connection has already ended: the next
/// call may succeed. Linux reports pending network errors of the new connection through accept and recommends
/// a retry.
pub(in crate::net) fn may_accept_again(e: &io::Error) -> bool {
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

/// Whether a connect failed locally, before anything reached the remote side; the error says nothing about
/// the remote side's health.
pub(in crate::net) fn is_local_failure(e: &io::Error) -> bool {
    let ours =
        [libc::EMFILE, libc::ENFILE, libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENETDOWN, libc::EAGAIN];
    is_temporary(e) || e.raw_os_error().is_some_and(|code| ours.contains(&code))
}

/// Maps a temporary lack of memory to `WouldBlock`: the socket stays ready, and the call is retried.
fn would_block_if_temporary(e: io::Error) -> io::Error {
    if is_temporary(&e) { io::ErrorKind::WouldBlock.into() } else { e }
}

/// Accepts a connection.
pub(in crate::net) fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    inject_fault(Call::Accept)?;
    listener.accept().map(|(stream, _)| stream)
}

/// Creates a TCP socket.
pub(in crate::net) fn socket(domain: Domain) -> io::Result<Socket> {
    inject_fault(Call::Socket)?;
    Socket::new(domain, Type::STREAM, None)
}

/// Starts a non-blocking connect. An interrupted call continues in the background like one that would block.
pub(in crate::net) fn connect(socket: &Socket, to: &SockAddr) -> io::Result<()> {
    let result = socket.connect(to);
    match inject_fault(Call::Connect).and(result) {
        Err(e) if matches!(e.raw_os_error(), Some(libc::EINPROGRESS | libc::EINTR)) => Ok(()),
        result => result,
    }
}

/// Reads available bytes.
pub(in crate::net) fn read(stream: &mut impl Read, bytes: &mut [u8]) -> io::Result<usize> {
    let most = shortened(bytes.len());
    inject_fault(Call::Read).and_then(|()| stream.read(&mut bytes[..most])).map_err(would_block_if_temporary)
}

/// Number of bytes a peek returns (0 at end of stream); `None` if no data is available.
pub(in crate::net) fn peek(stream: &TcpStream) -> io::Result<Option<usize>> {
    loop {
        match inject_fault(Call::Read).and_then(|()| stream.peek(&mut [0])) {
            Ok(n) => return Ok(Some(n)),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || is_temporary(&e) => return Ok(None),
            Err(e) => return Err(e),
        }
    }
}

/// Writes as many bytes as the stream accepts.
pub(in crate::net) fn write(stream: &mut impl Write, bytes: &[u8]) -> io::Result<usize> {
    let most = shortened(bytes.len());
    inject_fault(Call::Write).and_then(|()| stream.write(&bytes[..most])).map_err(would_block_if_temporary)
}

#[cfg(not(test))]
fn inject_fault(_: Call) -> io::Result<()> {
    Ok(())
}

#[cfg(not(test))]
fn shortened(length: usize) -> usize {
    length
}

/// Fails a poller call if a test has injected a fault.
pub(in crate::net) fn inject_poller_fault(call: Call) -> io::Result<()> {
    inject_fault(call)
}

#[cfg(test)]
pub(in crate::net) use tests::{inject_fault, shortened};

#[cfg(test)]
pub(in crate::net) mod tests;
