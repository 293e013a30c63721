//! A link whose bytes all come the same time later, however many are under way: the distance between two regions.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const PIECE: usize = 64 * 1024;

struct Shared {
    to: Mutex<Option<SocketAddr>>,
    over: AtomicBool,
    delay: Duration,
}

/// A link: whoever connects to its address is connected through, with a constant delay each way.
pub struct DelayedLink {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl DelayedLink {
    /// A link of this delay that leads nowhere yet.
    pub fn new(delay: Duration) -> io::Result<DelayedLink> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { to: Mutex::new(None), over: AtomicBool::new(false), delay });
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
        Ok(DelayedLink { address, shared })
    }

    /// Leads there from now on; open connections stay where they are.
    pub fn leads_to(&self, to: SocketAddr) {
        *self.shared.to.lock().unwrap_or_else(PoisonError::into_inner) = Some(to);
    }
}

impl Drop for DelayedLink {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn connect(from: TcpStream, all: &Shared) {
    let to = *all.to.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(Ok(to)) = to.map(TcpStream::connect) else { return };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let both = (from.try_clone(), to.try_clone());
    let (Ok(back_from), Ok(back_to)) = both else { return };
    one_way(to, from, all.delay);
    one_way(back_from, back_to, all.delay);
}

/// Passes what `from` says on to `to`, later.
fn one_way(to: TcpStream, from: TcpStream, delay: Duration) {
    let (tell, told) = channel();
    thread::spawn(move || read(from, &tell, delay));
    thread::spawn(move || write(to, &told));
}

fn read(mut from: TcpStream, tell: &Sender<(Instant, Vec<u8>)>, delay: Duration) {
    let mut bytes = vec![0; PIECE];
    while let Ok(n @ 1..) = from.read(&mut bytes) {
        if tell.send((Instant::now() + delay, bytes[..n].to_vec())).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Read);
}

fn write(mut to: TcpStream, told: &Receiver<(Instant, Vec<u8>)>) {
    while let Ok((due, bytes)) = told.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if to.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests;
