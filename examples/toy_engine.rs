//! A toy engine with its coordinator, to try the dispatcher by hand: it runs nothing, and answers each query
//! with its class, its table group's statement and the priority that it came with.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const ENGINE: &str = "127.0.0.1:8444";
const COORDINATOR: &str = "127.0.0.1:7070";
/// How long a query seems to run, and the longest statement taken.
const WORK: Duration = Duration::from_millis(200);
const LONGEST: usize = 64 * 1024;

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// One connection of a dispatcher: a line is a command, and what it asks is done in turn.
fn engine(stream: TcpStream) -> io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    let mut to = stream;
    let mut line = String::new();
    while from.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.split_whitespace().collect();
        println!("engine: {}", words.join(" "));
        match words[..] {
            ["METER" | "ECHO", tag] => {
                write!(to, "{tag} UP gauges=inflight:0;x0:0.0;x1:0.0 0\r\n\r\n")?;
            }
            ["PULL", id, fields, length] => {
                let length = length.parse().ok().filter(|n| *n <= LONGEST).ok_or_else(|| bad("length"))?;
                let mut statement = vec![0; length + 2];
                from.read_exact(&mut statement)?;
                thread::sleep(WORK);
                let text = String::from_utf8_lossy(&statement[..length]).replace(['\t', '\n'], " ");
                let rows = format!("fields\t{fields}\t1\nstatement\t{text}\t2\n");
                write!(to, "{id} OK pages=1 {}\r\n{rows}\r\n", rows.len())?;
            }
            _ => {} // KILL, BOOST, SCROLL and DISCARD have nothing left to do here
        }
        line.clear();
    }
    Ok(())
}

/// The coordinator: nothing changes, so that each second the last event's number is all there is to tell.
fn coordinator(mut stream: TcpStream) -> io::Result<()> {
    let mut line = String::new();
    BufReader::new(stream.try_clone()?).read_line(&mut line)?;
    println!("coordinator: {}", line.trim());
    loop {
        stream.write_all(b"1\n")?;
        thread::sleep(Duration::from_secs(1));
    }
}

fn serve(at: &str, one: fn(TcpStream) -> io::Result<()>) -> io::Result<()> {
    let listener = TcpListener::bind(at).map_err(|e| io::Error::other(format!("{at}: {e}")))?;
    println!("listening on {at}");
    for stream in listener.incoming() {
        let stream = stream?;
        thread::spawn(move || {
            if let Err(e) = one(stream) {
                println!("connection over: {e}");
            }
        });
    }
    Ok(())
}

fn main() -> io::Result<()> {
    let feed = thread::spawn(|| serve(COORDINATOR, coordinator));
    serve(ENGINE, engine)?;
    feed.join().map_err(|_| io::Error::other("the coordinator ended"))?
}
