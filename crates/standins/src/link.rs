//! A link between two processes that can be cut, made silent, slowed, delayed and healed.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What a link does to what passes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Weather {
    /// It passes.
    Clear,
    /// Connections end, new ones are reset.
    Cut,
    /// Nothing passes and nothing ends: no reset, no answer. What was written comes once it clears.
    Silent,
    /// Every piece comes this much later, in milliseconds.
    Late(u16),
    /// So many bytes every 20 ms.
    Trickle(u16),
    /// Frames behind a head of eight bytes, their length the first four, change places two by two. A link that
    /// was clear in the middle of a frame garbles what follows instead.
    Shuffled,
}

impl Weather {
    fn code(self) -> u64 {
        match self {
            Weather::Clear => 0,
            Weather::Cut => 1,
            Weather::Silent => 2,
            Weather::Late(ms) => 3 | u64::from(ms) << 8,
            Weather::Trickle(n) => 4 | u64::from(n) << 8,
            Weather::Shuffled => 5,
        }
    }

    fn of(code: u64) -> Weather {
        let n = (code >> 8) as u16;
        match code & 0xff {
            1 => Weather::Cut,
            2 => Weather::Silent,
            3 => Weather::Late(n),
            4 => Weather::Trickle(n),
            5 => Weather::Shuffled,
            _ => Weather::Clear,
        }
    }
}

struct Shared {
    to: Mutex<Option<SocketAddr>>,
    weather: AtomicU64,
    over: AtomicBool,
}

impl Shared {
    fn weather(&self) -> Weather {
        Weather::of(self.weather.load(Ordering::SeqCst))
    }
}

/// A link: whoever connects to its address is connected through, as the weather allows.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// How often a thread looks at the weather.
const LOOK: Duration = Duration::from_millis(20);
const PIECE: usize = 16 * 1024;

impl Link {
    /// A clear link that leads nowhere yet.
    pub fn new() -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let weather = AtomicU64::new(Weather::Clear.code());
        let shared = Arc::new(Shared { to: Mutex::new(None), weather, over: AtomicBool::new(false) });
        let all = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if all.over.load(Ordering::SeqCst) {
                    break;
                }
                let all = all.clone();
                thread::spawn(move || connect(stream, &all));
            }
        });
        Ok(Link { address, shared })
    }

    /// Leads there from now on; open connections stay where they are.
    pub fn leads_to(&self, to: SocketAddr) {
        *self.shared.to.lock().unwrap_or_else(PoisonError::into_inner) = Some(to);
    }

    /// The weather from now on.
    pub fn set(&self, weather: Weather) {
        self.shared.weather.store(weather.code(), Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        self.set(Weather::Cut);
        let _ = TcpStream::connect(self.address);
    }
}

fn connect(from: TcpStream, all: &Arc<Shared>) {
    while all.weather() == Weather::Silent {
        thread::sleep(LOOK);
    }
    let to = *all.to.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(Ok(to)) = to.filter(|_| all.weather() != Weather::Cut).map(TcpStream::connect) else { return };
    let both = (from.try_clone(), to.try_clone());
    let (Ok(back_from), Ok(back_to)) = both else { return };
    let other = all.clone();
    thread::spawn(move || pass(back_to, back_from, &other));
    pass(from, to, all);
}

/// Passes one direction on until it ends.
fn pass(mut from: TcpStream, mut to: TcpStream, all: &Shared) {
    let _ = (from.set_read_timeout(Some(LOOK)), to.set_nodelay(true));
    let mut bytes = vec![0; PIECE];
    let mut frames = Frames::default();
    loop {
        match all.weather() {
            Weather::Cut => break,
            Weather::Silent => {
                thread::sleep(LOOK);
                continue;
            }
            _ => {}
        }
        let n = match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                let rest = frames.rest();
                if to.write_all(&rest).is_err() {
                    break;
                }
                continue;
            }
            Err(_) => break,
        };
        // What was read before it fell silent waits with the rest.
        while all.weather() == Weather::Silent {
            thread::sleep(LOOK);
        }
        let written = match all.weather() {
            Weather::Cut => break,
            Weather::Late(ms) => {
                thread::sleep(Duration::from_millis(ms.into()));
                to.write_all(&bytes[..n])
            }
            Weather::Trickle(each) => bytes[..n].chunks(usize::from(each).max(1)).try_for_each(|piece| {
                thread::sleep(if matches!(all.weather(), Weather::Trickle(_)) {
                    LOOK
                } else {
                    Duration::ZERO
                });
                to.write_all(piece)
            }),
            Weather::Shuffled => to.write_all(&frames.shuffled(&bytes[..n])),
            Weather::Clear | Weather::Silent => {
                let mut rest = frames.rest();
                rest.extend_from_slice(&bytes[..n]);
                to.write_all(&rest)
            }
        };
        if written.is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Frames that change places. It has to see the stream from its beginning, or from between two frames.
#[derive(Default)]
struct Frames {
    bytes: Vec<u8>,
    held: VecDeque<Vec<u8>>,
}

impl Frames {
    fn shuffled(&mut self, piece: &[u8]) -> Vec<u8> {
        self.bytes.extend_from_slice(piece);
        while let Some([a, b, c, d, ..]) = self.bytes.first_chunk::<8>() {
            let length = 8 + u32::from_le_bytes([*a, *b, *c, *d]) as usize;
            if self.bytes.len() < length {
                break;
            }
            self.held.push_back(self.bytes.drain(..length).collect());
        }
        let mut out = Vec::new();
        while self.held.len() >= 2 {
            let (first, second) = (self.held.pop_front(), self.held.pop_front());
            out.extend(second.into_iter().chain(first).flatten());
        }
        out
    }

    fn rest(&mut self) -> Vec<u8> {
        let mut out: Vec<u8> = self.held.drain(..).flatten().collect();
        out.append(&mut self.bytes);
        out
    }
}

#[cfg(test)]
mod tests;
