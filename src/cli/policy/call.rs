//! Sends policy calls to the operators' address of a dispatcher.

use super::Outcome;
use crate::codec::operator::MAX_LINE_BYTES;
use crate::settings::hcl::shown;
use std::io::{self, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::path::Path;
use std::time::{Duration, Instant};

/// Connect timeout for each resolved address.
const DIAL: Duration = Duration::from_secs(2);
/// Timeout for the whole answer; a dispatcher starts to answer within a second.
const ANSWER: Duration = Duration::from_secs(5);
/// The longest answer read, in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// The line that proposes a file. The path is made absolute, as the dispatcher has another working directory.
pub(super) fn proposal(file: &Path) -> io::Result<String> {
    let path = std::path::absolute(file).map_err(|e| io::Error::other(format!("{}: {e}", file.display())))?;
    let told = |what: String| Err(io::Error::other(format!("{}: {what}", path.display())));
    let Some(text) = path.to_str().filter(|t| t.bytes().all(|b| b.is_ascii_graphic())) else {
        return told("only paths of printable ASCII without spaces can be sent to a dispatcher".into());
    };
    let line = format!("POLICY PROPOSE {text}");
    if line.len() >= MAX_LINE_BYTES {
        let most = MAX_LINE_BYTES - 1 - (line.len() - text.len());
        return told(format!("a path of {} bytes; {most} can be sent to a dispatcher", text.len()));
    }
    Ok(line)
}

fn dial(at: &str) -> io::Result<TcpStream> {
    let mut last = io::Error::other("the name resolves to no address");
    for address in at.to_socket_addrs()? {
        match TcpStream::connect_timeout(&address, DIAL) {
            Ok(stream) => return Ok(stream),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Sends one line to an operators' address and returns the whole answer.
fn send_line(at: &str, line: &str) -> io::Result<String> {
    let mut stream = dial(at)?;
    let until = Instant::now() + ANSWER;
    stream.set_write_timeout(Some(ANSWER))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let (mut answer, mut piece) = (Vec::new(), [0; 4_096]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let late =
            || io::Error::other(format!("incomplete answer after {}", humantime::format_duration(ANSWER)));
        // A zero timeout is an error in `set_read_timeout`, so at least 1 ms is set.
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        match stream.read(&mut piece) {
            Ok(0) => {
                return String::from_utf8(answer).map_err(|_| io::Error::other("answer is not valid UTF-8"));
            }
            Ok(n) => answer.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Err(late());
            }
            Err(e) => return Err(e),
        }
        if answer.len() as u64 > MAX_ANSWER_BYTES {
            return Err(io::Error::other(format!("the answer is longer than {MAX_ANSWER_BYTES} bytes")));
        }
        if left.is_zero() {
            return Err(late());
        }
    }
}

/// Sends one line to an operators' address and prints the answer.
pub(super) fn call(out: &mut dyn Write, at: &str, line: &str) -> io::Result<Outcome> {
    let answer = send_line(at, line).map_err(|e| io::Error::other(format!("{at}: {e}")))?;
    let verdict = match answer.split_whitespace().next() {
        Some("+OK") => Outcome::Success,
        Some("-ERR") => Outcome::FaultsFound,
        _ => return Err(io::Error::other(format!("{at}: not an operators' address: {:?}", shown(&answer)))),
    };
    // Control characters in a remote answer are replaced, so that they cannot act on the terminal.
    let lines = answer.lines().map(|l| l.replace(char::is_control, "?"));
    lines.into_iter().try_for_each(|l| writeln!(out, "{l}"))?;
    Ok(verdict)
}
